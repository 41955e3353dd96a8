package node

import (
	"context"
	"net/http"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"oleandershunt.example/oleandershunt/api"
	"oleandershunt.example/oleandershunt/internal/core"
	"oleandershunt.example/oleandershunt/internal/engine"
	"oleandershunt.example/oleandershunt/internal/entry"
	"oleandershunt.example/oleandershunt/internal/journal"
	"oleandershunt.example/oleandershunt/internal/loop"
	"oleandershunt.example/oleandershunt/internal/peer"
	"oleandershunt.example/oleandershunt/internal/peer/gossip"
	"oleandershunt.example/oleandershunt/internal/placement"
	"oleandershunt.example/oleandershunt/internal/platform"
	"oleandershunt.example/oleandershunt/internal/schedclock"
	"oleandershunt.example/oleandershunt/internal/service"
	"oleandershunt.example/oleandershunt/internal/settings"
	"oleandershunt.example/oleandershunt/internal/trace"
)

// components are the objects that the actors of one process share. They are
// created before any actor starts. An actor mounts its handlers and registers its
// hooks when it is added to the group.
type components struct {
	settings settings.Settings
	log      logr.Logger
	// self is this VM as published to the others.
	self peer.Member
	// loop runs the core.
	loop *loop.Loop
	// stopLoop ends the core's loop before the other actors, which aborts the
	// requests in flight.
	stopLoop context.CancelFunc
	// clock measures connect times and times without data from a server.
	clock *schedclock.Clock
	// entry serves the callers' requests.
	entry *entry.Server
	// platform is shared, so that all calls use one budget; only the claims have a
	// client of their own.
	platform *platform.Client
	// directory lists the known VMs; peers serves their calls, dialer calls them.
	directory *peer.Directory
	peers     *peer.Server
	dialer    *peer.Dialer
	// keys are the TLS keys for calls between VMs; nil if these are not encrypted.
	keys *peer.Keys
	// gossip exchanges state between the VMs.
	gossip *gossip.Gossip
	// contacts are the addresses with which the gossip starts.
	contacts *contacts
	// journal keeps the core's decisions on recent requests.
	journal *journal.Journal
	// operations serves metrics, the pipelines' bounds and the recording.
	operations *http.ServeMux
	// throughput tracks the tokens per second that the pipelines deliver.
	throughput *throughputTracker
	// placement sends the placement orders of the data centre.
	placement *placement.Service
	// recorder records the core's events; nil if recording is off.
	recorder *trace.Recorder
	// drain are the hooks of the planned stop, such as releasing a lease.
	drain *drainHooks
}

func (n *Node) assemble() (*components, error) {
	s := n.settings
	options := core.Options{
		VM:          s.VM.Name,
		DataCentre:  s.VM.DataCentre,
		Policy:      s.Routing.Policy,
		Seed:        s.Routing.Seed,
		MaxAttempts: s.Requests.MaxAttempts,
		Requests:    requestOptions(s),
	}
	c := &components{
		settings: s,
		log:      n.log,
		self: peer.Member{
			Name:       s.VM.Name,
			DataCentre: s.VM.DataCentre,
			Deployment: s.VM.Deployment,
			Address:    n.PeersAddress(),
			Reads:      api.Readable(),
		},
		loop:       loop.New(core.New(options)),
		clock:      schedclock.New(),
		platform:   platform.NewClient(s.Platform.URL, platform.WithVM(s.VM.Name)),
		directory:  peer.NewDirectory(),
		contacts:   newContacts(s.Peers.Seeds),
		journal:    journal.New(journal.DefaultRequests),
		operations: http.NewServeMux(),
		drain:      &drainHooks{},
	}
	if err := c.assemblePeers(); err != nil {
		return nil, err
	}
	c.operations.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	engines := n.attachRecorder(c, options, engine.NewHTTPClientWithTimeout(s.Engines.ConnectTime, c.clock))
	c.entry = entry.New(callerLimits(s), c.loop, c.clock, engines, service.NewClientWithTimeout(s.Engines.ConnectTime, c.clock))
	c.throughput = newThroughputTracker(c.gossip, s.VM.Name, s.VM.DataCentre, c.entry.Delivered)
	return c, c.startTracing()
}

// drainHooks are called during a planned stop, after the last request has
// finished and before the actors end.
type drainHooks struct {
	mu    sync.Mutex
	hooks []func(context.Context)
}

// OnDrain registers a hook, for example one that hands over a lease. Hooks run one
// after another in reverse order of registration. Each must return when ctx ends.
func (d *drainHooks) OnDrain(hook func(context.Context)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.hooks = append(d.hooks, hook)
}

func (d *drainHooks) run(ctx context.Context) {
	d.mu.Lock()
	hooks := d.hooks
	d.mu.Unlock()
	for i := len(hooks) - 1; i >= 0; i-- {
		hooks[i](ctx)
	}
}
