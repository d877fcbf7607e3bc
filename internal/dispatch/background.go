package dispatch

import "sync"

// background runs calls that outlive their request. Unlike sync.WaitGroup it may
// be given more calls while it is waited for.
type background struct {
	mu      sync.Mutex
	done    sync.Cond
	running int
}

func newBackground() *background {
	b := &background{}
	b.done.L = &b.mu
	return b
}

// Go runs the call in a goroutine of its own.
func (b *background) Go(call func()) {
	b.mu.Lock()
	b.running++
	b.mu.Unlock()
	go func() {
		defer b.finish()
		call()
	}()
}

func (b *background) finish() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running--
	b.done.Broadcast()
}

// Wait returns when no call runs.
func (b *background) Wait() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for b.running > 0 {
		b.done.Wait()
	}
}
