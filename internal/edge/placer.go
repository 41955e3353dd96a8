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

// kindRole is the store's kind of the roles that one VM holds at a time.
const kindRole = "oleandershunt-roles"

// roleTimes are the times of the role that orders layers. A VM that stops gives it
// up, so the lease is waited out only after a VM was lost.
var roleTimes = role.Times{
	Lease:                   3 * time.Second,
	Interval:                1500 * time.Millisecond,
	BackgroundInterval:      7 * time.Second,
	BackgroundIntervalPerVM: 500 * time.Millisecond,
	RetryInterval:           500 * time.Millisecond,
}

// roleCandidates is the number of VMs of a data centre that look often whether the
// role is free.
const roleCandidates = 2

// The pace of placement.
const (
	placeEvery = 200 * time.Millisecond
	// settled is how long no server may have come before the first layout: all
	// servers of a deployment that starts register within seconds, and a layout
	// made for the first of them would be moved again.
	settled = 1200 * time.Millisecond
	// lostGrace is how long the layout keeps the place of a server whose entry went:
	// one that crashed is back by then, or stays away.
	lostGrace = 2500 * time.Millisecond
	// orderTimeout bounds the calls of an order.
	orderTimeout = time.Second
	// orderLost is when an order that did not show is decided anew.
	orderLost = 3 * time.Second
	// refusedFor is how long a server is left alone at first that did not take an order,
	// and refusedMost how long at most; it doubles with each failure in a row. Restarted
	// servers and cut ways are back within seconds.
	refusedFor  = 400 * time.Millisecond
	refusedMost = 3200 * time.Millisecond
)

// errBusy marks a server that carries out an order. It would refuse another one.
var errBusy = eris.New("server carries out another order: decide again when that shows")

// errRestarted marks a server that started again since its entry was read.
//
// What can go wrong: a server starts again under its name and counts its orders from
// 0, as before. An order for what it held in its former life fits the count, and takes
// layers that it doesn't have, or gives up the last copy that it just loaded.
var errRestarted = eris.New("server started again: decide again by its new entry")

// errHeld marks an order for what its server holds already by its report, which may be older than
// an order that it has just taken.
var errHeld = eris.New("server holds the layers already: decide again when its entry shows them")

// placer orders the layers of its data centre's servers while it holds the role.
type placer struct {
	parts      Parts
	log        logr.Logger
	dispatcher *relay.Dispatcher
	signals    *relay.Signals
	role       *role.Role
	holding    bool
	stopping   func() bool
	// candidates lists the VMs of the data centre that may hold the role, this one
	// included.
	candidates func() []lease.VM
	// settled tells whether the VMs had time to get to know one another since the start;
	// nil without others.
	settled func() bool
	// pending are the orders that don't show in the entries yet.
	pending map[string]pendingOrder
	// refusals are the servers that did not take their last order, and failed brings
	// word of them.
	refusals map[string]refusedOrder
	failed   chan string
	// count and changed are the number of servers and since when it is so.
	count   int
	changed time.Duration
	// begun says that requests have come since the start.
	begun bool
	// last are the servers of the last look, by service, and lost those that went
	// since, by ID.
	last map[string][]spread.Server
	lost map[string]lostServer
}

type lostServer struct {
	server  spread.Server
	service string
	until   time.Duration
}

// refusedOrder is a server that did not take its last order. It gets none until then.
type refusedOrder struct {
	span, until time.Duration
}

type pendingOrder struct {
	layers api.Layers
	// loaded is when the load should be over, and until when the order is given up.
	loaded, until time.Duration
}

func newPlacer(p Parts, d *relay.Dispatcher, stopping func() bool) *placer {
	self := lease.VM{Name: p.Settings.VM, DataCentre: p.Settings.DataCentre, Incarnation: uuid.NewString(), Cores: p.Settings.Cores}
	return &placer{
		parts: p, log: p.Log, dispatcher: d, signals: relay.NewSignals(p.Log, d), stopping: stopping,
		candidates: func() []lease.VM { return []lease.VM{self} },
		role: role.New(role.Options{
			Store: p.Store, Kind: kindRole, Name: "layers-" + p.Settings.DataCentre, Self: self,
			Times: roleTimes, Candidates: roleCandidates, Now: bootclock.Now,
		}),
		pending:  make(map[string]pendingOrder),
		refusals: make(map[string]refusedOrder),
		failed:   make(chan string, failedKept),
		last:     make(map[string][]spread.Server),
		lost:     make(map[string]lostServer),
	}
}

func (p *placer) run(ctx context.Context) error {
	await(ctx, p.settled)
	ticker := time.NewTicker(placeEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			// A VM that stops gives the role up: the next holder need not wait for the
			// end of a process that is leaving.
			if p.stopping() {
				p.role.Release(ctx)
			} else {
				p.role.Step(ctx, p.candidates())
			}
			p.tell()
			if p.holding {
				p.place(ctx)
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// awaitStep is the time between two looks whether the VMs know one another.
const awaitStep = 20 * time.Millisecond

// await returns when settled says so, or ctx ends.
func await(ctx context.Context, settled func() bool) {
	for settled != nil && !settled() && ctx.Err() == nil {
		select {
		case <-time.After(awaitStep):
		case <-ctx.Done():
		}
	}
}

func (p *placer) tell() {
	held := p.role.Held()
	switch {
	case held && !p.holding:
		telemetry.PlacerHeld.Log(p.log, "role", p.role.Name)
	case !held && p.holding:
		telemetry.PlacerLost.Log(p.log, "role", p.role.Name)
	}
	p.holding = held
}

// failedKept bounds the failures between two looks; what is beyond waits for orderLost.
const failedKept = 256

// takeFailures has the servers that did not take their orders decided anew.
//
// What can go wrong: a server starts again behind a cut; its entry comes when the way
// there is not yet back, and the order's call fails. If the order still counted as given,
// nobody would give another one for the time of four loads: 15 s in which the server
// stood empty and half of its data centre's requests were refused.
func (p *placer) takeFailures() {
	now := bootclock.Now()
	for {
		select {
		case id := <-p.failed:
			span := min(max(2*p.refusals[id].span, refusedFor), refusedMost)
			p.refusals[id] = refusedOrder{span: span, until: now + span}
			delete(p.pending, id)
		default:
			maps.DeleteFunc(p.refusals, func(_ string, r refusedOrder) bool { return now > r.until+refusedMost })
			return
		}
	}
}

func (p *placer) place(ctx context.Context) {
	p.takeFailures()
	table := p.dispatcher.Table()
	if table == nil {
		return
	}
	for _, service := range table.ModelServices() {
		servers, listed, loads := p.servers(service)
		if !p.ready(servers) {
			continue
		}
		planned := p.withLost(service, servers)
		for _, order := range loads.Admit(service.Engine, planned, spread.Plan(service.Engine, planned)) {
			p.order(ctx, service, listed[order.Server], order)
		}
	}
}

// servers are the data centre's, each with what it holds and was ordered to, and the loads
// that may run there. Servers that others wait for in vain are left out, seconds before the
// platform misses them.
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
		server := spread.Server{ID: s.ID, Card: service.Engine.Cards[s.Card], Slots: s.Slots, Held: span(s.LayerRanges), Slowdown: paces[s.ID], Utilization: used[s.ID]}
		if order, ok := p.pending[s.ID]; ok && (server.Held == order.layers || now > order.until) {
			delete(p.pending, s.ID)
			delete(p.refusals, s.ID)
		} else if ok {
			server.Target, server.Loading, server.LoadRemaining = order.layers, true, order.loaded-now
		} else if now < p.refusals[s.ID].until {
			if server.Held.Len() == 0 {
				continue
			}
			// It holds what it holds, and can't be moved.
			server.Target, server.Loading = server.Held, true
		}
		servers = append(servers, server)
		byID[s.ID] = s
	}
	return servers, byID, p.loads(service.Engine, listed)
}

// loads are those that may run in this data centre beside those of the others. A server
// elsewhere that holds nothing counts as loading. Until requests come, nothing is bounded:
// what is loaded by then is ready sooner for all.
func (p *placer) loads(engine *routes.Engine, listed []backends.Server) spread.LoadLimit {
	if engine.LoadsAtOnce == 0 {
		return spread.LoadLimit{}
	}
	if p.begun = p.begun || p.dispatcher.HasRecentRequests(); !p.begun {
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
		server := spread.Server{ID: s.ID, Held: span(s.LayerRanges)}
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

// withLost adds the servers that went a moment ago. A server that crashed is back
// after some seconds; without its place the layout would be moved twice. Its place
// is given up at once when an empty server of its kind is there to take it, or
// when it held what nobody else holds.
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
	for _, s := range p.last[service.Name] {
		if !present[s.ID] && !s.Lost {
			p.lost[s.ID] = lostServer{server: spread.Server{ID: s.ID, Card: s.Card, Slots: s.Slots, Held: s.Held, Lost: true}, service: service.Name, until: now + lostGrace}
		}
	}
	p.last[service.Name] = servers
	whole := servers
	for id, lost := range p.lost {
		if lost.service != service.Name {
			continue
		}
		if present[id] || now > lost.until || empty[lost.server.Card] > 0 {
			empty[lost.server.Card]--
			delete(p.lost, id)
			continue
		}
		whole = append(whole, lost.server)
	}
	if !spread.Covered(service.Engine, servers) {
		return servers
	}
	return whole
}

// span is the range from the first to the last layer held.
func span(holds []backends.LayerRange) api.Layers {
	var whole api.Layers
	for i, held := range holds {
		if i == 0 {
			whole = held.Layers
			continue
		}
		whole.From, whole.To = min(whole.From, held.Layers.From), max(whole.To, held.Layers.To)
	}
	return whole
}

// ready tells whether the servers that there are can be planned with.
func (p *placer) ready(servers []spread.Server) bool {
	now := bootclock.Now()
	if len(servers) != p.count {
		p.count, p.changed = len(servers), now
	}
	for _, s := range servers {
		if s.Held.Len() > 0 {
			return true
		}
	}
	return len(servers) > 0 && now-p.changed >= settled
}

// order gives an order on condition of the server's count of orders, so that one
// which arrives late, after a newer one, does nothing.
func (p *placer) order(ctx context.Context, service routes.Service, server backends.Server, order spread.Order) {
	load, now := service.Engine.LoadTimeFor(order.Layers.Len()), bootclock.Now()
	p.pending[order.Server] = pendingOrder{layers: order.Layers, loaded: now + load, until: now + orderLost + 4*load}
	go func() {
		ctx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		err := p.give(ctx, server, order)
		if err != nil {
			telemetry.LayersRefused.Fail(p.log, err, "server", order.Server, "layers", order.Layers.String())
			select {
			case p.failed <- order.Server:
			default: // the order is decided anew after orderLost
			}
			return
		}
		telemetry.LayersOrdered.Log(p.log, "server", order.Server, "layers", order.Layers.String())
	}()
}

func (p *placer) give(ctx context.Context, server backends.Server, order spread.Order) error {
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
		return errHeld
	}
	asked, err := p.parts.Engines.Place(ctx, server.Address, server.Name, relay.Order{ExpectedOrderCount: report.OrderCount, Layers: order.Layers})
	p.signals.Apply(relay.ServerSignals{Server: server.ID, Signals: asked})
	return err
}
