package backends

import (
	"fmt"
	"sort"
	"time"

	"oleandershunt.example/oleandershunt/internal/core/routes"
)

// Deferral is an error for a request whose suitable servers accept no more requests of this VM for
// now.
type Deferral interface {
	error
	// RetryAfter returns the time until a request with so many others ahead of it may be sent, or false if
	// that isn't known.
	RetryAfter(ahead int) (time.Duration, bool)
}

// PauseError is returned if all suitable servers asked this VM for a pause.
type PauseError struct {
	Service string
	// Wait is the time until enough of them accept requests again.
	Wait time.Duration
}

var _, _ Deferral = (*PauseError)(nil), (*LimitError)(nil)

// Error implements error.
func (e *PauseError) Error() string {
	return fmt.Sprintf("servers of service %q asked for a pause of which %v are left: find why they turn requests away, or let more servers take them", e.Service, e.Wait)
}

// RetryAfter implements Deferral.
func (e *PauseError) RetryAfter(int) (time.Duration, bool) { return e.Wait, true }

// Pause records that a server asked this VM to send no requests for a span, and reports whether
// that is new. Other VMs learn that the server is full, for no longer than any full server, since
// the pause was asked of this VM only.
func (f *Fleet) Pause(now time.Duration, id string, span time.Duration) bool {
	if s, ok := f.servers[id]; ok {
		s.fullBackoff = min(span, maxFullBackoff)
		s.fullUntil = max(s.fullUntil, now+s.fullBackoff)
		f.subsets.full[id] = s
	}
	return f.pauses.RequestPause(now, id, span)
}

// Paused reports whether a server currently wants no requests from this VM.
func (f *Fleet) Paused(now time.Duration, id string) bool { return f.pauses.Active(now, id) }

// Usable reports whether all servers of a choice still accept a request: none has left since or
// asked for a pause.
func (f *Fleet) Usable(now time.Duration, choice Choice) bool {
	for id := range choice.serverIDs() {
		if s, ok := f.servers[id]; !ok || s.Draining || f.isExpired(now, s) || f.pauses.Active(now, id) {
			return false
		}
	}
	return true
}

// MarkAccepted records that the servers of a choice accepted a request sent at the given time.
func (f *Fleet) MarkAccepted(now, sent time.Duration, choice Choice) {
	for id := range choice.serverIDs() {
		f.pauses.RecordAccepted(now, sent, id)
	}
}

// isPaused reports whether a server must not get requests of this VM yet.
func (f *Fleet) isPaused(now time.Duration, id string, request Request) bool {
	return f.pauses.NextSend(id) > max(now, request.pausesAsOf)
}

// pauseError returns the error for a request that only pauses prevent from being sent now, or nil.
func (f *Fleet) pauseError(now time.Duration, service routes.Service, request Request) *PauseError {
	ends := f.pauses.SendTimes(now, func(id string) bool {
		s, ok := f.servers[id]
		return ok && s.Service == service.Name
	})
	first := sort.Search(len(ends), func(i int) bool {
		at := request
		at.pausesAsOf = ends[i]
		return f.isFeasible(now, service, at)
	})
	if first == len(ends) {
		return nil
	}
	return &PauseError{Service: service.Name, Wait: ends[first] - now}
}

// isFeasible reports whether a request could be sent if no server were full or at its rate limit.
func (f *Fleet) isFeasible(now time.Duration, service routes.Service, request Request) bool {
	request.IgnoreCapacity, request.ignoreRateLimits = true, true
	if service.Engine == nil {
		return f.leastLoaded(now, service.Name, request) != nil
	}
	_, ok := f.choosePath(now, service, request)
	return ok
}

// deferral returns the error for a request that can't be sent now but can be later, or nil.
func (f *Fleet) deferral(now time.Duration, service routes.Service, request Request) error {
	limited, paused := f.limitError(now, service, request), f.pauseError(now, service, request)
	if limited != nil && (paused == nil || limited.endsBefore(paused)) {
		return limited
	}
	if paused != nil {
		return paused
	}
	return nil
}
