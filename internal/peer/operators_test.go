package peer

import (
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Operators", func() {
	var authority *testAuthority

	BeforeEach(func() { authority = newTestAuthority() })

	read := func(url string, config *tls.Config) (string, error) {
		transport := &http.Transport{TLSClientConfig: config}
		defer transport.CloseIdleConnections()
		response, err := (&http.Client{Transport: transport, Timeout: 5 * time.Second}).Get(url)
		if err != nil {
			return "", err
		}
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		return string(body), err
	}

	It("reads admin pages with a certificate of the authority only", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "status") })}
		served := make(chan struct{})
		go func() {
			defer close(served)
			_ = server.Serve(tls.NewListener(listener, authority.load("entry-1").AdminConfig()))
		}()
		DeferCleanup(func() { _ = server.Close(); <-served })
		url := "https://" + listener.Addr().String()

		Expect(read(url, authority.loadAs(OperatorsDataCentre, "ana").ReaderConfig())).To(Equal("status"))
		_, err = read(url, &tls.Config{InsecureSkipVerify: true})
		Expect(err).To(HaveOccurred())
		_, err = read(url, newTestAuthority().load("ana").ReaderConfig())
		Expect(err).To(HaveOccurred())
	})

	It("cannot call hosts as a peer", func() {
		b := newBench(authority.load(serverID), Limits{})
		expectEcho(b.client(clientID, authority.load(clientID), Limits{}))
		_, err := echo(b.client("ana", authority.loadAs(OperatorsDataCentre, "ana"), Limits{}), "hi")
		Expect(err).To(HaveOccurred())
		Expect(b.refused(WrongIdentity)).To(Equal(1.0))
	})
})
