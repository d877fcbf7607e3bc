package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"
)

const (
	adminTimeout  = 5 * time.Second
	maxAdminBytes = 64 << 20
)

// adminGet reads one page of a host's admin address.
func adminGet(ctx context.Context, base, path string, query url.Values) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	target := strings.TrimSuffix(base, "/") + path
	if len(query) > 0 {
		target += "?" + query.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, fmt.Errorf("the address cannot be used, write http://IP:port: %w", err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAdminBytes))
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("the host answered %s: %s", response.Status, strings.TrimSpace(string(data)))
	}
	return data, nil
}
