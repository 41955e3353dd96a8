package soak

import (
	"fmt"
	"time"

	"oleandershunt.example/oleandershunt/platform/standin"
)

// Parameters of the faults in which servers signal something to VMs.
const (
	// requestedPause is the pause that a server requests, and pauseExtension how much longer than the
	// fault it rejects all requests.
	requestedPause = 1500 * time.Millisecond
	pauseExtension = 2 * time.Second
	// leavingExtension is how much longer than the bound only a server's answers announce that it
	// leaves.
	leavingExtension = time.Second
	// pauseGrace is how long after a rejection requests may still arrive, and maxInPause how many
	// may arrive from then until the end of the pause.
	pauseGrace = 500 * time.Millisecond
	maxInPause = 2
)

// pause makes a server reject all requests and request pauses for a time.
func (w *world) pause(f Fault) {
	s := w.pickServer(f.Target)
	if s == nil {
		return
	}
	s.SetRetryAfter(requestedPause)
	time.Sleep(pauseExtension + f.For)
	s.SetRetryAfter(0)
	w.mu.Lock()
	defer w.mu.Unlock()
	s.inFault = false
}

// announceLeaving makes a server announce in its answers that it leaves, for longer than the bound,
// before its entry does.
func (w *world) announceLeaving(f Fault) error {
	s := w.pickServer(f.Target)
	if s == nil {
		return nil
	}
	s.AnnounceLeaving()
	time.Sleep(bounds.DrainWithin + leavingExtension + f.For)
	return w.leave(s)
}

// byVM groups the requests that reached servers by server and VM.
func (f *observations) byVM(sent map[string]request) map[[2]string][]standin.Arrival {
	groups := make(map[[2]string][]standin.Arrival)
	for _, a := range f.arrivals {
		key := [2]string{a.Server, sent[a.ID].vm}
		groups[key] = append(groups[key], a)
	}
	return groups
}

// vmUndisturbed reports whether a VM was neither disturbed nor stopped between two times.
func (f *observations) vmUndisturbed(vm string, from, to time.Time) bool {
	return f.vms[vm].undisturbed(from, to, 0) && f.stops[vm].undisturbed(from, to, 0)
}

// checkPauses finds requests that reached a server during a pause that it requested from their VM.
func (f *observations) checkPauses(sent map[string]request) []finding {
	var found []finding
	for at, arrivals := range f.byVM(sent) {
		for _, asked := range arrivals {
			from, to := asked.At.Add(pauseGrace+timingTolerance), asked.At.Add(asked.RetryAfter)
			count := 0
			for _, a := range arrivals {
				if a.At.After(from) && a.At.Before(to) {
					count++
				}
			}
			if count > maxInPause && f.vmUndisturbed(at[1], asked.At, to) {
				found = append(found, finding{"server in its pause", fmt.Sprintf("%s: %d from %s in %s after %s", at[0], count, at[1], asked.RetryAfter, asked.ID)})
			}
		}
	}
	return found
}

// checkAnnouncedLeaving finds requests that a VM sent to a server too long after it had passed on an
// answer in which the server announced that it leaves, whether or not the store was available.
func (f *observations) checkAnnouncedLeaving(sent map[string]request) []finding {
	var found []finding
	for at, arrivals := range f.byVM(sent) {
		for _, said := range arrivals {
			answered := sent[said.ID].ended
			if !said.Leaving || !said.Executed || sent[said.ID].status != 200 || answered.IsZero() {
				continue
			}
			for _, a := range arrivals {
				late := sent[a.ID].sent.Sub(answered) - f.bounds.DrainWithin
				if late > timingTolerance && f.vmUndisturbed(at[1], answered, a.At) {
					found = append(found, finding{"server that said that it leaves", fmt.Sprintf("%s by %s at %s, %s too late", a.ID, at[1], at[0], late.Round(time.Millisecond))})
				}
			}
		}
	}
	return found
}
