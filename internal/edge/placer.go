package edge

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"oleandershunt.example/oleandershunt/api"
	"oleandershunt.example/oleandershunt/internal/bootclock"
	"oleandershunt.example/oleandershunt/internal/core/backends"
	"oleandershunt.example/oleandershunt/internal/core/lease"
	"oleandershunt.example/oleandershunt/internal/core/routes"
	"oleandershunt.example/oleandershunt/internal/core/spread"
	"oleandershunt.example/oleandershunt/internal/relay"
	"oleandershunt.example/oleandershunt/internal/role"
	"oleandershunt.example/oleandershunt/internal/telemetry"
)

// kindRole is the object kind of the roles that one VM holds at a time.
const kindRole = "oleandershunt-roles"

// roleTimes are the times of the placement role. A VM that stops releases the role, so the
// other VMs wait for the lease to expire only after a VM was lost.
var roleTimes = role.Times{
	Lease:                   3 * time.Second,
	Interval:                1500 * time.Millisecond,
	BackgroundInterval:      7 * time.Second,
	BackgroundIntervalPerVM: 500 * time.Millisecond,
	RetryInterval:           500 * time.Millisecond,
}

// roleCandidates is the number of VMs of a data centre that check often whether the role
// is free.
const roleCandidates = 2

// Times of the placement.
const (
	placementInterval = 200 * time.Millisecond
	// layoutSettleTime is how long no new server must have registered before the first
	// layout. All servers of a deployment that starts register within seconds, and a
	// layout made for the first ones would have to be moved again.
	layoutSettleTime = 1200 * time.Millisecond
	// lostServerGrace is how long the layout keeps the place of a server whose entry was
	// removed: a crashed server is back by then, or does not return.
	lostServerGrace = 2500 * time.Millisecond
	// orderTimeout bounds the calls of a placement order.
	orderTimeout = time.Second
	// orderExpiry is the time, beyond four load times, after which an order that doesn't
	// show in the server's entry is decided again.
	orderExpiry = 3 * time.Second
	// minRefusalBackoff is the first delay before a server that refused an order gets
	// another one. The delay doubles with each consecutive failure, up to
	// maxRefusalBackoff. Restarted servers and broken connections are back within seconds.
	minRefusalBackoff = 400 * time.Millisecond
	maxRefusalBackoff = 3200 * time.Millisecond
)

// errBusy marks a server that is executing an order and would refuse another one.
var errBusy = eris.New("server is executing another placement order: retry when its entry shows the result")

// errRestarted marks a server that restarted since its entry was read.
//
// A restarted server keeps its name and counts its orders from 0 again. An order for the
// layers that the previous process held would match the count, and make the server take
// layers that it lacks or drop the last copy that it just loaded.
var errRestarted = eris.New("server restarted after its entry was read: retry with the new entry")

// errAlreadyHeld marks an order for layers that the server's report, which may be older
// than an order that it has just accepted, already shows.
var errAlreadyHeld = eris.New("server already holds the ordered layers: retry when its entry shows them")

// placer orders the layers of its data centre's servers while it holds the placement role.
type placer struct {
	parts      Options
	log        logr.Logger
	dispatcher *relay.Dispatcher
	signals    *relay.Signals
	role       *role.Role
	holdsRole  bool
	stopping   func() bool
	// candidates lists the VMs of the data centre that may hold the role, this one
	// included.
	candidates func() []lease.VM
	// settled reports whether the VMs had time to discover one another since the start;
	// nil without other VMs.
	settled func() bool
	// pending are the orders that don't show in the entries yet.
	pending map[string]pendingOrder
	// refusals are the servers that refused their last order. failures passes their IDs
	// from the calls to the placement loop.
	refusals map[string]refusal
	failures chan string
	// serverCount is the number of servers, and serverCountSince when it last changed.
	serverCount      int
	serverCountSince time.Duration
	// requestsSeen is set once requests have arrived since the start.
	requestsSeen bool
	// lastServers are the servers at the last check, by service, and lostServers those
	// that were removed since, by ID.
	lastServers map[string][]spread.Server
	lostServers map[string]lostServer
}

type lostServer struct {
	server    spread.Server
	service   string
	expiresAt time.Duration
}

// refusal is the backoff of a server that refused its last order. It gets no order before
// until.
type refusal struct {
	backoff, until time.Duration
}

type pendingOrder struct {
	layers api.Layers
	// loadedAt is when the load should be complete, and expiresAt when the order is given
	// up.
	loadedAt, expiresAt time.Duration
}

func newPlacer(p Options, d *relay.Dispatcher, stopping func() bool) *placer {
	self := lease.VM{Name: p.Settings.VM, DataCentre: p.Settings.DataCentre, Incarnation: uuid.NewString(), Cores: p.Settings.Cores}
	return &placer{
		parts: p, log: p.Log, dispatcher: d, signals: relay.NewSignals(p.Log, d), stopping: stopping,
		candidates: func() []lease.VM { return []lease.VM{self} },
		role: role.New(role.Options{
			Store: p.Store, Kind: kindRole, Name: "layers-" + p.Settings.DataCentre, Self: self,
			Times: roleTimes, Candidates: roleCandidates, Now: bootclock.Now,
		}),
		pending:     make(map[string]pendingOrder),
		refusals:    make(map[string]refusal),
		failures:    make(chan string, failureQueueSize),
		lastServers: make(map[string][]spread.Server),
		lostServers: make(map[string]lostServer),
	}
}

func (p *placer) run(ctx context.Context) error {
	waitSettled(ctx, p.settled)
	ticker := time.NewTicker(placementInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			// A stopping VM releases the role, so that the next holder need not wait for
			// this process to end.
			if p.stopping() {
				p.role.Release(ctx)
			} else {
				p.role.Step(ctx, p.candidates())
			}
			p.logRoleChange()
			if p.holdsRole {
				p.place(ctx)
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// settlePollInterval is the interval at which waitSettled checks the membership.
const settlePollInterval = 20 * time.Millisecond

// waitSettled returns when settled returns true, or when ctx ends.
func waitSettled(ctx context.Context, settled func() bool) {
	for settled != nil && !settled() && ctx.Err() == nil {
		select {
		case <-time.After(settlePollInterval):
		case <-ctx.Done():
		}
	}
}

func (p *placer) logRoleChange() {
	held := p.role.Held()
	switch {
	case held && !p.holdsRole:
		telemetry.PlacerHeld.Log(p.log, "role", p.role.Name)
	case !held && p.holdsRole:
		telemetry.PlacerLost.Log(p.log, "role", p.role.Name)
	}
	p.holdsRole = held
}

// failureQueueSize bounds the failures between two checks; orders beyond it are decided
// again after orderExpiry.
const failureQueueSize = 256

// processFailures drops the pending orders that failed, so that they are decided again
// after a backoff.
//
// A server that restarts behind a network partition may be listed before its connections
// work again, and the call of its order fails. If the order still counted as pending, no
// other one would be sent for the time of four loads: for 15 s the server held nothing,
// and half of its data centre's requests were refused.
func (p *placer) processFailures() {
	now := bootclock.Now()
	for {
		select {
		case id := <-p.failures:
			backoff := min(max(2*p.refusals[id].backoff, minRefusalBackoff), maxRefusalBackoff)
			p.refusals[id] = refusal{backoff: backoff, until: now + backoff}
			delete(p.pending, id)
		default:
			maps.DeleteFunc(p.refusals, func(_ string, r refusal) bool { return now > r.until+maxRefusalBackoff })
			return
		}
	}
}

func (p *placer) place(ctx context.Context) {
	p.processFailures()
	table := p.dispatcher.Table()
	if table == nil {
		return
	}
	for _, service := range table.ModelServices() {
		servers, listed, loads := p.servers(service)
		if !p.canPlan(servers) {
			continue
		}
		planned := p.withLost(service, servers)
		for _, order := range loads.Admit(service.Engine, planned, spread.Plan(service.Engine, planned)) {
			p.startOrder(ctx, service, listed[order.Server], order)
		}
	}
}

// servers lists the data centre's servers, each with the layers that it holds and those
// that it was ordered to load, and the limit of loads there. Unresponsive servers are left
// out, seconds before their entries expire on the platform.
func (p *placer) servers(service routes.Service) ([]spread.Server, map[string]backends.Server, spread.LoadLimit) {
	var listed []backends.Server
	paces, used := make(map[string]float64), make(map[string]float64)
	p.dispatcher.WithFleet(func(at time.Duration, fleet *backends.Fleet) {
		listed = slices.DeleteFunc(fleet.Servers(service.Name), func(s backends.Server) bool { return fleet.IsUnresponsive(at, s.ID) })
		for _, s := range listed {
			paces[s.ID], used[s.ID] = fleet.Pace(at, s.ID), fleet.MemoryUtilisation(service.Engine, s.ID)
		}
	})
	now := bootclock.Now()
	var servers []spread.Server
	byID := make(map[string]backends.Server)
	for _, s := range listed {
		if s.DataCentre != p.parts.Settings.DataCentre {
			continue
		}
		server := spread.Server{ID: s.ID, Card: service.Engine.Cards[s.Card], Slots: s.Slots, Held: layerSpan(s.LayerRanges), Slowdown: paces[s.ID], Utilization: used[s.ID]}
		if order, ok := p.pending[s.ID]; ok && (server.Held == order.layers || now > order.expiresAt) {
			delete(p.pending, s.ID)
			delete(p.refusals, s.ID)
		} else if ok {
			server.Target, server.Loading, server.LoadRemaining = order.layers, true, order.loadedAt-now
		} else if now < p.refusals[s.ID].until {
			if server.Held.Len() == 0 {
				continue
			}
			// It keeps its layers and can't be moved.
			server.Target, server.Loading = server.Held, true
		}
		servers = append(servers, server)
		byID[s.ID] = s
	}
	return servers, byID, p.loadLimit(service.Engine, listed)
}

// loadLimit returns the limit of concurrent loads in this data centre, given the servers
// of the others. A server elsewhere that holds nothing counts as loading. Before the first
// requests arrive there is no limit: what is loaded by then becomes ready sooner.
func (p *placer) loadLimit(engine *routes.Engine, listed []backends.Server) spread.LoadLimit {
	if engine.LoadsAtOnce == 0 {
		return spread.LoadLimit{}
	}
	if p.requestsSeen = p.requestsSeen || p.dispatcher.HasRecentRequests(); !p.requestsSeen {
		return spread.LoadLimit{}
	}
	own, empty := p.parts.Settings.DataCentre, 0
	var elsewhere []spread.Server
	places := []string{own}
	for _, s := range listed {
		if s.DataCentre == own {
			continue
		}
		places = append(places, s.DataCentre)
		server := spread.Server{ID: s.ID, Held: layerSpan(s.LayerRanges)}
		elsewhere = append(elsewhere, server)
		if server.Held.Len() == 0 {
			empty++
		}
	}
	slices.Sort(places)
	places = slices.Compact(places)
	return spread.LoadLimit{
		MaxConcurrent: spread.LocalLoadLimit(engine.LoadsAtOnce, len(places), empty),
		RemoteCopies:  spread.Copies(engine, elsewhere),
		Offset:        slices.Index(places, own),
	}
}

// withLost adds the servers that were removed a moment ago. A crashed server is back after
// some seconds; without its place in the layout, layers would be moved twice. The place is
// given up at once when an empty server of the same kind can take it, or when the server
// held layers that no other server holds.
func (p *placer) withLost(service routes.Service, servers []spread.Server) []spread.Server {
	now := bootclock.Now()
	present := make(map[string]bool, len(servers))
	empty := make(map[routes.Card]int)
	for _, s := range servers {
		present[s.ID] = true
		if s.Held.Len() == 0 && !s.Loading {
			empty[s.Card]++
		}
	}
	for _, s := range p.lastServers[service.Name] {
		if !present[s.ID] && !s.Lost {
			p.lostServers[s.ID] = lostServer{server: spread.Server{ID: s.ID, Card: s.Card, Slots: s.Slots, Held: s.Held, Lost: true}, service: service.Name, expiresAt: now + lostServerGrace}
		}
	}
	p.lastServers[service.Name] = servers
	all := servers
	for id, lost := range p.lostServers {
		if lost.service != service.Name {
			continue
		}
		if present[id] || now > lost.expiresAt || empty[lost.server.Card] > 0 {
			empty[lost.server.Card]--
			delete(p.lostServers, id)
			continue
		}
		all = append(all, lost.server)
	}
	if !spread.Covered(service.Engine, servers) {
		return servers
	}
	return all
}

// layerSpan is the range from the first to the last layer held.
func layerSpan(holds []backends.LayerRange) api.Layers {
	var bounds api.Layers
	for i, held := range holds {
		if i == 0 {
			bounds = held.Layers
			continue
		}
		bounds.From, bounds.To = min(bounds.From, held.Layers.From), max(bounds.To, held.Layers.To)
	}
	return bounds
}

// canPlan reports whether the present servers are enough to plan a layout.
func (p *placer) canPlan(servers []spread.Server) bool {
	now := bootclock.Now()
	if len(servers) != p.serverCount {
		p.serverCount, p.serverCountSince = len(servers), now
	}
	for _, s := range servers {
		if s.Held.Len() > 0 {
			return true
		}
	}
	return len(servers) > 0 && now-p.serverCountSince >= layoutSettleTime
}

// startOrder sends an order in the background on condition of the server's order count, so
// that an order that arrives late, after a newer one, has no effect.
func (p *placer) startOrder(ctx context.Context, service routes.Service, server backends.Server, order spread.Order) {
	load, now := service.Engine.LoadTimeFor(order.Layers.Len()), bootclock.Now()
	p.pending[order.Server] = pendingOrder{layers: order.Layers, loadedAt: now + load, expiresAt: now + orderExpiry + 4*load}
	go func() {
		ctx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		err := p.sendOrder(ctx, server, order)
		if err != nil {
			telemetry.LayersRefused.Fail(p.log, err, "server", order.Server, "layers", order.Layers.String())
			select {
			case p.failures <- order.Server:
			default: // the order is decided again after orderExpiry
			}
			return
		}
		telemetry.LayersOrdered.Log(p.log, "server", order.Server, "layers", order.Layers.String())
	}()
}

func (p *placer) sendOrder(ctx context.Context, server backends.Server, order spread.Order) error {
	report, err := p.parts.Engines.Report(ctx, server.Address)
	p.signals.Apply(relay.ServerSignals{Server: server.ID, Signals: report.Signals})
	if err != nil {
		return err
	}
	if report.Busy {
		return errBusy
	}
	if report.Started != server.Started && report.Started > 0 && server.Started > 0 {
		return errRestarted
	}
	if report.Layers == order.Layers {
		return errAlreadyHeld
	}
	signals, err := p.parts.Engines.Place(ctx, server.Address, server.Name, relay.Order{ExpectedOrderCount: report.OrderCount, Layers: order.Layers})
	p.signals.Apply(relay.ServerSignals{Server: server.ID, Signals: signals})
	return err
}
