package callers

import "sync"

// maxTickets bounds the unused tickets that a client keeps.
const maxTickets = 16

// tickets keeps unused tickets, newest last.
type tickets struct {
	mu     sync.Mutex
	unused []string
}

func (t *tickets) put(ticket string) {
	if ticket == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.unused) == maxTickets {
		t.unused = append(t.unused[:0], t.unused[1:]...)
	}
	t.unused = append(t.unused, ticket)
}

// take returns the newest ticket, or nothing.
func (t *tickets) take() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.unused) == 0 {
		return ""
	}
	last := len(t.unused) - 1
	ticket := t.unused[last]
	t.unused = t.unused[:last]
	return ticket
}
