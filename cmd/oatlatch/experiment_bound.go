package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"github.com/oatlatch/oatlatch/internal/experiment"
	"github.com/oatlatch/oatlatch/internal/flow/echo"
)

// experimentBoundCommand runs a pattern and prints what was reached, the bound of it and the
// causes of requests that were not answered in time.
type experimentBoundCommand struct {
	Pattern string `arg:"" help:"Pattern to play."`
	experimentOptions
	Policy string `default:"least-used" help:"Policy of the hosts."`
	Worst  int    `placeholder:"N" help:"Print the N windows in which most was lost, the worst first, instead of all in order of time."`
	JSON   bool   `help:"Print one JSON object."`
}

// Run prints the bound of a run.
func (c *experimentBoundCommand) Run() error {
	pattern, err := experiment.Find(c.Pattern)
	if err != nil {
		return err
	}
	policy, err := echo.ParsePolicy(c.Policy)
	if err != nil {
		return err
	}
	options, err := c.options()
	if err != nil {
		return err
	}
	if c.Worst < 0 {
		return fmt.Errorf("%d worst windows: must not be negative", c.Worst)
	}
	bound := experiment.RunBound(pattern, policy, options)
	if c.Worst > 0 {
		bound.Windows = bound.Worst(c.Worst)
	}
	if c.JSON {
		if err := json.NewEncoder(os.Stdout).Encode(bound); err != nil {
			return fmt.Errorf("print the bound: %w", err)
		}
		return nil
	}
	return printBound(os.Stdout, bound)
}

// printBound writes the bound as a table.
func printBound(w io.Writer, bound experiment.Bound) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprint(table, "window\tflows\tpriority\tdue\tin time\tlate\trefused\tfailed\tworth\tbound\tdifference\tin time at most\tserved at most")
	for _, cause := range experiment.Causes() {
		fmt.Fprintf(table, "\t%s", cause)
	}
	fmt.Fprintln(table)
	printBoundRows(table, "run", bound.Total)
	for _, window := range bound.Windows {
		printBoundRows(table, window.At.String(), window.Rows)
	}
	return table.Flush()
}

// printBoundRows writes the rows of a window. Causes without a request have a dash.
func printBoundRows(w io.Writer, window string, rows []experiment.BoundRow) {
	for _, r := range rows {
		priority := "-"
		if r.Kind.Priority > 0 {
			priority = fmt.Sprint(r.Kind.Priority)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%.3f\t%.3f\t%.3f\t%.0f\t%.0f", window, r.Kind.Flows, priority, r.Due, r.InTime,
			r.Late, r.Refused, r.Failed, r.Worth, r.WorthBound, r.WorthBound-r.Worth, r.InTimeBound, r.ServedBound)
		for _, cause := range experiment.Causes() {
			if n := r.Causes[cause]; n > 0 {
				fmt.Fprintf(w, "\t%d", n)
			} else {
				fmt.Fprint(w, "\t-")
			}
		}
		fmt.Fprintln(w)
	}
}
