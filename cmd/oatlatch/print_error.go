package main

import (
	"errors"
	"fmt"
	"io"

	"github.com/oatlatch/oatlatch"
)

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
	fmt.Fprintf(w, "oatlatch: %d problems, nothing published\n", len(problems))
}
