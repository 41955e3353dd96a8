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

// findingKept is how long a finding is told to VMs that start later.
const findingKept = 15 * time.Minute

// confirmTime is how long the other VMs have to answer an exchange.
const confirmTime = 250 * time.Millisecond

// sharedFinding is a finding on its way between VMs, whose clocks agree only
// roughly; its age is good to within their difference.
type sharedFinding struct {
	Finding core.PoisonFinding `json:"finding"`
	// At is when the crash was, in milliseconds since 1970.
	At int64 `json:"at"`
}

// poisonDuty spreads findings on bodies that crash backend servers.
type poisonDuty struct {
	gossip *gossip.Gossip
	loop   *loop.Loop

	mu   sync.Mutex
	told map[string]time.Time
	// asking are the requests that wait for the next exchange, and wanted says
	// that one is due.
	asking []request.ID
	wanted chan struct{}
}

func newPoisonDuty(g *gossip.Gossip, l *loop.Loop) *poisonDuty {
	return &poisonDuty{gossip: g, loop: l, told: make(map[string]time.Time), wanted: make(chan struct{}, 1)}
}

func (d *poisonDuty) spread(finding core.PoisonFinding) {
	now := time.Now()
	key := fmt.Sprintf("%s%s/%s/%x/%s", prefixPoison, finding.Account, finding.Pipeline, finding.BodyHash, finding.Server)
	d.mu.Lock()
	d.told[key] = now
	d.mu.Unlock()
	d.gossip.Put(key, mustJSON(sharedFinding{Finding: finding, At: now.Add(-finding.Age).UnixMilli()}), true)
}

// suspect spreads a loss that isn't proven. The push goes to some VMs only, so
// an exchange with all of them follows.
func (d *poisonDuty) suspect(finding core.PoisonFinding) {
	d.spread(finding)
	d.want()
}

// confirm has the next exchange answer a request.
func (d *poisonDuty) confirm(id request.ID) {
	d.mu.Lock()
	d.asking = append(d.asking, id)
	d.mu.Unlock()
	d.want()
}

func (d *poisonDuty) want() {
	select {
	case d.wanted <- struct{}{}:
	default:
	}
}

// run makes one exchange at a time until ctx ends. What is asked meanwhile has
// the next one in common: a server's loss concerns hundreds of requests.
func (d *poisonDuty) run(ctx context.Context) error {
	for {
		select {
		case <-d.wanted:
			d.exchange(ctx)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (d *poisonDuty) exchange(ctx context.Context) {
	d.mu.Lock()
	asking := d.asking
	d.asking = nil
	d.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, confirmTime)
	defer cancel()
	missing := d.gossip.Confirm(ctx)
	for _, id := range asking {
		d.loop.Post(core.SuspicionConfirmed{Request: id, Missing: missing})
	}
}

func (d *poisonDuty) heard(entry gossip.Entry) {
	var shared sharedFinding
	if len(entry.Value) == 0 || json.Unmarshal(entry.Value, &shared) != nil {
		return
	}
	age := time.Since(time.UnixMilli(shared.At))
	shared.Finding.Age = min(max(age, shared.Finding.Age, 0), findingKept)
	d.loop.Post(core.PoisonFindingReceived{Finding: shared.Finding})
}

// tick withdraws what is old. The VMs that took it forget it by their own rule.
func (d *poisonDuty) tick(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for key, told := range d.told {
		if now.Sub(told) > findingKept {
			delete(d.told, key)
			d.gossip.Put(key, nil, false)
		}
	}
}
