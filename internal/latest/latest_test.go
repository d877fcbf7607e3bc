package latest

import (
	"testing"

	. "github.com/onsi/gomega"
)

func TestSetReplacesTheValue(t *testing.T) {
	g := NewWithT(t)
	v := New[int]()
	v.Set(1)
	v.Set(2)
	g.Expect(v).To(Receive(Equal(2)))
	g.Expect(v).NotTo(Receive(), "the replaced value must be lost")
	v.Set(3)
	g.Expect(v).To(Receive(Equal(3)))
}
