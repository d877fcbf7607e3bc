package warmup

import (
	"strconv"
	"time"
)

// Process identifies a process of an upstream.
type Process struct {
	// Name is the name of the upstream.
	Name string
	// Started is when the process started, in Unix milliseconds; 0 if unknown.
	Started int64
}

// NewProcess returns the process of the named upstream that started at the given time,
// which is zero if unknown.
func NewProcess(name string, started time.Time) Process {
	if started.IsZero() {
		return Process{Name: name}
	}
	return Process{Name: name, Started: started.UnixMilli()}
}

// String returns the process as NAME/STARTED.
func (p Process) String() string { return p.Name + "/" + strconv.FormatInt(p.Started, 10) }

// Share is one of the SharesPerProcess shares of a process's budget.
type Share struct {
	Process
	// Index is the number of the share, from 0.
	Index int
}

// String returns the share as NAME/STARTED/INDEX.
func (s Share) String() string { return s.Process.String() + "/" + strconv.Itoa(s.Index) }

// ColdProcess is a process that warms up.
type ColdProcess struct {
	Process
	// Budget is how many opening packets it may get in a second from all hosts together.
	Budget int
	// Remaining is how long it still warms up.
	Remaining time.Duration
}
