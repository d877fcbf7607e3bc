package main

import (
	"context"
	"net/url"
	"os"
)

// explainCommand shows the decision for a flow.
type explainCommand struct {
	Admin       string `default:"http://127.0.0.1:7402" help:"Base URL of the host's admin address."`
	adminFlags  `embed:""`
	Protocol    string `arg:"" enum:"tcp,udp" help:"Protocol of the flow: tcp or udp."`
	Source      string `arg:"" help:"Caller's IP:port."`
	Destination string `arg:"" help:"Service's virtual address, IP:port."`
}

// Run prints the host's explanation as JSON.
func (c *explainCommand) Run(ctx context.Context) error {
	query := url.Values{"protocol": {c.Protocol}, "source": {c.Source}, "destination": {c.Destination}}
	data, err := c.get(ctx, c.Admin, "/explain", query)
	if err != nil {
		return err
	}
	_, err = os.Stdout.Write(data)
	return err
}
