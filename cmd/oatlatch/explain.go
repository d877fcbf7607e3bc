package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/url"
	"os"

	"github.com/oatlatch/oatlatch"
)

// explainCommand explains forwarding decisions, from a running host or from logs.
type explainCommand struct {
	Flow explainFlowCommand `cmd:"" default:"withargs" help:"Ask a host which upstream a flow goes to, and why (the default)."`
	Logs explainLogsCommand `cmd:"" help:"Tell the story of a flow, upstream or configuration from logs, also of hosts that are gone."`
}

// explainFlowCommand asks a running host which upstream it chooses for a flow.
type explainFlowCommand struct {
	Admin       string `default:"http://127.0.0.1:7402" help:"Base URL of the host's admin address."`
	adminFlags  `embed:""`
	JSON        bool   `help:"Print the host's answer as JSON."`
	Protocol    string `arg:"" enum:"tcp,udp" help:"Protocol of the flow: tcp or udp."`
	Source      string `arg:"" help:"Caller's IP:port."`
	Destination string `arg:"" help:"Service's virtual address, IP:port."`
}

// Run prints the host's explanation with one line for each step.
func (c *explainFlowCommand) Run(ctx context.Context) error {
	query := url.Values{"protocol": {c.Protocol}, "source": {c.Source}, "destination": {c.Destination}}
	data, err := c.get(ctx, c.Admin, "/explain", query)
	if err != nil {
		return err
	}
	if c.JSON {
		_, err = os.Stdout.Write(data)
		return err
	}
	var explanation oatlatch.FlowExplanation
	if err := json.Unmarshal(data, &explanation); err != nil {
		return fmt.Errorf("cannot decode the host's response, use a client of the same version as the daemon: %w", err)
	}
	printExplanation(os.Stdout, &explanation)
	return nil
}

// printExplanation prints the steps of the decision and then its result.
func printExplanation(w io.Writer, explanation *oatlatch.FlowExplanation) {
	for i, step := range explanation.Steps {
		fmt.Fprintf(w, "%d. %s\n", i+1, step)
	}
	if explanation.Upstream == "" {
		fmt.Fprintln(w, "=> this host has no record of the flow, the last step says what happens to it")
		return
	}
	fmt.Fprintf(w, "=> upstream %s\n", explanation.Upstream)
}
