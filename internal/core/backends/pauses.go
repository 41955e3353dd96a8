package backends

import (
	"fmt"
	"sort"
	"time"

	"oleandershunt.example/oleandershunt/internal/core/routes"
)

// Deferral says that a request could only be sent to servers that want none of this VM yet.
type Deferral interface {
	error
	// Due is in what time a request may be sent that comes after so many others. False where
	// that isn't known.
	Due(ahead int) (time.Duration, bool)
}

// PauseError says that a request could only be sent to servers that want none of this VM for
// a time, by their own word.
type PauseError struct {
	Service string
	// Wait is in what time enough of them may get requests again.
	Wait time.Duration
}

var _, _ Deferral = (*PauseError)(nil), (*LimitError)(nil)

// Error implements error.
func (e *PauseError) Error() string {
	return fmt.Sprintf("servers of service %q asked for a pause of which %v are left: find why they turn requests away, or let more servers take them", e.Service, e.Wait)
}

// Due implements Deferral.
func (e *PauseError) Due(int) (time.Duration, bool) { return e.Wait, true }

// Pause takes a server's word that it wants no requests of this VM for a span. It returns
// whether that is news. Other VMs are told that it is full, and no longer than of any full
// server: the pause was asked of this VM only.
func (f *Fleet) Pause(now time.Duration, id string, span time.Duration) bool {
	if k, ok := f.servers[id]; ok {
		k.fullSpan = min(span, fullMost)
		k.fullUntil = max(k.fullUntil, now+k.fullSpan)
	}
	return f.pauses.Ask(now, id, span)
}

// Paused tells whether a server wants no requests of this VM now.
func (f *Fleet) Paused(now time.Duration, id string) bool { return f.pauses.Active(now, id) }

// Wanted tells whether the servers of a choice still want a request: none has left since, or
// asked for a pause.
func (f *Fleet) Wanted(now time.Duration, choice Choice) bool {
	for id := range choice.servers() {
		if k, ok := f.servers[id]; !ok || k.Draining || f.pauses.Active(now, id) {
			return false
		}
	}
	return true
}

// Took says that the servers of a choice run a request that was sent to them at a moment.
func (f *Fleet) Took(now, sent time.Duration, choice Choice) {
	for id := range choice.servers() {
		f.pauses.Took(now, sent, id)
	}
}

// pausedNow tells whether a server is to get nothing of this VM yet.
func (f *Fleet) pausedNow(now time.Duration, id string, request Request) bool {
	return f.pauses.Until(id) > max(now, request.pausesAt)
}

// paused returns why a request can't be sent now that could be without pauses, or nil.
func (f *Fleet) paused(now time.Duration, service routes.Service, request Request) *PauseError {
	ends := f.pauses.Ends(now, func(id string) bool {
		k, ok := f.servers[id]
		return ok && k.Service == service.Name
	})
	first := sort.Search(len(ends), func(i int) bool {
		at := request
		at.pausesAt = ends[i]
		return f.possible(now, service, at)
	})
	if first == len(ends) {
		return nil
	}
	return &PauseError{Service: service.Name, Wait: ends[first] - now}
}

// possible tells whether a request could be sent if no server were full or at its rate.
func (f *Fleet) possible(now time.Duration, service routes.Service, request Request) bool {
	request.Force, request.anyRate = true, true
	if service.Engine == nil {
		return f.instance(now, service.Name, request) != nil
	}
	_, ok := f.choose(now, service, request)
	return ok
}

// deferred returns why a request can't be sent now that could be later, or nil.
func (f *Fleet) deferred(now time.Duration, service routes.Service, request Request) error {
	limited, paused := f.limited(now, service, request), f.paused(now, service, request)
	if limited != nil && (paused == nil || limited.before(paused)) {
		return limited
	}
	if paused != nil {
		return paused
	}
	return nil
}
