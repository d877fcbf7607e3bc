package main

import (
	"sync"
	"syscall"
	"time"
)

// freezeTime is how long a host stands still.
const freezeTime = 4 * time.Second

// hostFreeze: calls are opened, and one host stands still meanwhile. Its routers send the packets
// to others after two checks, and back to it once it is ready again.
func hostFreeze(r *rig) error {
	if err := r.setUp(kowhaiCalls); err != nil {
		return err
	}
	ctx, cancel := contextUntil(28 * time.Second)
	defer cancel()
	var group sync.WaitGroup
	r.feeds(ctx, &group, 8, 6*time.Second, 12*time.Second)
	time.Sleep(2500 * time.Millisecond)
	if r.trouble {
		h := r.hosts[2]
		r.note("node_freeze: %s stands still for %s", h.name, freezeTime)
		if err := h.signal(syscall.SIGSTOP); err != nil {
			return err
		}
		time.Sleep(freezeTime)
		if err := h.signal(syscall.SIGCONT); err != nil {
			return err
		}
		r.note("%s goes on", h.name)
		r.mu.Lock()
		r.calm = time.Now().Add(contactTime)
		r.mu.Unlock()
	}
	group.Wait()
	return nil
}
