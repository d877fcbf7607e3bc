package dispatch_test

import (
	"os"
	"strings"
	"testing"

	"github.com/oatlatch/oatlatch/internal/admission"
)

func TestOperatorsPageListsEveryReason(t *testing.T) {
	page, err := os.ReadFile("../../docs/operating/requests.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, reason := range admission.Reasons() {
		if !strings.Contains(string(page), "| `"+string(reason)+"` |") {
			t.Errorf("docs/operating/requests.md has no row for %s", reason)
		}
	}
}
