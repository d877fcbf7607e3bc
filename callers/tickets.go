package callers

import "sync"

// maxUnusedTickets is the number of unused tickets that a client keeps. The oldest is
// dropped for a new one.
const maxUnusedTickets = 16

// ticketPool holds unused tickets, newest last. It is safe for concurrent use.
type ticketPool struct {
	mu     sync.Mutex
	unused []string
}

// put adds a ticket. It does nothing if ticket is empty.
func (p *ticketPool) put(ticket string) {
	if ticket == "" {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.unused) == maxUnusedTickets {
		p.unused = append(p.unused[:0], p.unused[1:]...)
	}
	p.unused = append(p.unused, ticket)
}

// take removes and returns the newest ticket, or returns "" if there is none.
func (p *ticketPool) take() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.unused) == 0 {
		return ""
	}
	last := len(p.unused) - 1
	ticket := p.unused[last]
	p.unused = p.unused[:last]
	return ticket
}
