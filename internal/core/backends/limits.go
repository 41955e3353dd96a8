package backends

import (
	"fmt"
	"time"

	"oleandershunt.example/oleandershunt/internal/core/lease"
	"oleandershunt.example/oleandershunt/internal/core/ratelimit"
	"oleandershunt.example/oleandershunt/internal/core/routes"
)

// LimitError says that a request could only be sent to servers that this VM may not send
// another one yet, by the request rates that they set.
type LimitError struct {
	Service string
	// Wait is in what time the next request may be sent, and PerSecond how many a second
	// this VM may send. Where that is 0 other VMs may.
	Wait      time.Duration
	PerSecond float64
}

// Error implements error.
func (e *LimitError) Error() string {
	return fmt.Sprintf("servers of service %q are at the request rates that they set, of which this VM has %.2f a second: let more servers take requests", e.Service, e.PerSecond)
}

// Due implements Deferral.
func (e *LimitError) Due(ahead int) (time.Duration, bool) {
	if e.PerSecond <= 0 {
		return 0, false
	}
	return e.Wait + time.Duration(float64(ahead)/e.PerSecond*float64(time.Second)), true
}

// before tells whether this VM may send a request sooner than a pause ends.
func (e *LimitError) before(paused *PauseError) bool { return e.PerSecond > 0 && e.Wait <= paused.Wait }

// SaidRate takes the rate that a server set in its answer to a request that was sent at a
// moment. It returns whether that is news.
func (f *Fleet) SaidRate(now, sent time.Duration, id string, perSecond float64) bool {
	k, ok := f.servers[id]
	return ok && f.limits.Said(now, sent, id, k.DataCentre, perSecond)
}

// HeardRates takes other VMs' words on servers' rates.
func (f *Fleet) HeardRates(now time.Duration, words map[string]ratelimit.Word) {
	for id, word := range words {
		if k, ok := f.servers[id]; ok {
			f.limits.Heard(now, id, k.DataCentre, word)
		}
	}
}

// Rates are the words on servers' rates that other VMs are to be told.
func (f *Fleet) Rates(now time.Duration) map[string]ratelimit.Word { return f.limits.Words(now) }

// Members takes this VM and all that live, which share the rates.
func (f *Fleet) Members(now time.Duration, self string, vms []lease.VM) {
	f.limits.Live(now, self, vms)
}

// Limited tells whether a server sets a rate.
func (f *Fleet) Limited(id string) bool { return f.limits.Word(id).Limited() }

// Sent counts a request that is sent to the servers of a choice.
func (f *Fleet) Sent(now time.Duration, choice Choice) {
	f.limits.Sent(now, choice.First.ID)
	for id := range choice.servers() {
		f.pauses.Sent(now, id)
	}
}

// mayBegin tells whether a server may get a request by its rate.
func (f *Fleet) mayBegin(now time.Duration, id string, request Request) bool {
	return request.anyRate || f.limits.Allows(now, id)
}

// limited returns why a request can't be sent now that could be without limits, or nil.
func (f *Fleet) limited(now time.Duration, service routes.Service, request Request) *LimitError {
	if !f.possible(now, service, request) {
		return nil
	}
	err := &LimitError{Service: service.Name}
	for id, k := range f.servers {
		if k.Service != service.Name || !k.begins(service.Engine) || !f.mayTake(now, k, request) {
			continue
		}
		wait, share := f.limits.Next(now, id)
		if share > 0 && (err.PerSecond == 0 || wait < err.Wait) {
			err.Wait = wait
		}
		err.PerSecond += share
	}
	return err
}

// begins tells whether requests can be sent to a server: it holds the first layers, or its
// service has none.
func (k *known) begins(engine *routes.Engine) bool {
	if engine == nil {
		return true
	}
	for _, held := range k.Holds {
		if held.Layers.From == 0 && held.Layers.Len() > 0 {
			return true
		}
	}
	return false
}
