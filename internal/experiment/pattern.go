package experiment

import (
	"fmt"
	"slices"
	"time"

	"github.com/oatlatch/oatlatch/internal/flow/echo"
)

// Pattern is a named load or fault.
type Pattern struct {
	Name string
	// Help says what happens.
	Help string
	plan func(*world)
}

// Times of the run at which patterns begin and end.
const (
	patternAt  = 10 * time.Second
	patternEnd = 16 * time.Second
	// flapPeriod is the time between two silences of a flapping upstream, and
	// flapSilence how long each lasts.
	flapPeriod  = 3 * time.Second
	flapSilence = 1500 * time.Millisecond
)

// Patterns returns all patterns.
func Patterns() []Pattern {
	return []Pattern{
		{"steady", "nothing but load", func(*world) {}},
		{"burst", "1.7 times the load for six seconds", burst},
		{"overload", "2.2 times the load, more than all slots, for six seconds", overload},
		{"rolling-release", "upstreams are replaced one after the other by cold ones", rollingRelease},
		{"scale-in", "a fifth of the upstreams drains and leaves", scaleIn},
		{"zone-cut", "one data centre is cut off from the others for six seconds", zoneCut},
		{"overloaded-cut", "the same, and half of its upstreams have left before", overloadedCut},
		{"silent-upstreams", "a quarter of the upstreams falls silent", silentUpstreams},
		{"flapping", "two upstreams fall silent and return by turns", flapping},
		{"grey-upstreams", "two upstreams take no notice of 40% of the requests", greyUpstreams},
		{"slow-upstreams", "two upstreams are four times slower", slowUpstreams},
		{"mass-restart", "all hosts are down for a second", massRestart},
	}
}

// Find returns the pattern with the name.
func Find(name string) (Pattern, error) {
	for _, p := range Patterns() {
		if p.Name == name {
			return p, nil
		}
	}
	var names []string
	for _, p := range Patterns() {
		names = append(names, p.Name)
	}
	return Pattern{}, fmt.Errorf("no pattern %q: name one of %v", name, names)
}

// Play plays the pattern under the policy.
func Play(p Pattern, policy echo.Policy, options Options) Result {
	w := newWorld(options, policy)
	w.populate()
	w.after(probeTick, w.probes)
	if policy == echo.SharedEstimates {
		w.share()
	}
	p.plan(w)
	w.play()
	return w.result.result(p.Name, policy.String())
}

// populate starts as many users as keep the stated part of all slots busy.
func (w *world) populate() {
	o := &w.options
	slots := float64(o.Sites * o.UpstreamsPerSite * o.Slots)
	cycle := think + workMean + 4*callerDelay
	users := int(o.Load * slots * float64(cycle) / float64(workMean))
	for i := range users {
		w.newUser(i%o.Sites, float64(i%10) < 10*longShare)
	}
}

func burst(w *world) {
	w.at(patternAt, func() { w.rate = 1.7 })
	w.at(patternEnd, func() { w.rate = 1 })
}

func overload(w *world) {
	w.at(patternAt, func() { w.rate = 2.2 })
	w.at(patternEnd, func() { w.rate = 1 })
}

func rollingRelease(w *world) {
	for i, u := range slices.Clone(w.upstreams) {
		w.at(5*time.Second+time.Duration(i)*time.Second, func() {
			w.addUpstream(u.site, true)
			w.tellAll(beliefDelay)
			u.leave()
		})
	}
}

func scaleIn(w *world) {
	w.at(patternAt, func() {
		for i, u := range w.upstreams {
			if i%5 == 0 {
				u.leave()
			}
		}
	})
}

func zoneCut(w *world) {
	w.at(patternAt, func() { w.cut[0] = true })
	w.at(patternEnd, func() { w.cut[0] = false })
}

func overloadedCut(w *world) {
	w.at(3*time.Second, func() {
		for i, u := range w.upstreams {
			if u.site == 0 && i%2 == 0 {
				u.leave()
			}
		}
	})
	zoneCut(w)
}

func silentUpstreams(w *world) {
	w.at(patternAt, func() {
		for i, u := range w.upstreams {
			if i%4 == 0 {
				u.die()
			}
		}
	})
}

func flapping(w *world) {
	for cycle := range 4 {
		begin := patternAt + time.Duration(cycle)*flapPeriod
		for _, u := range w.upstreams[:2] {
			w.at(begin, func() { u.dead = true })
			w.at(begin+flapSilence, func() { u.dead = false })
		}
	}
}

func greyUpstreams(w *world) {
	for _, u := range w.upstreams[:2] {
		w.at(patternAt, func() { u.mute = 0.4 })
		w.at(patternAt+10*time.Second, func() { u.mute = 0 })
	}
}

func slowUpstreams(w *world) {
	for _, u := range w.upstreams[:2] {
		w.at(patternAt, func() { u.slow = 4 })
		w.at(patternAt+10*time.Second, func() { u.slow = 1 })
	}
}

func massRestart(w *world) {
	for _, h := range w.hosts {
		w.at(patternAt, func() { h.down = true })
		w.at(patternAt+time.Second, func() {
			h.down = false
			w.startHost(h)
		})
	}
}
