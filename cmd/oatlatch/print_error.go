package main

import (
	"errors"
	"fmt"
	"io"

	"github.com/oatlatch/oatlatch"
)

// errNotPublished is wrapped by the errors of a command that was to publish.
var errNotPublished = errors.New("nothing published")

// printError prints an error. Problems in service files are printed one per line
// without a prefix, so that editors and scripts can parse their positions, and are
// followed by their number.
func printError(w io.Writer, err error) {
	var problems oatlatch.Problems
	if !errors.As(err, &problems) {
		fmt.Fprintf(w, "oatlatch: %v\n", err)
		return
	}
	for _, problem := range problems {
		fmt.Fprintln(w, problem.Error())
	}
	summary := fmt.Sprintf("%d problems", len(problems))
	if errors.Is(err, errNotPublished) {
		summary += ", " + errNotPublished.Error()
	}
	fmt.Fprintf(w, "oatlatch: %s\n", summary)
}
