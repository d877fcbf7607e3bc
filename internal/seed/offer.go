package seed

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/oatlatch/oatlatch/internal/catalog"
)

// offerTimeout is the time limit for offering a page to one host. A host without power does
// not answer at all.
const offerTimeout = 300 * time.Millisecond

// Offer gives a page to the host at the address if that has none, or another one that it was
// given. needed is set if the host has no catalog of its own, and taken if it has put the page in
// force. source returns the page, or false if there is none; it is called only if the page is
// needed.
func Offer(ctx context.Context, host netip.AddrPort, source func() (catalog.Page, bool)) (needed, taken bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, offerTimeout)
	defer cancel()
	client := newClient()
	status, tag, err := send(ctx, client, http.MethodHead, host, nil)
	if err != nil || status != http.StatusServiceUnavailable {
		return false, false, err
	}
	page, ok := source()
	if !ok || tag == Tag(&page) {
		return true, false, nil
	}
	packed, err := encode(&page)
	if err != nil {
		return true, false, err
	}
	status, _, err = send(ctx, client, http.MethodPut, host, packed)
	return true, status == http.StatusNoContent, err
}

// send sends a request for the page of a host. It returns the status and the tag of the
// response.
func send(ctx context.Context, client *http.Client, method string, host netip.AddrPort, body []byte) (status int, tag string, err error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+host.String()+pagePath, bytes.NewReader(body))
	if err != nil {
		return 0, "", fmt.Errorf("offer a page: %w", err)
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, "", fmt.Errorf("offer a page: %w", err)
	}
	defer response.Body.Close()
	return response.StatusCode, response.Header.Get("ETag"), nil
}
