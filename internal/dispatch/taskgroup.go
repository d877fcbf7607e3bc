package dispatch

import "sync"

// taskGroup runs functions that outlive the request that started them. Unlike with
// sync.WaitGroup, functions may be added while Wait is blocked.
type taskGroup struct {
	mu      sync.Mutex
	done    sync.Cond
	running int
}

func newTaskGroup() *taskGroup {
	g := &taskGroup{}
	g.done.L = &g.mu
	return g
}

// Go runs the function in a new goroutine.
func (g *taskGroup) Go(task func()) {
	g.mu.Lock()
	g.running++
	g.mu.Unlock()
	go func() {
		defer g.taskDone()
		task()
	}()
}

func (g *taskGroup) taskDone() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
	g.done.Broadcast()
}

// Wait blocks until no function is running.
func (g *taskGroup) Wait() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for g.running > 0 {
		g.done.Wait()
	}
}
