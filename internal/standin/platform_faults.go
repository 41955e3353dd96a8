package standin

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"oleandershunt.example/oleandershunt/internal/platform"
)

// PlatformFaults is how the platform misbehaves, towards all VMs or one.
type PlatformFaults struct {
	// Down breaks every connection without an answer, open watches included.
	Down bool `json:"down,omitempty"`
	// Throttled answers every call with status 429.
	Throttled bool `json:"throttled,omitempty"`
	// DelayMillis is waited before each call takes effect.
	DelayMillis int `json:"delayMillis,omitempty"`
	// LoseWriteAnswers is how many of the next writes and deletes take effect
	// and then get no answer.
	LoseWriteAnswers int `json:"loseWriteAnswers,omitempty"`
	// WatchLagMillis is waited before a change is sent to a watch.
	WatchLagMillis int `json:"watchLagMillis,omitempty"`
	// WatchSilent makes watches carry nothing, their connections open.
	WatchSilent bool `json:"watchSilent,omitempty"`
	// StaleLists answers lists from the state at the time when the fault was first set.
	StaleLists bool `json:"staleLists,omitempty"`
}

// scope is the faults towards one VM, or all when its name is empty.
type scope struct {
	faults PlatformFaults
	old    *store
}

type platformFaults struct {
	mu     sync.Mutex
	scopes map[string]*scope
	// changed is closed and replaced when faults are set, to wake waiting calls.
	changed chan struct{}
	calls   map[string]uint64
}

func newPlatformFaults() *platformFaults {
	return &platformFaults{scopes: make(map[string]*scope), changed: make(chan struct{}), calls: make(map[string]uint64)}
}

// SetFaults replaces the faults towards the named VM; towards all if the name
// is empty. The zero value ends them.
func (p *Platform) SetFaults(vm string, faults PlatformFaults) {
	next := &scope{faults: faults}
	if faults.StaleLists {
		next.old = p.store.snapshot()
	}
	f := p.faults
	f.mu.Lock()
	defer f.mu.Unlock()
	if before, ok := f.scopes[vm]; ok && before.old != nil && faults.StaleLists {
		next.old = before.old
	}
	if faults == (PlatformFaults{}) {
		delete(f.scopes, vm)
	} else {
		f.scopes[vm] = next
	}
	close(f.changed)
	f.changed = make(chan struct{})
}

// CutOff breaks the platform off from the named VMs, until SetFaults ends it.
func (p *Platform) CutOff(vms ...string) {
	for _, vm := range vms {
		p.SetFaults(vm, PlatformFaults{Down: true})
	}
}

// Compact forgets the history, so that watches from an old version must list again.
func (p *Platform) Compact() { p.store.compactAll() }

// Calls counts the calls taken, by "METHOD kind"; a watch counts once, as "WATCH kind".
func (p *Platform) Calls() map[string]uint64 {
	p.faults.mu.Lock()
	defer p.faults.mu.Unlock()
	calls := make(map[string]uint64, len(p.faults.calls))
	for name, count := range p.faults.calls {
		calls[name] = count
	}
	return calls
}

// towards are the faults that a call meets.
func (f *platformFaults) towards(r *http.Request) (PlatformFaults, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var sum PlatformFaults
	for _, s := range f.scopesOf(r) {
		sum.Down = sum.Down || s.faults.Down
		sum.Throttled = sum.Throttled || s.faults.Throttled
		sum.DelayMillis = max(sum.DelayMillis, s.faults.DelayMillis)
		sum.WatchLagMillis = max(sum.WatchLagMillis, s.faults.WatchLagMillis)
		sum.WatchSilent = sum.WatchSilent || s.faults.WatchSilent
	}
	return sum, f.changed
}

func (f *platformFaults) scopesOf(r *http.Request) []*scope {
	var found []*scope
	for _, vm := range []string{"", r.Header.Get(platform.HeaderVM)} {
		if s, ok := f.scopes[vm]; ok {
			found = append(found, s)
		}
	}
	return found
}

func (f *platformFaults) staleStore(r *http.Request) *store {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.scopesOf(r) {
		if s.old != nil {
			return s.old
		}
	}
	return nil
}

// loseAnswer tells whether the answer to this write is to be lost.
func (f *platformFaults) loseAnswer(r *http.Request) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r.Method == http.MethodGet {
		return false
	}
	for _, s := range f.scopesOf(r) {
		if s.faults.LoseWriteAnswers > 0 {
			s.faults.LoseWriteAnswers--
			return true
		}
	}
	return false
}

// wrap puts the faults before the API.
func (f *platformFaults) wrap(api http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.count(r)
		faults, _ := f.towards(r)
		if !sleep(r.Context(), time.Duration(faults.DelayMillis)*time.Millisecond) {
			return
		}
		switch faults, _ = f.towards(r); {
		case faults.Down:
			panic(http.ErrAbortHandler)
		case faults.Throttled:
			http.Error(w, "too many calls", http.StatusTooManyRequests)
		case f.loseAnswer(r):
			api.ServeHTTP(discarded{header: http.Header{}}, r)
			panic(http.ErrAbortHandler)
		default:
			api.ServeHTTP(w, r)
		}
	})
}

func (f *platformFaults) count(r *http.Request) {
	name := r.Method + " " + r.URL.Path
	if rest, ok := strings.CutPrefix(r.URL.Path, platform.PathWatch); ok {
		name = "WATCH " + rest
	}
	if rest, ok := strings.CutPrefix(r.URL.Path, platform.PathObjects); ok {
		kind, _, named := strings.Cut(rest, "/")
		name = r.Method + " " + kind
		if r.Method == http.MethodGet && !named {
			name = "LIST " + kind
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls[name]++
}

// holdWatch keeps a watch back while it is to lag or to be silent. It returns
// false when the watch is to end.
func (f *platformFaults) holdWatch(r *http.Request) bool {
	for {
		faults, changed := f.towards(r)
		switch {
		case faults.Down:
			panic(http.ErrAbortHandler)
		case !faults.WatchSilent:
			return sleep(r.Context(), time.Duration(faults.WatchLagMillis)*time.Millisecond)
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return false
		}
	}
}

// sleep returns false when ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// discarded takes an answer that nobody is to see.
type discarded struct{ header http.Header }

func (d discarded) Header() http.Header            { return d.header }
func (d discarded) Write(data []byte) (int, error) { return len(data), nil }
func (d discarded) WriteHeader(int)                {}
