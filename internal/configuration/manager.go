package configuration

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/oklog/run"

	"oleandershunt.example/oleandershunt/api"
	"oleandershunt.example/oleandershunt/internal/core/config"
	"oleandershunt.example/oleandershunt/internal/peer"
	"oleandershunt.example/oleandershunt/internal/peer/gen/peer/config/v1/configv1connect"
	"oleandershunt.example/oleandershunt/internal/platform"
	"oleandershunt.example/oleandershunt/internal/telemetry"
)

// Roles that VMs are ranked for. The order depends on the names, which are hashed.
const (
	roleRelease = "release"
	roleAccept  = "accept"
	roleSweep   = "sweep"
)

// roleInterval is how often a VM checks which roles it has.
const roleInterval = time.Second

// Options configures a Manager.
type Options struct {
	Log logr.Logger
	// Self is this VM.
	Self peer.Member
	// Platform is the client that the whole VM shares.
	Platform *platform.Client
	// Directory lists the other VMs, and Dialer connects to them.
	Directory *peer.Directory
	Dialer    *peer.Dialer
	// Seeds are host:port addresses of VMs to ask when no other VM is known.
	Seeds []string
	// Apply brings a set in force on the VM. Calls are serialized, in release order.
	Apply func(*config.Set)
	// Clock and Random default to the system's clock and random source.
	Clock  platform.Clock
	Random func() float64
	// Extra are tasks that run while this VM is an acceptor: acceptors are few, and
	// are known to reach the platform's watches.
	Extra []func(context.Context)
	// Sources provide the Status records of pipelines and backend servers.
	Sources []StatusSource
}

// Manager keeps the configuration of one VM up to date.
type Manager struct {
	log           logr.Logger
	self          peer.Member
	platform      *platform.Client
	directory     *peer.Directory
	dialer        *peer.Dialer
	seeds         []string
	clock         platform.Clock
	random        func() float64
	sources       []StatusSource
	acceptorTasks []func(context.Context)
	store         *store
	decisions     *decisions
	// indexes are the indexes of the retained releases, by hash, as the last sweep
	// read them. Used only by the sweep.
	indexes map[string][]api.PageRef

	ranksMu sync.Mutex
	// cachedRanks is the last result of ranks, or nil.
	cachedRanks *ranks

	mu           sync.Mutex
	platformDown bool
	// loading is the release whose pages are being read, or nil.
	loading *releaseLoad
}

// New creates a Manager with no release in force.
func New(options Options) *Manager {
	m := &Manager{
		log:           options.Log,
		self:          options.Self,
		platform:      options.Platform,
		directory:     options.Directory,
		dialer:        options.Dialer,
		seeds:         options.Seeds,
		clock:         options.Clock,
		random:        options.Random,
		sources:       options.Sources,
		acceptorTasks: options.Extra,
		decisions:     newDecisions(),
	}
	if m.clock == nil {
		m.clock = platform.SystemClock()
	}
	if m.random == nil {
		m.random = rand.Float64
	}
	m.store = newStore(options.Apply)
	return m
}

// Mount registers the service from which other VMs get the configuration in force here.
func (m *Manager) Mount(server *peer.Server) {
	server.Handle(configv1connect.NewConfigServiceHandler(service{store: m.store}))
}

// InForce returns the release in force on this VM, and a channel that is closed
// when another release comes in force. Sequence is 0 while none is in force.
func (m *Manager) InForce() (api.Release, <-chan struct{}) {
	inForce, changed := m.store.current()
	return inForce.release, changed
}

// Run keeps the newest configuration in force until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	var group run.Group
	loops := []func(context.Context) error{
		m.pollPeers,
		m.catchUp,
		m.runWhile(m.watchesRelease, m.watchRelease),
		m.runWhile(m.isAcceptor, m.runAcceptor),
		m.runWhile(m.isAcceptor, m.writeStatus),
		m.runWhile(m.isSweeper, m.runSweeper),
	}
	for _, fn := range m.acceptorTasks {
		loops = append(loops, m.runWhile(m.isAcceptor, fn))
	}
	for _, loop := range loops {
		loopCtx, cancel := context.WithCancel(ctx)
		group.Add(func() error { return loop(loopCtx) }, func(error) { cancel() })
	}
	return group.Run()
}

// runWhile returns a loop that runs a task while this VM has the role for it.
func (m *Manager) runWhile(assigned func() bool, fn func(context.Context)) func(context.Context) error {
	return func(ctx context.Context) error {
		var current *task
		for {
			switch {
			case assigned() && current == nil:
				current = startTask(ctx, fn)
			case !assigned() && current != nil:
				current.stop()
				current = nil
			}
			select {
			case <-m.clock.After(m.jittered(roleInterval)):
			case <-ctx.Done():
				if current != nil {
					current.stop()
				}
				return ctx.Err()
			}
		}
	}
}

// task is a running function that can be stopped.
type task struct {
	cancel context.CancelFunc
	done   chan struct{}
}

func startTask(ctx context.Context, fn func(context.Context)) *task {
	ctx, cancel := context.WithCancel(ctx)
	t := &task{cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(t.done)
		fn(ctx)
	}()
	return t
}

func (t *task) stop() {
	t.cancel()
	<-t.done
}

// jittered returns the interval with a jitter of up to an eighth either way, so
// that VMs don't act in step.
func (m *Manager) jittered(interval time.Duration) time.Duration {
	return interval - interval/8 + time.Duration(m.random()*float64(interval/4))
}

// recordPlatformFailure logs the loss of the platform, once per outage.
func (m *Manager) recordPlatformFailure(err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.platformDown {
		telemetry.PlatformLost.Fail(m.log, err)
	}
	m.platformDown = true
}

func (m *Manager) recordPlatformSuccess() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.platformDown {
		telemetry.PlatformBack.Log(m.log)
	}
	m.platformDown = false
}
