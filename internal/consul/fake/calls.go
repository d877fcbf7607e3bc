package fake

// Calls counts the calls of a client by kind, including calls that failed. Writes that
// are too large are not counted, because they are not sent.
type Calls struct {
	Gets int
	// Lists includes calls of Keys.
	Lists int
	// Writes counts calls of CompareAndSwap and Delete.
	Writes  int
	Watches int
	Hosts   int
}

// Reads returns the number of calls other than writes.
func (c Calls) Reads() int { return c.Gets + c.Lists + c.Watches + c.Hosts }

// Total returns the number of all calls.
func (c Calls) Total() int { return c.Reads() + c.Writes }

// Sub returns the number of calls made since the earlier count.
func (c Calls) Sub(earlier Calls) Calls {
	return Calls{
		Gets:    c.Gets - earlier.Gets,
		Lists:   c.Lists - earlier.Lists,
		Writes:  c.Writes - earlier.Writes,
		Watches: c.Watches - earlier.Watches,
		Hosts:   c.Hosts - earlier.Hosts,
	}
}
