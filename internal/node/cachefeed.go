package node

import (
	"context"
	"sync"
	"time"

	"oleandershunt.example/oleandershunt/internal/core"
	"oleandershunt.example/oleandershunt/internal/core/config"
	"oleandershunt.example/oleandershunt/internal/core/route"
	"oleandershunt.example/oleandershunt/internal/engine"
	"oleandershunt.example/oleandershunt/internal/settings"
)

// cachePollTimeout bounds one poll. A slow engine's caches are learned later.
const cachePollTimeout = time.Second

// cacheFeed asks model engines in turn what prompt prefixes they cache. The
// number of polls a second is fixed, so the cost doesn't grow with the servers;
// what is known of each gets older instead, and a gap forgets it.
type cacheFeed struct {
	routing settings.Routing
	post    func(core.Event)
	engines engine.Client

	mu      sync.Mutex
	targets []config.Server
	changed bool
}

// cursor is where an engine's events were read to.
type cursor struct {
	incarnation uint64
	next        uint64
}

func newCacheFeed(p *parts) *cacheFeed {
	f := &cacheFeed{routing: p.settings.Routing, post: p.loop.Post, engines: engine.NewHTTPClient()}
	p.loop.Observe(func(_ core.Time, event core.Event, _ []core.Action) {
		if e, ok := event.(core.ConfigInForce); ok {
			f.configured(e.Set)
		}
	})
	return f
}

func (f *cacheFeed) configured(set *config.Set) {
	var targets []config.Server
	for _, server := range set.Servers() {
		if server.Model != "" {
			targets = append(targets, server)
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.targets, f.changed = targets, true
}

// run tells the core of the links, then polls until ctx ends.
func (f *cacheFeed) run(ctx context.Context) error {
	for _, l := range f.routing.Links {
		f.post(core.LinkObserved{From: l.From, To: l.To, Delay: l.Delay, TokensPerSecond: l.TokensPerSecond})
	}
	if f.routing.CachePollsPerSecond == 0 {
		<-ctx.Done()
		return ctx.Err()
	}
	ticker := time.NewTicker(time.Second / time.Duration(f.routing.CachePollsPerSecond))
	defer ticker.Stop()
	cursors := make(map[string]cursor)
	turn := 0
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		target, ok := f.target(turn, cursors)
		if !ok {
			continue
		}
		turn++
		f.poll(ctx, target, cursors)
	}
}

// target is the engine whose turn it is. Cursors of engines that are no longer
// configured are dropped.
func (f *cacheFeed) target(turn int, cursors map[string]cursor) (config.Server, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.changed {
		f.changed = false
		known := make(map[string]bool, len(f.targets))
		for _, target := range f.targets {
			known[target.Name] = true
		}
		for name := range cursors {
			if !known[name] {
				delete(cursors, name)
			}
		}
	}
	if len(f.targets) == 0 {
		return config.Server{}, false
	}
	return f.targets[turn%len(f.targets)], true
}

// poll reads one engine's events. An engine that doesn't answer is the probes'
// matter; here its caches are merely not learned.
func (f *cacheFeed) poll(ctx context.Context, target config.Server, cursors map[string]cursor) {
	ctx, cancel := context.WithTimeout(ctx, cachePollTimeout)
	defer cancel()
	at := cursors[target.Name]
	events, err := f.engines.CacheEvents(ctx, target.Address, at.next)
	if err != nil || events.Server != target.Name {
		return
	}
	if events.Incarnation != at.incarnation {
		// Another process counts its events from 1, so the answer may have
		// skipped some. The next poll starts from the beginning.
		cursors[target.Name] = cursor{incarnation: events.Incarnation}
		if at.next > 0 {
			return
		}
	}
	cursors[target.Name] = cursor{incarnation: events.Incarnation, next: events.Next}
	if len(events.Events) > 0 {
		f.post(cacheObserved(events))
	}
}

func cacheObserved(events engine.CacheEvents) core.CacheObserved {
	observed := core.CacheObserved{Server: events.Server, Incarnation: events.Incarnation}
	for _, event := range events.Events {
		observed.Events = append(observed.Events, route.CacheEvent{
			Sequence: event.Sequence,
			Prefix:   event.Block,
			Evicted:  event.Kind == engine.CacheEvicted,
		})
	}
	return observed
}
