package soak

import (
	"fmt"
	"slices"
	"time"

	"oleandershunt.example/oleandershunt/platform/standin"
)

// The bound on requests at a server that sets a rate.
const (
	// rateWindow is the time within which requests are counted, rateFactor and rateSlack the
	// bound: so many times the rate, and so many more.
	rateWindow = 4 * time.Second
	rateFactor = 1.5
	rateSlack  = 5
	// toldAfter is how long after its first request a VM counts as told.
	toldAfter = 750 * time.Millisecond
)

// checkRate holds the requests at a server against the rate that it set, for the VMs that were
// told it.
func (f *facts) checkRate(rate rated, sent map[string]request) []finding {
	told := make(map[string]time.Time)
	var counted []time.Time
	arrivals := slices.Clone(f.arrivals)
	slices.SortStableFunc(arrivals, func(a, b standin.Arrival) int { return a.At.Compare(b.At) })
	for _, a := range arrivals {
		if a.Server != rate.server || a.At.Before(rate.from) || a.At.After(rate.to) {
			continue
		}
		vm := sent[a.ID].vm
		if _, ok := told[vm]; !ok {
			told[vm] = a.At
		}
		calm := f.vms[vm].quiet(a.At, a.At, f.bounds.Contact) && f.stops[vm].quiet(a.At, a.At, f.bounds.Contact)
		if calm && a.At.Sub(told[vm]) >= toldAfter && a.At.Sub(rate.from) >= f.bounds.Contact {
			counted = append(counted, a.At)
		}
	}
	allowed := rateFactor*rateWindow.Seconds()*rate.perSecond + rateSlack
	for i, at := range counted {
		end, _ := slices.BinarySearchFunc(counted, at.Add(rateWindow), time.Time.Compare)
		if count := end - i; float64(count) > allowed {
			return []finding{{"server beyond its rate", fmt.Sprintf("%s: %d in %s, %.0f are allowed", rate.server, count, rateWindow, allowed)}}
		}
	}
	return nil
}
