// Package gossip spreads what VMs know among them: who lives, what each holds
// of the backend servers, loads, use of accounts, findings and the release in
// force. It does the talking; what is merged and how is in core/digest, who is
// judged to live in core/fleet.
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

// Keys of the entries that the gossip itself needs.
const (
	// keyMember is the VM's peer.Member as JSON.
	keyMember = "m"
	// keyAlive changes now and then, so that other data centres see the VM live.
	keyAlive = "t"
	// keyRelease is the release in force: in Local that of the VM, in State, by
	// one VM of each data centre, those of all its VMs.
	keyRelease = "r"
	// prefixVM says of another VM that it can't be reached.
	prefixVM = "v/"
)

// The pace and bounds of the talk.
const (
	// fanOut is the number of VMs that urgent news is passed on to, each of the
	// pushes times; fanOutOwn that to which the VM with the news pushes first.
	fanOut    = 3
	fanOutOwn = 8
	pushes    = 2
	// watchers is the number of VMs that watch a VM on behalf of other data centres.
	watchers = 3
	// contactEvery is the number of rounds between tries of a VM that is not
	// known to live, through which islands find each other.
	contactEvery = 5
	// aliveEvery is the least number of rounds between signs of life to other
	// data centres, and aliveEach what each VM adds to it.
	aliveEvery = 60
	aliveEach  = 2
	// farGoneRounds is how long a VM of another data centre may give no sign.
	// Those that watch it there tell of its end far sooner.
	farGoneRounds = 6000
	// purgeRounds is how long withdrawals are kept.
	purgeRounds = 3600
	// summaryEvery is the least number of rounds between two summaries of a data
	// centre, and summaryEach how many VMs add one: all of them together then
	// cost the same however many VMs there are.
	summaryEvery = 2
	summaryEach  = 40
	// messageBudget bounds the deltas of one message, in bytes.
	messageBudget = 48 << 10
	// maxCalls bounds the calls under way.
	maxCalls = 16
	// exchangeTimeout bounds one call.
	exchangeTimeout = 2 * time.Second
	// pushDelay collects urgent news, so that much at once goes as one message.
	pushDelay = 10 * time.Millisecond
	// pushAgain is when the news is pushed once more, to other VMs: one push
	// leaves a few out, who would wait for a round.
	pushAgain = 200 * time.Millisecond
)

// Options are what a gossip needs.
type Options struct {
	// Self is this VM. Its incarnation is given apart, as a number.
	Self        peer.Member
	Incarnation uint64
	Directory   *peer.Directory
	Dialer      *peer.Dialer
	// Interval is the time between two rounds.
	Interval time.Duration
	// Contacts lists addresses to try when no VM is known, or islands may exist.
	Contacts func() []string
	// Now is the time on the VM's clock.
	Now func() time.Duration
	// Seed starts the random choice of VMs to talk to.
	Seed uint64
}

// Gossip is one VM's part in the talk. It is safe for concurrent use.
type Gossip struct {
	options Options
	calls   chan struct{}

	mu     sync.Mutex
	store  *digest.Store
	vms    *fleet.VMDetector
	random *rand.Rand
	self   peer.Member
	round  uint64
	// release is the newest release in force here.
	release      uint64
	summaryRound uint64
	aliveRound   uint64
	// agreed are the VMs whose last message had the same set of members.
	agreed  map[string]bool
	clients map[string]membershipv1connect.MembershipServiceClient
	// withdrawn are this VM's withdrawals, to be forgotten when they are old.
	withdrawn []withdrawal
	// urgent is the news to be pushed, with how often that is left to do.
	urgent   map[news]int
	pushSoon bool
	queue    []func()

	// notify is held while subscribers are called, so that they hear in order.
	notify      sync.Mutex
	subscribers subscribers
}

// withdrawal is the version of a withdrawn entry and the round it was made in.
type withdrawal struct {
	version uint64
	round   uint64
}

// news is an entry to be pushed.
type news struct{ origin, key string }

// New makes a gossip that knows this VM only.
func New(options Options) *Gossip {
	self := options.Self
	g := &Gossip{
		options: options,
		calls:   make(chan struct{}, maxCalls),
		self:    self,
		store:   digest.NewStore(digest.Origin{Name: self.Name, DataCentre: self.DataCentre, Incarnation: options.Incarnation}),
		random:  rand.New(rand.NewPCG(options.Seed, 1)),
		agreed:  make(map[string]bool),
		clients: make(map[string]membershipv1connect.MembershipServiceClient),
		urgent:  make(map[news]int),
		vms: fleet.NewVMDetector(fleet.VMDetectorOptions{
			Self:              self.Name,
			DataCentre:        self.DataCentre,
			HeartbeatInterval: options.Interval,
			RemoteGoneAfter:   farGoneRounds * options.Interval,
			ForgetAfter:       10 * time.Minute,
			PausedAfter:       3 * options.Interval,
		}),
	}
	g.putMember()
	options.Directory.Put(self)
	return g
}

// Run talks once an interval until ctx ends.
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

// Put writes an entry of this VM that goes to every data centre; an empty value
// withdraws it. Urgent entries are pushed at once rather than with the next rounds.
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
		g.withdrawn = append(g.withdrawn, withdrawal{g.store.Version(digest.State), g.round})
	}
	if urgent {
		g.push(news{g.self.Name, key})
	}
}

// PutGauge writes a small number that goes to the VMs of this data centre.
func (g *Gossip) PutGauge(key, level uint32) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.store.PutGauge(key, level)
}

// DropGauge leaves a gauge to another VM.
func (g *Gossip) DropGauge(key uint32) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.store.DropGauge(key)
}

// SetRelease says that a release is in force on this VM.
func (g *Gossip) SetRelease(release uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if release <= g.release {
		return
	}
	g.release = release
	g.store.PutLocal(keyRelease, putUvarint(release))
	g.options.Directory.Change(g.self.Name, func(m *peer.Member) { m.Release = release })
	// The message's head has it.
	g.push(news{g.self.Name, keyRelease})
}

// Leave tells the other VMs that this one is in a planned stop.
func (g *Gossip) Leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.self.Leaving = true
	g.putMember()
	g.push(news{g.self.Name, keyMember})
}

// Left tells a few VMs that this one has stopped, and waits for them to know.
func (g *Gossip) Left(ctx context.Context) {
	g.mu.Lock()
	g.self.State = fleet.Gone
	g.putMember()
	targets := g.pushTargets(true)
	message := g.newsMessage([]news{{g.self.Name, keyMember}})
	g.mu.Unlock()
	g.sendAll(ctx, targets, message)
}

// putMember must be called with the lock held, except while the gossip is made.
func (g *Gossip) putMember() {
	value, err := json.Marshal(g.self)
	if err != nil {
		// A Member has no part that can't be marshalled.
		panic(err)
	}
	g.store.Put(keyMember, value)
}

// VMs lists the judgements on the other VMs.
func (g *Gossip) VMs() []fleet.VMStatus {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.vms.Statuses()
}

// LiveVMs lists the VMs that watch and probe, by data centre: those that live
// or may live, this one included.
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

// DataCentre is where a VM stands; empty when the VM isn't known.
func (g *Gossip) DataCentre(vm string) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.store.DataCentre(vm)
}
