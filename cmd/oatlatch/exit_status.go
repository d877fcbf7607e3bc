package main

import "errors"

// Exit statuses of the client.
const (
	statusFailed = 1
	// statusUsage means that the command could not be run as it was given.
	statusUsage = 2
)

// usageError is an error of the command line, or of the files and addresses that it names.
type usageError struct{ error }

func (e usageError) Unwrap() error { return e.error }

// exitStatusOf returns the exit status for an error of a command.
func exitStatusOf(err error) int {
	if errors.As(err, new(usageError)) {
		return statusUsage
	}
	return statusFailed
}

// exitStatus returns the exit status in place of one that the parser of the command line
// chose: it uses others than 0 only for usage errors.
func exitStatus(parser int) int {
	if parser == 0 {
		return 0
	}
	return statusUsage
}
