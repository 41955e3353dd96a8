package node

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"oleandershunt.example/oleandershunt/internal/core"
	"oleandershunt.example/oleandershunt/internal/core/request"
	"oleandershunt.example/oleandershunt/internal/loop"
	"oleandershunt.example/oleandershunt/internal/peer/gossip"
)

// findingTTL is how long a finding stays in the gossip, for VMs that start later.
const findingTTL = 15 * time.Minute

// confirmTimeout bounds one gossip exchange with all other VMs.
const confirmTimeout = 250 * time.Millisecond

// sharedFinding is a finding as sent between VMs. The age that a receiver
// computes is off by the difference between the two VMs' clocks.
type sharedFinding struct {
	Finding core.PoisonFinding `json:"finding"`
	// At is the time of the crash in milliseconds since 1970.
	At int64 `json:"at"`
}

// poisonReporter publishes findings on request bodies that crash backend servers.
type poisonReporter struct {
	gossip *gossip.Gossip
	loop   *loop.Loop

	mu        sync.Mutex
	published map[string]time.Time
	// awaiting are the requests that wait for the next exchange; exchangeDue
	// triggers it.
	awaiting    []request.ID
	exchangeDue chan struct{}
}

func newPoisonReporter(g *gossip.Gossip, l *loop.Loop) *poisonReporter {
	return &poisonReporter{gossip: g, loop: l, published: make(map[string]time.Time), exchangeDue: make(chan struct{}, 1)}
}

func (r *poisonReporter) publish(finding core.PoisonFinding) {
	now := time.Now()
	key := fmt.Sprintf("%s%s/%s/%x/%s", prefixPoison, finding.Account, finding.Pipeline, finding.BodyHash, finding.Server)
	r.mu.Lock()
	r.published[key] = now
	r.mu.Unlock()
	r.gossip.Put(key, mustJSON(sharedFinding{Finding: finding, At: now.Add(-finding.Age).UnixMilli()}), true)
}

// publishSuspicion publishes a finding that isn't proven yet. The gossip push
// reaches only some VMs, so it also requests an exchange with all of them.
func (r *poisonReporter) publishSuspicion(finding core.PoisonFinding) {
	r.publish(finding)
	r.requestExchange()
}

// requestConfirmation makes the next exchange post SuspicionConfirmed for a request.
func (r *poisonReporter) requestConfirmation(id request.ID) {
	r.mu.Lock()
	r.awaiting = append(r.awaiting, id)
	r.mu.Unlock()
	r.requestExchange()
}

func (r *poisonReporter) requestExchange() {
	select {
	case r.exchangeDue <- struct{}{}:
	default:
	}
}

// run makes one exchange at a time until ctx ends. Requests that arrive during an
// exchange share the next one, since the loss of a server affects hundreds of
// requests at once.
func (r *poisonReporter) run(ctx context.Context) error {
	for {
		select {
		case <-r.exchangeDue:
			r.exchange(ctx)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (r *poisonReporter) exchange(ctx context.Context) {
	r.mu.Lock()
	awaiting := r.awaiting
	r.awaiting = nil
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	missing := r.gossip.Confirm(ctx)
	for _, id := range awaiting {
		r.loop.Post(core.SuspicionConfirmed{Request: id, Missing: missing})
	}
}

func (r *poisonReporter) onFinding(entry gossip.Entry) {
	var shared sharedFinding
	if len(entry.Value) == 0 || json.Unmarshal(entry.Value, &shared) != nil {
		return
	}
	age := time.Since(time.UnixMilli(shared.At))
	shared.Finding.Age = min(max(age, shared.Finding.Age, 0), findingTTL)
	r.loop.Post(core.PoisonFindingReceived{Finding: shared.Finding})
}

// tick withdraws findings older than findingTTL. Receivers expire them by their
// own rule.
func (r *poisonReporter) tick(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for key, publishedAt := range r.published {
		if now.Sub(publishedAt) > findingTTL {
			delete(r.published, key)
			r.gossip.Put(key, nil, false)
		}
	}
}
