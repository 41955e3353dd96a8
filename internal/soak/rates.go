package soak

import (
	"fmt"
	"slices"
	"time"

	"oleandershunt.example/oleandershunt/platform/standin"
)

// Parameters of the check of rate limits.
const (
	// rateWindow is the time within which requests are counted. The bound is rateFactor times the
	// rate plus rateSlack.
	rateWindow = 4 * time.Second
	rateFactor = 1.5
	rateSlack  = 5
	// limitKnownAfter is how long after its first request a VM must know the rate limit.
	limitKnownAfter = 750 * time.Millisecond
)

// checkRate checks the requests at a server against the rate that it set. Only VMs that must know
// the rate count.
func (f *observations) checkRate(rate rateLimit, sent map[string]request) []finding {
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
		calm := f.vms[vm].undisturbed(a.At, a.At, f.bounds.Contact) && f.stops[vm].undisturbed(a.At, a.At, f.bounds.Contact)
		if calm && a.At.Sub(told[vm]) >= limitKnownAfter && a.At.Sub(rate.from) >= f.bounds.Contact {
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
