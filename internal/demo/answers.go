package demo

import (
	"sync"

	"github.com/oatlatch/oatlatch/internal/standin/upstream"
)

// answers remembers which flows an upstream has answered.
type answers struct {
	mu   sync.Mutex
	seen map[flowID]bool
}

func newAnswers() *answers { return &answers{seen: make(map[flowID]bool)} }

func (a *answers) note(f upstream.Flow) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.seen[flowID{f.Source, f.Destination}] = true
}

func (a *answers) has(f flowID) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.seen[f]
}
