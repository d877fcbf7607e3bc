package main

import (
	"errors"
	"fmt"
	"io"

	"github.com/oatlatch/oatlatch"
)

// report writes an error. Faults of files get one bare line each, so that
// editors and scripts can read the place.
func report(w io.Writer, err error) {
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
