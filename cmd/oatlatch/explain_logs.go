package main

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/oatlatch/oatlatch/internal/logquery"
)

// explainLogsCommand prints the log lines about a flow, an upstream, a configuration or the
// evacuation of a data centre. It needs no running host.
type explainLogsCommand struct {
	Flow       string    `help:"Flow to explain, CALLER>ADDRESS as in the logs, or the caller's IP:port alone." xor:"subject"`
	Upstream   string    `help:"Upstream to explain, by name." xor:"subject"`
	Version    string    `help:"Version of a configuration to explain." xor:"subject"`
	Evacuation string    `help:"Data centre whose evacuations to explain." xor:"subject"`
	Since      time.Time `help:"Leave out what is older (RFC 3339)."`
	Until      time.Time `help:"Leave out what is newer (RFC 3339)."`
	Summary    bool      `help:"Print the number of lines by event and reason instead." xor:"output"`
	Timeline   bool      `help:"Print when the hosts put each version and each evacuation in force instead, or those of --version or --evacuation." xor:"output"`
	Files      []string  `arg:"" type:"existingfile" help:"Logs of one or more hosts."`
}

// Run prints the selected lines in order of time, or a summary of them.
func (c *explainLogsCommand) Run() error {
	if c.Timeline && c.Flow+c.Upstream != "" {
		return errors.New("--timeline is about configurations and evacuations: give --version, --evacuation or neither")
	}
	var lines []logquery.Line
	skipped := 0
	for _, path := range c.Files {
		parsed, skippedInFile, err := readLog(path)
		if err != nil {
			return err
		}
		lines = append(lines, parsed...)
		skipped += skippedInFile
	}
	filter := logquery.Filter{Flow: c.Flow, Upstream: c.Upstream, Version: c.Version, Evacuation: c.Evacuation, Since: c.Since, Until: c.Until}
	if c.Timeline {
		filter.Version, filter.Evacuation = "", "" // the lines about starts of hosts are needed as well
	}
	selected := logquery.Select(lines, filter)
	if skipped > 0 {
		fmt.Fprintf(os.Stderr, "skipped %d lines that are not log entries\n", skipped)
	}
	if len(selected) == 0 {
		return fmt.Errorf("none of the %d log lines matches: check the name and the time range, and that the logs of all hosts are given", len(lines))
	}
	if c.Timeline {
		return c.printTimelines(selected)
	}
	if c.Summary {
		for _, n := range logquery.Summarize(selected) {
			fmt.Printf("%7d %s %s\n", n.Lines, n.Event, n.Reason)
		}
		return nil
	}
	return logquery.Print(os.Stdout, selected)
}

// printTimelines prints the timelines in the lines that the options select.
func (c *explainLogsCommand) printTimelines(lines []logquery.Line) error {
	timelines := append(logquery.Timelines(lines), logquery.EvacuationTimelines(lines)...)
	timelines = slices.DeleteFunc(timelines, func(t logquery.Timeline) bool {
		return c.Version != "" && t.Version != c.Version || c.Evacuation != "" && t.Evacuation != c.Evacuation
	})
	if len(timelines) == 0 {
		return fmt.Errorf("none of the %d log lines in the time range tells of such a change that a host put in force: give the logs of all hosts from before the change on", len(lines))
	}
	return logquery.PrintTimelines(os.Stdout, timelines)
}

// readLog returns the log lines of a file and the number of other lines.
func readLog(path string) ([]logquery.Line, int, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, 0, fmt.Errorf("open the log: %w", err)
	}
	defer file.Close()
	return logquery.Read(file)
}
