package fake

// Calls counts calls that reached the platform, a waiting watch as one.
type Calls struct {
	Gets    int
	Lists   int
	Writes  int
	Watches int
	Hosts   int
}

// Reads returns the number of calls that read.
func (c Calls) Reads() int { return c.Gets + c.Lists + c.Watches + c.Hosts }

// Total returns the number of all calls.
func (c Calls) Total() int { return c.Reads() + c.Writes }

// Sub returns the calls made since an earlier count.
func (c Calls) Sub(earlier Calls) Calls {
	return Calls{
		Gets:    c.Gets - earlier.Gets,
		Lists:   c.Lists - earlier.Lists,
		Writes:  c.Writes - earlier.Writes,
		Watches: c.Watches - earlier.Watches,
		Hosts:   c.Hosts - earlier.Hosts,
	}
}
