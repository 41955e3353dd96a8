package soak

import (
	"fmt"
	"time"

	"oleandershunt.example/oleandershunt/platform/standin"
)

// The figures of servers that ask for something.
const (
	// pauseAsked is the pause that a server asks for, and pauseFor how long beyond the fault's
	// own time it refuses all requests.
	pauseAsked = 1500 * time.Millisecond
	pauseFor   = 2 * time.Second
	// saysFor is how long beyond the bound a server's answers alone say that it leaves.
	saysFor = time.Second
	// pauseGrace is how long after a refusal requests may still arrive, and mostInPause how
	// many from then on to the end of the pause.
	pauseGrace  = 500 * time.Millisecond
	mostInPause = 2
)

// pause has a server refuse all requests and ask for pauses for a time.
func (w *world) pause(f Fault) {
	s := w.pickServer(f.Target)
	if s == nil {
		return
	}
	s.SetPause(pauseAsked)
	time.Sleep(pauseFor + f.For)
	s.SetPause(0)
	w.mu.Lock()
	defer w.mu.Unlock()
	s.taken = false
}

// sayLeaving has a server's answers say that it leaves, for longer than the bound, before it
// leaves.
func (w *world) sayLeaving(f Fault) error {
	s := w.pickServer(f.Target)
	if s == nil {
		return nil
	}
	s.SayLeaving()
	time.Sleep(bounds.DrainWithin + saysFor + f.For)
	return w.leave(s)
}

// byVM groups the arrivals at servers by server and VM.
func (f *facts) byVM(sent map[string]request) map[[2]string][]standin.Arrival {
	groups := make(map[[2]string][]standin.Arrival)
	for _, a := range f.arrivals {
		key := [2]string{a.Server, sent[a.ID].vm}
		groups[key] = append(groups[key], a)
	}
	return groups
}

// calm tells whether a VM was neither disturbed nor stopped in a time.
func (f *facts) calm(vm string, from, to time.Time) bool {
	return f.vms[vm].quiet(from, to, 0) && f.stops[vm].quiet(from, to, 0)
}

// checkPauses looks for requests at servers in the pauses that they asked their VM for.
func (f *facts) checkPauses(sent map[string]request) []finding {
	var found []finding
	for at, arrivals := range f.byVM(sent) {
		for _, asked := range arrivals {
			from, to := asked.At.Add(pauseGrace+slip), asked.At.Add(asked.Pause)
			count := 0
			for _, a := range arrivals {
				if a.At.After(from) && a.At.Before(to) {
					count++
				}
			}
			if count > mostInPause && f.calm(at[1], asked.At, to) {
				found = append(found, finding{"server in its pause", fmt.Sprintf("%s: %d from %s in %s after %s", at[0], count, at[1], asked.Pause, asked.ID)})
			}
		}
	}
	return found
}

// checkSaidLeaving looks for requests at servers whose VM had passed on an answer which says that
// they leave, whatever is with the store.
func (f *facts) checkSaidLeaving(sent map[string]request) []finding {
	var found []finding
	for at, arrivals := range f.byVM(sent) {
		for _, said := range arrivals {
			answered := sent[said.ID].ended
			if !said.Leaving || !said.Ran || sent[said.ID].status != 200 || answered.IsZero() {
				continue
			}
			for _, a := range arrivals {
				late := sent[a.ID].sent.Sub(answered) - f.bounds.DrainWithin
				if late > slip && f.calm(at[1], answered, a.At) {
					found = append(found, finding{"server that said that it leaves", fmt.Sprintf("%s by %s at %s, %s too late", a.ID, at[1], at[0], late.Round(time.Millisecond))})
				}
			}
		}
	}
	return found
}
