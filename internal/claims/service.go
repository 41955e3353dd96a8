// Package claims obtains and gives the one permission to dispatch a
// non-idempotent request: it runs this VM's part of each shard of claims,
// carries claims to the VMs that own their shards, and keeps the journal in the
// platform. The decisions are those of internal/core/claim.
package claims

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"

	"oleandershunt.example/oleandershunt/api"
	"oleandershunt.example/oleandershunt/internal/core"
	"oleandershunt.example/oleandershunt/internal/core/claim"
	"oleandershunt.example/oleandershunt/internal/core/lease"
	"oleandershunt.example/oleandershunt/internal/core/request"
	"oleandershunt.example/oleandershunt/internal/peer"
	"oleandershunt.example/oleandershunt/internal/peer/gen/peer/claims/v1/claimsv1connect"
	"oleandershunt.example/oleandershunt/internal/settings"
	"oleandershunt.example/oleandershunt/internal/telemetry"
)

const (
	// claimTimeout is how long a claim waits for its commit at the owner.
	claimTimeout = 1500 * time.Millisecond
	// askMargin is what a call to the owner may take beyond that.
	askMargin = 300 * time.Millisecond
	// patience is how long an owner is looked for. It is shorter than the time
	// that the core waits for the answer.
	patience = 4 * time.Second
	// retryPause is the wait before the owner is looked for again.
	retryPause = 50 * time.Millisecond
	// grantValidity is how long a grant may be used. It only has to be far
	// below the retention, since a granted key is known to every successor.
	grantValidity = 5 * time.Second
	// pollInterval is how often a head is read by a VM that may take over.
	pollInterval = 500 * time.Millisecond
	// slowAfter is how long a write may take before the standbys are asked too.
	slowAfter = 150 * time.Millisecond
	// liveInterval is how often the directory is looked at.
	liveInterval = 500 * time.Millisecond
	// pageOps is the number of ops in a sealed page: about 200 KB.
	pageOps = 4000
	// maxOps bounds the ops outside pages: about 740 KB, below the platform's megabyte.
	maxOps = 15_000
	// writesForPages is the share of a shard's writes that seal and delete pages.
	writesForPages = 0.15
)

// The pool that tells owners how requests ended.
const (
	settleWorkers  = 16
	settleCapacity = 16_384
	settleTries    = 20
	settlePause    = 250 * time.Millisecond
)

// ErrLayout marks a layout object that can't be used.
var ErrLayout = eris.New("claim layout is not valid: restore the object ClaimLayout/layout")

// Loop is what the claims need of the core's loop.
type Loop interface {
	Now() core.Time
	Post(event core.Event)
}

// Options are what a Service is made of.
type Options struct {
	Settings  settings.Claims
	Self      peer.Member
	Store     Store
	Directory *peer.Directory
	Dialer    *peer.Dialer
	Loop      Loop
	Log       logr.Logger
}

// Service is one VM's part in all shards. It is safe for concurrent use.
type Service struct {
	settings  settings.Claims
	self      peer.Member
	store     Store
	directory *peer.Directory
	dialer    *peer.Dialer
	loop      Loop
	log       logr.Logger
	start     time.Time
	metrics   serviceMetrics

	ctx    context.Context
	cancel context.CancelFunc
	// running counts the goroutines of hosts, claims and settlements.
	running sync.WaitGroup
	settles chan settlement
	// layoutUnread says that the layout could not be read when last tried. It
	// belongs to the goroutine of Run.
	layoutUnread bool

	mu       sync.Mutex
	layout   Layout
	stopping bool
	hosts    map[string]*host
	pending  map[request.ID]*claiming
}

// claiming is a claim of this VM's core that isn't settled.
type claiming struct {
	shards []string
	op     claim.Op
	// cancel ends the search for a decision.
	cancel context.CancelFunc
}

// settlement is a word for a shard's owner.
type settlement struct {
	shard string
	op    claim.Op
}

// New makes a service. Run must be called for anything to be decided.
func New(options Options) *Service {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Service{
		settings:  options.Settings,
		self:      options.Self,
		store:     options.Store,
		directory: options.Directory,
		dialer:    options.Dialer,
		loop:      options.Loop,
		log:       options.Log,
		start:     time.Now(),
		ctx:       ctx,
		cancel:    cancel,
		settles:   make(chan settlement, settleCapacity),
		hosts:     make(map[string]*host),
		pending:   make(map[request.ID]*claiming),
	}
	s.metrics = newServiceMetrics(s)
	return s
}

// Handler is the connect-go handler for other VMs, as its constructor returns it.
func (s *Service) Handler() (string, http.Handler) {
	return claimsv1connect.NewClaimServiceHandler(server{s})
}

// Run keeps the shards until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	for range settleWorkers {
		s.running.Go(s.settleLoop)
	}
	ticker := time.NewTicker(liveInterval)
	defer ticker.Stop()
	for {
		s.refresh()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			s.cancel()
			s.running.Wait()
			return ctx.Err()
		}
	}
}

// refresh learns the layout once, and tells the shards which VMs there are.
func (s *Service) refresh() {
	if !s.layoutKnown() {
		s.learnLayout()
	}
	live := s.live()
	homes := map[string]bool{api.AnyHome: true}
	for _, vm := range live {
		homes[vm.DataCentre] = true
	}
	for home := range homes {
		for i := range s.shardsPerHome() {
			s.host(shardName(home, i))
		}
	}
	for _, h := range s.allHosts() {
		h.post(s.ctx, claim.LiveVMs{VMs: live})
	}
	s.publish()
}

func (s *Service) learnLayout() {
	layout, err := s.readLayout(s.ctx)
	if err != nil {
		// Logged once, not at each try: an outage would fill the log.
		if !s.layoutUnread {
			telemetry.ClaimLayoutUnread.Fail(s.log, err)
		}
		s.layoutUnread = true
		return
	}
	if layout.ShardsPerDataCentre != s.settings.ShardsPerDataCentre {
		telemetry.ClaimLayoutDiffers.Log(s.log, "settings", s.settings.ShardsPerDataCentre, "layout", layout.ShardsPerDataCentre)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.layout = layout
}

func (s *Service) layoutKnown() bool { return s.shardsPerHome() > 0 }

func (s *Service) shardsPerHome() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.layout.ShardsPerDataCentre
}

func (s *Service) live() []lease.VM {
	members := s.directory.Members()
	live := make([]lease.VM, 0, len(members))
	for _, member := range members {
		live = append(live, lease.VM{Name: member.Name, DataCentre: member.DataCentre, Incarnation: member.Incarnation})
	}
	return live
}

func (s *Service) now() claim.Time { return time.Since(s.start) }

func (s *Service) askTimeout() time.Duration { return claimTimeout + askMargin }

// shardOf is the shard of a key. ok is false while the layout is not known.
func (s *Service) shardOf(home string, key core.ClaimKey) (name string, ok bool) {
	count := s.shardsPerHome()
	if count == 0 {
		return "", false
	}
	if home == "" {
		home = api.AnyHome
	}
	hash := xxhash.Sum64String(key.Account + "\x00" + key.Key)
	return shardName(home, int(hash%uint64(count))), true
}

func shardName(home string, index int) string { return fmt.Sprintf("%s.%d", home, index) }

// host is this VM's part in a shard, started on first use. ok is false when the
// service has ended or the name is not one that the layout gives.
func (s *Service) host(name string) (*host, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if h, ok := s.hosts[name]; ok {
		return h, true
	}
	home, ok := homeOf(name, s.layout)
	if !ok || s.ctx.Err() != nil {
		return nil, false
	}
	h := newHost(s, name, home)
	s.hosts[name] = h
	options := s.shardOptions(name, home)
	s.running.Go(func() { h.run(s.ctx, options) })
	h.events <- claim.LiveVMs{VMs: s.live()}
	if s.stopping {
		h.events <- claim.Release{}
	}
	return h, true
}

// homeOf splits a shard's name.
func homeOf(name string, layout Layout) (home string, ok bool) {
	for i := range layout.ShardsPerDataCentre {
		suffix := shardName("", i)
		if len(name) > len(suffix) && name[len(name)-len(suffix):] == suffix {
			return name[:len(name)-len(suffix)], true
		}
	}
	return "", false
}

func (s *Service) shardOptions(name, home string) claim.Options {
	return claim.Options{
		Shard:              name,
		Home:               home,
		Self:               lease.VM{Name: s.self.Name, DataCentre: s.self.DataCentre, Incarnation: s.self.Incarnation},
		WriteInterval:      s.interval(),
		LeaseDuration:      s.settings.Lease,
		ClockError:         s.settings.ClockError,
		OutageLimit:        s.settings.OutageLimit,
		Retention:          s.settings.Retention,
		ClaimTimeout:       claimTimeout,
		GrantValidity:      grantValidity,
		SlowWriteThreshold: slowAfter,
		PollInterval:       pollInterval,
		StandbyCount:       s.settings.Standbys,
		StandbysElsewhere:  s.settings.StandbysElsewhere,
		PageOps:            pageOps,
		MaxOps:             maxOps,
		MaxKeys:            s.settings.MaxKeys,
	}
}

// interval is the least time between two writes of a shard's head, so that all
// shards together stay within the budget of writes. The caller holds the lock.
func (s *Service) interval() time.Duration {
	homes := map[string]bool{api.AnyHome: true}
	for _, member := range s.directory.Members() {
		homes[member.DataCentre] = true
	}
	shards := len(homes) * s.layout.ShardsPerDataCentre
	perShard := float64(s.settings.WritesPerSecond) * (1 - writesForPages) / float64(shards)
	return time.Duration(float64(time.Second) / perShard)
}

func (s *Service) allHosts() []*host {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*host, 0, len(s.hosts))
	for _, h := range s.hosts {
		all = append(all, h)
	}
	return all
}

// Handover releases every shard that this VM owns, so that successors need not
// wait for its leases to run out, and takes none any more. It returns when the
// platform has confirmed it or ctx ends.
func (s *Service) Handover(ctx context.Context) {
	s.mu.Lock()
	s.stopping = true
	s.mu.Unlock()
	for _, h := range s.allHosts() {
		h.post(ctx, claim.Release{})
	}
	for s.owned() > 0 {
		select {
		case <-time.After(retryPause):
		case <-ctx.Done():
			telemetry.ShardHandoverMissed.Fail(s.log, ctx.Err(), "shards", s.owned())
			return
		}
	}
}

// owned is the number of shards that this VM owns or is handing over.
func (s *Service) owned() int {
	count := 0
	for _, h := range s.allHosts() {
		if seen := h.view.Load(); seen.holds {
			count++
		}
	}
	return count
}

// Owns tells whether this VM decides the keys of the named shard.
func (s *Service) Owns(shard string) bool {
	s.mu.Lock()
	h, ok := s.hosts[shard]
	s.mu.Unlock()
	return ok && h.view.Load().owns
}

func (s *Service) note(shard string, notice claim.Notice) {
	event := map[claim.NoticeKind]telemetry.Event{
		claim.NoticeOwned:       telemetry.ShardOwned,
		claim.NoticeFenced:      telemetry.ShardFenced,
		claim.NoticeReleased:    telemetry.ShardReleased,
		claim.NoticeOnStandbys:  telemetry.ShardOnStandbys,
		claim.NoticeJournalled:  telemetry.ShardJournalled,
		claim.NoticeGap:         telemetry.ShardGap,
		claim.NoticeImplausible: telemetry.ShardImplausible,
	}[notice.Kind]
	event.Log(s.log, "shard", shard, "epoch", notice.Epoch, "owner", notice.Holder)
}
