package probe

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"syscall"

	"github.com/oatlatch/oatlatch/internal/health"
)

// target is an upstream to check.
type target struct {
	key        health.Key
	address    netip.AddrPort
	healthPath string
	loadPath   string
}

// checker runs health checks.
type checker struct {
	client *http.Client
	dialer net.Dialer
}

func newChecker() *checker {
	transport := &http.Transport{
		MaxIdleConnsPerHost:    1,
		IdleConnTimeout:        10 * checkInterval,
		ResponseHeaderTimeout:  checkTimeout,
		MaxResponseHeaderBytes: maxReportBytes,
		DisableCompression:     true,
	}
	return &checker{client: &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// close closes idle connections.
func (c *checker) close() {
	c.client.CloseIdleConnections()
}

// check runs one health check of the upstream and reads its load report. The check
// requests the health path or, without any path, opens a TCP connection. With a load
// path only, the load report serves as the check.
func (c *checker) check(ctx context.Context, t target) health.Check {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	check := health.Check{Key: t.key, Outcome: health.Passed}
	var err error
	switch {
	case t.healthPath != "":
		check.Outcome, check.Detail, err = c.checkHealth(ctx, t)
	case t.loadPath == "":
		err = c.checkTCP(ctx, t)
	}
	if err != nil {
		check.Outcome, check.Detail = failureOutcome(err), err.Error()
		return check
	}
	if t.loadPath != "" {
		c.readLoad(ctx, t, &check)
	}
	return check
}

// checkHealth requests the upstream's health path.
func (c *checker) checkHealth(ctx context.Context, t target) (health.Outcome, string, error) {
	response, err := c.get(ctx, t.address, t.healthPath)
	if err != nil {
		return 0, "", err
	}
	defer drainAndClose(response)
	switch {
	case response.Header.Get(drainingHeader) == "true":
		return health.ReportedDraining, response.Status, nil
	case response.StatusCode == http.StatusOK:
		return health.Passed, response.Status, nil
	default:
		return health.Failed, response.Status, nil
	}
}

// checkTCP opens a TCP connection to the upstream and closes it.
func (c *checker) checkTCP(ctx context.Context, t target) error {
	conn, err := c.dialer.DialContext(ctx, "tcp", t.address.String())
	if err != nil {
		return err
	}
	return conn.Close()
}

// readLoad adds the load report to the check. Without a health path, a failure to
// read the report fails the check.
func (c *checker) readLoad(ctx context.Context, t target, check *health.Check) {
	report, err := c.fetchLoad(ctx, t)
	if err != nil {
		if t.healthPath == "" {
			check.Outcome, check.Detail = failureOutcome(err), err.Error()
		}
		return
	}
	check.Report = &report
	if report.Draining {
		check.Outcome, check.Detail = health.ReportedDraining, "load report"
	}
}

func (c *checker) fetchLoad(ctx context.Context, t target) (health.Report, error) {
	var report health.Report
	response, err := c.get(ctx, t.address, t.loadPath)
	if err != nil {
		return report, err
	}
	defer drainAndClose(response)
	if response.StatusCode != http.StatusOK {
		return report, fmt.Errorf("load report: %s", response.Status)
	}
	err = json.NewDecoder(io.LimitReader(response.Body, maxReportBytes)).Decode(&report)
	if err != nil {
		return report, fmt.Errorf("load report: %w", err)
	}
	return report, nil
}

func (c *checker) get(ctx context.Context, address netip.AddrPort, path string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+path, nil)
	if err != nil {
		return nil, err
	}
	return c.client.Do(request)
}

// drainAndClose reads the rest of the body, up to maxReportBytes, so that the
// connection can be reused, and closes it.
func drainAndClose(response *http.Response) {
	_, _ = io.CopyN(io.Discard, response.Body, maxReportBytes)
	_ = response.Body.Close()
}

// failureOutcome distinguishes a refused connection from other failures.
func failureOutcome(err error) health.Outcome {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return health.Refused
	}
	return health.Failed
}
