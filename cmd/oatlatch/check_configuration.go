package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"time"

	"github.com/oatlatch/oatlatch/internal/configcheck"
	"github.com/oatlatch/oatlatch/platform"
)

// errConfigurationCheck is returned if the check found errors, or warnings with --strict.
var errConfigurationCheck = errors.New("do not send this configuration before the findings are corrected")

// checkConfigurationCommand checks a configuration of the platform.
type checkConfigurationCommand struct {
	InForce   string         `placeholder:"FILE" help:"Compare with the configuration in this file."`
	Upstreams string         `placeholder:"FILE" help:"List of the registered upstreams: the service of one on each line."`
	Store     netip.AddrPort `placeholder:"IP:PORT" help:"Read the version in force and the registered upstreams from the platform's store, unless files are given."`
	Deadline  time.Duration  `default:"5s" help:"Time limit for reading from the store."`
	Strict    bool           `help:"Fail on warnings, too."`
	JSON      bool           `help:"Print the result as JSON."`
	File      string         `arg:"" help:"Configuration to check; - reads standard input."`
}

// Run prints the findings and the differences. It returns errConfigurationCheck if the
// configuration should not be sent, and a usageError if it could not be checked.
func (c *checkConfigurationCommand) Run(ctx context.Context) error {
	text, err := readInput(c.File)
	if err != nil {
		return usageError{err}
	}
	surroundings, source, err := c.surroundings(ctx)
	if err != nil {
		return usageError{err}
	}
	configuration, findings := platform.DecodeForCheck(text)
	report := configcheck.NewReport(c.File, configuration, findings, surroundings, source)
	if err := c.print(report); err != nil {
		return usageError{err}
	}
	if report.Failed(c.Strict) {
		return errConfigurationCheck
	}
	return nil
}

// surroundings reads what the configuration is checked against. The source is that of the
// version in force.
func (c *checkConfigurationCommand) surroundings(ctx context.Context) (s configcheck.Surroundings, source string, err error) {
	var inForce []byte
	if c.Store.IsValid() && (c.InForce == "" || c.Upstreams == "") {
		ctx, cancel := context.WithTimeout(ctx, c.Deadline)
		defer cancel()
		source = c.Store.String()
		if inForce, s.Registered, err = platform.NewStore(c.Store).ReadForCheck(ctx); err != nil {
			return s, "", fmt.Errorf("%w: check --store, or give --in-force and --upstreams", err)
		}
	}
	if c.InForce != "" {
		source = c.InForce
		if inForce, err = readInput(c.InForce); err != nil {
			return s, "", err
		}
	}
	if c.Upstreams != "" {
		if s.Registered, err = readRegistered(c.Upstreams); err != nil {
			return s, "", err
		}
	}
	if inForce != nil {
		s.InForce, _ = platform.DecodeForCheck(inForce) // findings about it are not asked for
		s.InForceUnreadable = s.InForce == nil
	}
	return s, source, nil
}

func (c *checkConfigurationCommand) print(report *configcheck.Report) error {
	if !c.JSON {
		return report.Print(os.Stdout)
	}
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	return encoder.Encode(report)
}

// readInput reads a file, or standard input for "-".
func readInput(path string) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(path)
}

// readRegistered reads the list of registered upstreams in a file.
func readRegistered(path string) (map[string]configcheck.Registered, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	registered, err := configcheck.ReadRegistered(file)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return registered, nil
}
