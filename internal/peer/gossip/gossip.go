// Package gossip replicates state among the VMs: membership, the assessments of
// backend servers, loads, client account usage, other findings and the release
// in force. It implements the exchange of messages. Package core/digest
// implements the replicated store and its merge, core/fleet the failure detection.
package gossip

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"oleandershunt.example/oleandershunt/internal/core/digest"
	"oleandershunt.example/oleandershunt/internal/core/fleet"
	"oleandershunt.example/oleandershunt/internal/peer"
	"oleandershunt.example/oleandershunt/internal/peer/gen/peer/membership/v1/membershipv1connect"
)

// Keys of the entries that this package itself writes.
const (
	// keyMember is the VM's peer.Member as JSON.
	keyMember = "m"
	// keyRemoteHeartbeat is rewritten periodically as a heartbeat for other data
	// centres.
	keyRemoteHeartbeat = "t"
	// keyRelease is the release in force. In the Local stream it is that of the
	// VM; in the State stream one VM of each data centre writes a summary for all
	// VMs of the data centre.
	keyRelease = "r"
	// prefixDownReport is followed by the name of a VM that is reported as down.
	prefixDownReport = "v/"
)

// Rates and limits of the gossip.
const (
	// fanOut is the number of VMs of this data centre to which a VM forwards
	// urgent entries of other VMs; ownFanOut is the number for its own entries.
	// Each entry is pushed pushCount times.
	fanOut    = 3
	ownFanOut = 8
	pushCount = 2
	// observersPerVM is the number of VMs that observe a VM on behalf of other data
	// centres.
	observersPerVM = 3
	// contactIntervalRounds is the number of rounds between attempts to contact a
	// VM that is not known to be live, which rejoins the parts of a partitioned
	// cluster.
	contactIntervalRounds = 5
	// remoteHeartbeatMinRounds is the minimum number of rounds between heartbeats
	// to other data centres; each known VM adds remoteHeartbeatRoundsPerVM rounds.
	remoteHeartbeatMinRounds   = 60
	remoteHeartbeatRoundsPerVM = 2
	// remoteGoneRounds is the number of rounds without a heartbeat after which a VM
	// of another data centre is gone. Its observers there report it far sooner.
	remoteGoneRounds = 6000
	// tombstoneRounds is the number of rounds for which tombstones are kept.
	tombstoneRounds = 3600
	// summaryMinRounds is the minimum number of rounds between two release summaries
	// of a data centre; every summaryVMsPerRound VMs add one round, so that the total
	// cost of the summaries does not depend on the number of VMs.
	summaryMinRounds   = 2
	summaryVMsPerRound = 40
	// messageBudget is the maximum size of the deltas in one message, in bytes.
	messageBudget = 48 << 10
	// maxCalls is the maximum number of outgoing calls in flight.
	maxCalls = 16
	// exchangeTimeout limits an exchange, or the delivery of one push.
	exchangeTimeout = 2 * time.Second
	// pushDelay batches urgent entries into one message.
	pushDelay = 10 * time.Millisecond
	// pushRepeatDelay is the delay before entries are pushed again, to other randomly
	// chosen VMs: a single push misses a few VMs, which would wait for a round.
	pushRepeatDelay = 200 * time.Millisecond
)

// Options configures a Gossip.
type Options struct {
	// Self is this VM. Incarnation is its incarnation as a number.
	Self        peer.Member
	Incarnation uint64
	Directory   *peer.Directory
	Dialer      *peer.Dialer
	// Interval is the time between two rounds.
	Interval time.Duration
	// Contacts returns addresses to try when no VM is known or the cluster may be
	// partitioned.
	Contacts func() []string
	// Now returns the time on the VM's clock.
	Now func() time.Duration
	// Seed seeds the random choice of VMs to exchange with.
	Seed uint64
}

// Gossip runs the gossip protocol of one VM. It is safe for concurrent use.
type Gossip struct {
	options   Options
	callSlots chan struct{}

	mu     sync.Mutex
	store  *digest.Store
	vms    *fleet.VMDetector
	random *rand.Rand
	self   peer.Member
	round  uint64
	// release is the newest release in force on this VM.
	release            uint64
	nextSummaryRound   uint64
	nextHeartbeatRound uint64
	// sameOrigins holds the VMs whose last message had the same set of origins.
	sameOrigins map[string]bool
	clients     map[string]membershipv1connect.MembershipServiceClient
	// tombstones lists this VM's tombstones, oldest first, for purging.
	tombstones []tombstone
	// pendingPushes holds the entries to push, with the number of pushes left.
	pendingPushes map[entryRef]int
	pushScheduled bool
	callbacks     []func()

	// notifyMu is held while subscribers are called, which keeps the calls in order.
	notifyMu    sync.Mutex
	subscribers subscribers
}

// tombstone is the version of a withdrawn entry and the round of the withdrawal.
type tombstone struct {
	version uint64
	round   uint64
}

// entryRef identifies an entry to be pushed.
type entryRef struct{ origin, key string }

// New returns a Gossip that knows only this VM.
func New(options Options) *Gossip {
	self := options.Self
	g := &Gossip{
		options:       options,
		callSlots:     make(chan struct{}, maxCalls),
		self:          self,
		store:         digest.NewStore(digest.Origin{Name: self.Name, DataCentre: self.DataCentre, Incarnation: options.Incarnation}),
		random:        rand.New(rand.NewPCG(options.Seed, 1)),
		sameOrigins:   make(map[string]bool),
		clients:       make(map[string]membershipv1connect.MembershipServiceClient),
		pendingPushes: make(map[entryRef]int),
		vms: fleet.NewVMDetector(fleet.VMDetectorOptions{
			Self:              self.Name,
			DataCentre:        self.DataCentre,
			HeartbeatInterval: options.Interval,
			RemoteGoneAfter:   remoteGoneRounds * options.Interval,
			ForgetAfter:       10 * time.Minute,
			PausedAfter:       3 * options.Interval,
		}),
	}
	g.putMember()
	options.Directory.Put(self)
	return g
}

// Run performs a round every interval until ctx is done, and returns ctx.Err().
func (g *Gossip) Run(ctx context.Context) error {
	ticker := time.NewTicker(g.options.Interval)
	defer ticker.Stop()
	for {
		g.Round(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Put writes an entry of this VM that is replicated to every data centre; an
// empty value withdraws it. Urgent entries are pushed at once instead of waiting
// for the next rounds.
func (g *Gossip) Put(key string, value []byte, urgent bool) {
	g.mu.Lock()
	g.put(key, value, urgent)
	g.mu.Unlock()
}

func (g *Gossip) put(key string, value []byte, urgent bool) {
	if !g.store.Put(key, value) {
		return
	}
	if len(value) == 0 {
		g.tombstones = append(g.tombstones, tombstone{g.store.Version(digest.State), g.round})
	}
	if urgent {
		g.push(entryRef{g.self.Name, key})
	}
}

// PutGauge writes a small number that is replicated within this data centre.
func (g *Gossip) PutGauge(key, level uint32) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.store.PutGauge(key, level)
}

// DropGauge stops publishing a gauge, which another VM then publishes.
func (g *Gossip) DropGauge(key uint32) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.store.DropGauge(key)
}

// SetRelease records and announces that a release is in force on this VM. An
// older release than the current one is ignored.
func (g *Gossip) SetRelease(release uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if release <= g.release {
		return
	}
	g.release = release
	g.store.PutLocal(keyRelease, encodeUvarint(release))
	g.options.Directory.Change(g.self.Name, func(m *peer.Member) { m.Release = release })
	// The release itself is in the header of every message.
	g.push(entryRef{g.self.Name, keyRelease})
}

// Leave announces to the other VMs that this VM is shutting down as planned.
func (g *Gossip) Leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.self.Leaving = true
	g.putMember()
	g.push(entryRef{g.self.Name, keyMember})
}

// Left announces to a few VMs that this VM has stopped, and waits for the calls
// to finish.
func (g *Gossip) Left(ctx context.Context) {
	g.mu.Lock()
	g.self.State = fleet.Gone
	g.putMember()
	targets := g.pushTargets(true)
	message := g.entriesMessage([]entryRef{{g.self.Name, keyMember}})
	g.mu.Unlock()
	g.sendAll(ctx, targets, message)
}

// putMember publishes this VM's Member. It must be called with the lock held,
// except in New.
func (g *Gossip) putMember() {
	value, err := json.Marshal(g.self)
	if err != nil {
		// A Member can always be marshalled.
		panic(err)
	}
	g.store.Put(keyMember, value)
}

// VMs returns the statuses of the other VMs.
func (g *Gossip) VMs() []fleet.VMStatus {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.vms.Statuses()
}

// LiveVMs returns the names of the VMs that observe and probe, by data centre:
// those that are live or suspect, including this one.
func (g *Gossip) LiveVMs() map[string][]string {
	g.mu.Lock()
	defer g.mu.Unlock()
	live := map[string][]string{g.self.DataCentre: {g.self.Name}}
	for _, vm := range g.vms.Statuses() {
		if vm.State == fleet.Live || vm.State == fleet.Suspect {
			live[vm.DataCentre] = append(live[vm.DataCentre], vm.Name)
		}
	}
	return live
}

// DataCentre returns the data centre of a VM, or "" if the VM is unknown.
func (g *Gossip) DataCentre(vm string) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.store.DataCentre(vm)
}
