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

	get := func(url string, config *tls.Config) (string, error) {
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

	It("access admin addresses only with a certificate from the hosts' certificate authority", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "status") })}
		served := make(chan struct{})
		go func() {
			defer close(served)
			_ = server.Serve(tls.NewListener(listener, authority.issueTLS("entry-1").AdminServerConfig()))
		}()
		DeferCleanup(func() { _ = server.Close(); <-served })
		url := "https://" + listener.Addr().String()

		Expect(get(url, authority.issueTLSIn(OperatorsDataCentre, "ana").AdminClientConfig())).To(Equal("status"))
		_, err = get(url, &tls.Config{InsecureSkipVerify: true})
		Expect(err).To(HaveOccurred())
		_, err = get(url, newTestAuthority().issueTLS("ana").AdminClientConfig())
		Expect(err).To(HaveOccurred())
	})

	It("refuses an operator's certificate on connections between hosts", func() {
		s := startTestServer(authority.issueTLS(serverID), Limits{})
		expectEcho(s.newClient(clientID, authority.issueTLS(clientID), Limits{}))
		_, err := callEcho(s.newClient("ana", authority.issueTLSIn(OperatorsDataCentre, "ana"), Limits{}), "hi")
		Expect(err).To(HaveOccurred())
		Eventually(func() float64 { return s.refusedCount(WrongIdentity) }).Should(Equal(1.0))
	})
})
