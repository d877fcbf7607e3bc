package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/oatlatch/oatlatch/internal/peer"
)

const (
	// adminTimeout limits the time of one request to an admin address.
	adminTimeout = 5 * time.Second
	// maxAdminBytes limits the size of a response.
	maxAdminBytes = 64 << 20
)

// adminFlags hold the operator's TLS keys for admin addresses that aren't on
// loopback.
type adminFlags struct {
	CA          string `name:"ca" placeholder:"PEM" help:"Certificate authority of the hosts, PEM text or path, for https addresses."`
	Certificate string `placeholder:"PEM" help:"Operator's certificate, PEM text or path, with the URI oatlatch://operators/NAME."`
	Key         string `placeholder:"PEM" help:"Private key of the certificate, PEM text or path."`
}

// client returns an HTTP client that uses the operator's keys, if any are set.
func (f *adminFlags) client() (*http.Client, error) {
	if f.CA == "" && f.Certificate == "" && f.Key == "" {
		return http.DefaultClient, nil
	}
	keys, err := peer.LoadTLS(peer.KeySources{CA: f.CA, Certificate: f.Certificate, Key: f.Key})
	if err != nil {
		return nil, err
	}
	return &http.Client{Transport: &http.Transport{TLSClientConfig: keys.AdminClientConfig()}}, nil
}

// get requests a path of a host's admin address and returns the response body.
func (f *adminFlags) get(ctx context.Context, base, path string, query url.Values) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	target := strings.TrimSuffix(base, "/") + path
	if len(query) > 0 {
		target += "?" + query.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, fmt.Errorf("invalid admin address, must have the form http://IP:port: %w", err)
	}
	client, err := f.client()
	if err != nil {
		return nil, err
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAdminBytes))
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("the host responded with %s: %s", response.Status, strings.TrimSpace(string(data)))
	}
	return data, nil
}
