package backends

import (
	"fmt"
	"time"

	"oleandershunt.example/oleandershunt/internal/core/lease"
	"oleandershunt.example/oleandershunt/internal/core/ratelimit"
	"oleandershunt.example/oleandershunt/internal/core/routes"
)

// LimitError is returned if all suitable servers are at their request rate limits for this VM.
type LimitError struct {
	Service string
	// Wait is the time until the next request may be sent, and PerSecond the number of requests a
	// second that this VM may send. If that is 0, only other VMs may send.
	Wait      time.Duration
	PerSecond float64
}

// Error implements error.
func (e *LimitError) Error() string {
	return fmt.Sprintf("servers of service %q are at the request rates that they set, of which this VM has %.2f a second: let more servers take requests", e.Service, e.PerSecond)
}

// RetryAfter implements Deferral.
func (e *LimitError) RetryAfter(ahead int) (time.Duration, bool) {
	if e.PerSecond <= 0 {
		return 0, false
	}
	return e.Wait + time.Duration(float64(ahead)/e.PerSecond*float64(time.Second)), true
}

// endsBefore reports whether this VM may send a request before a pause ends.
func (e *LimitError) endsBefore(paused *PauseError) bool {
	return e.PerSecond > 0 && e.Wait <= paused.Wait
}

// SetRateLimit records the rate limit that a server set in its answer to a request sent at the given
// time. It reports whether that is new.
func (f *Fleet) SetRateLimit(now, sent time.Duration, id string, perSecond float64) bool {
	s, ok := f.servers[id]
	return ok && f.rateLimits.ObserveAnswer(now, sent, id, s.DataCentre, perSecond)
}

// SetRemoteRateLimits records the rate limits of servers that other VMs reported.
func (f *Fleet) SetRemoteRateLimits(now time.Duration, limits map[string]ratelimit.Report) {
	for id, limit := range limits {
		if s, ok := f.servers[id]; ok {
			f.rateLimits.MergeReport(now, id, s.DataCentre, limit)
		}
	}
}

// RateLimits returns the rate limits to be published to the other VMs.
func (f *Fleet) RateLimits(now time.Duration) map[string]ratelimit.Report {
	return f.rateLimits.Reports(now)
}

// SetMembers sets this VM and all live VMs, which share the rate limits.
func (f *Fleet) SetMembers(now time.Duration, self string, vms []lease.VM) {
	f.rateLimits.SetLiveVMs(now, self, vms)
}

// SetDemand sets this VM's part of what callers send to each service, from 0 to 1. Services that are
// absent have an unknown one.
func (f *Fleet) SetDemand(now time.Duration, demand map[string]float64) {
	f.demand = demand
	f.rateLimits.SetDemand(now, func(id string) (float64, bool) {
		s, ok := f.servers[id]
		if !ok {
			return 0, false
		}
		part, ok := demand[s.Service]
		return part, ok
	})
}

// HasRateLimits reports whether any server is known to set a rate limit.
func (f *Fleet) HasRateLimits() bool { return !f.rateLimits.Empty() }

// HasRateLimit reports whether a server sets a rate limit.
func (f *Fleet) HasRateLimit(id string) bool { return f.rateLimits.Report(id).Limited() }

// CountSent counts a request that is sent to the servers of a choice.
func (f *Fleet) CountSent(now time.Duration, choice Choice) {
	f.rateLimits.RecordSent(now, choice.First.ID)
	for id := range choice.serverIDs() {
		f.pauses.RecordSent(now, id)
	}
}

// withinRateLimit reports whether a server's rate limit allows a request now.
func (f *Fleet) withinRateLimit(now time.Duration, id string, request Request) bool {
	return request.ignoreRateLimits || f.rateLimits.Allows(now, id)
}

// limitError returns the error for a request that only rate limits prevent from being sent now, or
// nil.
func (f *Fleet) limitError(now time.Duration, service routes.Service, request Request) *LimitError {
	if !f.isFeasible(now, service, request) {
		return nil
	}
	err := &LimitError{Service: service.Name}
	for id, s := range f.servers {
		if s.Service != service.Name || !s.canBeFirst(service.Engine) || !f.isEligible(now, s, request) {
			continue
		}
		wait, share := f.rateLimits.NextSend(now, id)
		if share > 0 && (err.PerSecond == 0 || wait < err.Wait) {
			err.Wait = wait
		}
		err.PerSecond += share
	}
	return err
}

// canBeFirst reports whether requests can be sent to a server: it holds the first layers, or its
// service has no layers.
func (s *serverState) canBeFirst(engine *routes.Engine) bool {
	if engine == nil {
		return true
	}
	for _, held := range s.LayerRanges {
		if held.Layers.From == 0 && engine.HasLayers(held.Layers) {
			return true
		}
	}
	return false
}
