package soak

import (
	"fmt"
	"math"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"oleandershunt.example/oleandershunt/internal/testutil/cutlink"
)

const (
	// linkCuts is the number of cuts of a series, and linkPause the time between two.
	linkCuts  = 3
	linkPause = 500 * time.Millisecond
	// minCutServing is how long a VM that is cut off must serve at least before the cut ends.
	minCutServing = 2 * time.Second
	// maxCutFailures and maxCutFailureShare bound the requests that fail at VMs that are cut off from
	// the servers, if they are served less than minCutServed times as often as the others. Fewer may be
	// served by chance, up to maxByChance times the square root of the expected number.
	maxCutFailures     = 10
	maxCutFailureShare = 0.02
	minCutServed       = 2.0 / 3
	maxByChance        = 2
)

// cutTime is how long a fault cuts VMs off from the servers.
func cutTime(f Fault) time.Duration { return bounds.Contact + minCutServing + f.For }

// setLinks sets the state of a VM's links to the servers.
func (v *vm) setLinks(state cutlink.State) error {
	v.stateMu.Lock()
	defer v.stateMu.Unlock()
	v.links = state
	return v.writeLinks()
}

// setDark has a VM's connects to a server hang, or ends that.
func (v *vm) setDark(address string, dark bool) error {
	v.stateMu.Lock()
	defer v.stateMu.Unlock()
	v.dark = slices.DeleteFunc(v.dark, func(other string) bool { return other == address })
	if dark {
		v.dark = append(v.dark, address)
	}
	return v.writeLinks()
}

// writeLinks writes the file from which the VM's program reads the state of its links. v.stateMu must be
// held.
func (v *vm) writeLinks() error {
	lines := append([]string{string(v.links)}, v.dark...)
	return os.WriteFile(v.settings+".links", []byte(strings.Join(lines, "\n")), 0o600)
}

// cutFromServers cuts the VMs of a fault off from all servers.
func (w *world) cutFromServers(f Fault) error {
	state := cutlink.Cuts[f.Target%len(cutlink.Cuts)]
	target := w.vms[f.Target/len(cutlink.Cuts)%len(w.vms)]
	switch f.Kind {
	case DataCentreServersCut:
		var cuts sync.WaitGroup
		errs := make([]error, len(w.vms))
		for i, v := range w.vms {
			if v.DataCentre == target.DataCentre {
				cuts.Go(func() { errs[i] = w.cutLinks(v, state, cutTime(f)) })
			}
		}
		cuts.Wait()
		for _, err := range errs {
			if err != nil {
				return err
			}
		}
		return nil
	case VMServersSeries:
		for i := range linkCuts {
			if err := w.cutLinks(target, cutlink.Cuts[(f.Target+i)%len(cutlink.Cuts)], f.For); err != nil {
				return err
			}
			time.Sleep(linkPause)
		}
		return nil
	default:
		return w.cutLinks(target, state, cutTime(f))
	}
}

// cutLinks cuts a VM's links for a time. Of two faults that overlap, the second one waits.
func (w *world) cutLinks(v *vm, state cutlink.State, span time.Duration) error {
	v.linksMu.Lock()
	defer v.linksMu.Unlock()
	end := w.beginDisturbance(disturbancesOf(v.Name, func(f *observations) map[string]*spans { return f.links }))
	defer end()
	if err := v.setLinks(state); err != nil {
		return err
	}
	time.Sleep(span)
	return v.setLinks(cutlink.Up)
}

// refusedOnAllVMs are the reasons of refusals that don't depend on a VM's links: contents that end servers, and rates
// that servers set.
var refusedOnAllVMs = map[string]bool{"crashes_servers": true, "held_back": true, "servers_limited": true}

// sameTime is the time between two requests at most of which one shows whether the other could be served.
const sameTime = time.Second

// checkCutOff compares what VMs that are cut off from the servers serve, from the contact time after the cut
// on, with what the others serve of the same service at the same moments: servers may be short for all. What
// is refused for a flood doesn't show the cut, since the VM that gets most of the requests refuses most of
// them, nor do requests that end the servers that run them.
func (f *observations) checkCutOff() []finding {
	var atCut, elsewhere []request
	for _, r := range f.requests {
		if r.version != 0 || r.crashing || !r.abandonedAt.IsZero() || !f.undisturbedVM(r) || f.isRefusedForAFlood(r) || refusedOnAllVMs[r.reason] {
			continue
		}
		switch {
		case f.links[r.vm].within(r.sent, r.ended, f.bounds.Contact):
			atCut = append(atCut, r)
		case f.links[r.vm].undisturbed(r.sent, r.ended, f.bounds.Contact) && f.anyCut(r):
			elsewhere = append(elsewhere, r)
		}
	}
	var cut served
	expected := 0.0
	for _, r := range atCut {
		if others := servedAt(r, elsewhere); others.complete > 0 {
			cut.count(r)
			expected += others.share()
		}
	}
	failed, missing := float64(cut.all-cut.complete), expected-float64(cut.complete)
	if failed <= maxCutFailures+maxCutFailureShare*float64(cut.all+len(elsewhere)) || missing <= (1-minCutServed)*expected || missing <= maxByChance*math.Sqrt(expected) {
		return nil
	}
	return []finding{{"cut off VM serves worse", fmt.Sprintf("%d of %d, refused %v; as often as the others at the same moments: %.1f", cut.complete, cut.all, cut.reasons, expected)}}
}

// servedAt counts those requests of a list that show whether a request could be served.
func servedAt(r request, list []request) served {
	var at served
	for _, other := range list {
		if serviceOf(other.route) == serviceOf(r.route) && other.sent.Sub(r.sent).Abs() <= sameTime {
			at.count(other)
		}
	}
	return at
}

// undisturbedVM reports whether the VM of a request was not disturbed itself. What is done to the
// store and to servers concerns all VMs alike.
func (f *observations) undisturbedVM(r request) bool {
	return f.vms[r.vm].undisturbed(r.sent, r.ended, f.bounds.Contact) && f.stops[r.vm].undisturbed(r.sent, r.ended, f.bounds.Contact)
}

// anyCut reports whether some VM was cut off from the servers at a request.
func (f *observations) anyCut(r request) bool {
	for _, links := range f.links {
		if links.within(r.sent, r.ended, f.bounds.Contact) {
			return true
		}
	}
	return false
}

// within reports whether a time lies in one of the spans, from some time after its start on.
func (s *spans) within(from, to time.Time, after time.Duration) bool {
	if s == nil {
		return false
	}
	for _, d := range *s {
		if from.After(d.from.Add(after)) && to.Before(d.to) {
			return true
		}
	}
	return false
}

// served counts requests and those with a complete answer, and by reason those that were refused.
type served struct {
	all, complete int
	reasons       map[string]int
}

func (s *served) count(r request) {
	s.all++
	if r.complete {
		s.complete++
		return
	}
	if s.reasons == nil {
		s.reasons = make(map[string]int)
	}
	s.reasons[r.reason]++
}

func (s *served) share() float64 { return float64(s.complete) / max(float64(s.all), 1) }
