package node

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/oklog/run"

	"oleandershunt.example/oleandershunt/internal/actors"
	"oleandershunt.example/oleandershunt/internal/core"
	"oleandershunt.example/oleandershunt/internal/core/config"
	"oleandershunt.example/oleandershunt/internal/core/fleet"
	"oleandershunt.example/oleandershunt/internal/engine"
	"oleandershunt.example/oleandershunt/internal/loop"
	"oleandershunt.example/oleandershunt/internal/peer/gossip"
	"oleandershunt.example/oleandershunt/internal/probe"
	"oleandershunt.example/oleandershunt/internal/telemetry"
)

// The keys under which a VM tells the others what it knows.
const (
	// prefixOpinion is followed by a backend server's name; a fleet.Opinion as JSON.
	prefixOpinion = "s/"
	// prefixHolding is followed by a backend server's name; a holding as JSON.
	prefixHolding = "h/"
	// prefixPoison is followed by what identifies a finding; a sharedFinding as JSON.
	prefixPoison = "p/"
	// prefixUsage is followed by nothing; the data centre's use of accounts.
	prefixUsage = "u/"
	// prefixHeld is followed by nothing; the data centre's tokens per second.
	prefixHeld = "t/"
)

// tickInterval is the pace of everything here that lets time pass.
const tickInterval = time.Second

// fleetDuty joins the talk between VMs, the probes of backend servers and the
// core's judgement on them.
type fleetDuty struct {
	log       logr.Logger
	self      string
	dc        string
	observers int
	loop      *loop.Loop
	gossip    *gossip.Gossip
	prober    *probe.Prober
	usage     *usageDuty
	held      *heldDuty
	poison    *poisonDuty

	mu  sync.Mutex
	set *config.Set
	// names finds a backend server by the hash that gauges name it with.
	names map[uint32]string
	// watched are the servers that this VM probes for the others, leading those
	// whose load it also reports.
	watched map[string]bool
	leading map[string]bool
	// probing are the servers that this VM probes for whatever reason.
	probing map[string]bool
	// doubted are servers that somebody, or this VM, can't reach.
	doubted  map[string]bool
	degraded map[string]bool
	holdings map[string]holding
	// dirty asks for the probes to be shared out anew.
	dirty bool
	// others is the number of other VMs that live, and alone says that there
	// were some and are none.
	others int
	alone  bool
}

func addFleet(group *run.Group, p *parts) {
	d := &fleetDuty{
		log:       p.log,
		self:      p.self.Name,
		dc:        p.self.DataCentre,
		observers: p.settings.Probe.Observers,
		loop:      p.loop,
		gossip:    p.gossip,
		names:     make(map[uint32]string),
		watched:   make(map[string]bool),
		leading:   make(map[string]bool),
		doubted:   make(map[string]bool),
		degraded:  make(map[string]bool),
		holdings:  make(map[string]holding),
		usage:     newUsageDuty(p.gossip, p.loop, p.self.Name, p.self.DataCentre),
		held:      p.held,
		poison:    newPoisonDuty(p.gossip, p.loop),
	}
	d.prober = probe.New(probe.Options{
		Engines:      engine.NewHTTPClientWithTimeout(engine.DefaultConnectTimeout, p.clock),
		Clock:        p.clock,
		Interval:     p.settings.Probe.Interval,
		Timeout:      p.settings.Probe.Timeout,
		MaxPerSecond: p.settings.Probe.MaxPerSecond,
		Report:       d.probed,
	})
	d.subscribe()
	p.peers.Handle(p.gossip.Handler())
	actors.AddContext(group, p.gossip.Run)
	actors.AddContext(group, d.poison.run)
	actors.AddContext(group, d.prober.Run)
	actors.AddContext(group, d.run)
}

func (d *fleetDuty) subscribe() {
	d.loop.Observe(func(_ core.Time, event core.Event, _ []core.Action) {
		if e, ok := event.(core.ConfigInForce); ok {
			d.configured(e.Set)
		}
	})
	d.loop.Handle(d.act)
	d.gossip.OnEntry(prefixOpinion, d.opinionHeard)
	d.gossip.OnEntry(prefixHolding, d.holdingHeard)
	d.gossip.OnEntry(prefixPoison, d.poison.heard)
	d.gossip.OnEntry(prefixUsage, d.usage.summaryHeard)
	d.gossip.OnEntry(prefixHeld, d.held.summaryHeard)
	d.gossip.OnGauge(d.gaugeHeard)
	d.gossip.OnVM(d.vmJudged)
}

// run lets time pass until ctx ends.
func (d *fleetDuty) run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			d.loop.Post(core.FleetTick{Wall: time.Duration(time.Now().UnixNano())})
			d.shareOut()
			d.usage.tick()
			d.held.tick(time.Now())
			d.poison.tick(time.Now())
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// act carries out the core's actions. It is called by the core's loop and must not wait.
func (d *fleetDuty) act(action core.Action) {
	switch a := action.(type) {
	case core.PublishOpinion:
		d.spread(a.Opinion)
	case core.ProbeServer:
		d.prober.Now(a.Server)
	case core.ServerChanged:
		d.serverJudged(a.Status)
	case core.ServerRestarted:
		telemetry.ServerRestarted.Log(d.log, "server", a.Restart.Server, "before", a.Restart.Before,
			"after", a.Restart.After, "planned", a.Restart.Planned)
	case core.ServerLeaving:
		d.serverLeaving(a)
	case core.PublishPoisonFinding:
		d.poison.spread(a.Finding)
	case core.PublishSuspicion:
		d.poison.suspect(a.Finding)
	case core.ConfirmSuspicion:
		d.poison.confirm(a.Request)
	case core.LocalAccountUsage:
		d.usage.here(a.Accounts)
	}
}

func (d *fleetDuty) spread(opinion fleet.Opinion) {
	var value []byte
	if !opinion.Neutral() {
		value = mustJSON(opinion)
	}
	d.gossip.Put(prefixOpinion+opinion.Server, value, true)
}

func (d *fleetDuty) opinionHeard(entry gossip.Entry) {
	opinion := fleet.Opinion{}
	if len(entry.Value) > 0 && json.Unmarshal(entry.Value, &opinion) != nil {
		return
	}
	opinion.Server = entry.Key
	d.loop.Post(core.ServerOpinion{Witness: entry.VM, Opinion: opinion})
}

// serverJudged logs a degraded state at its changes, the return included, and
// has doubted servers probed.
func (d *fleetDuty) serverJudged(status fleet.Status) {
	d.mu.Lock()
	defer d.mu.Unlock()
	degraded := status.State != fleet.Live
	if degraded || d.degraded[status.Server] {
		telemetry.ServerJudged.Log(d.log, "server", status.Server, "state", status.State,
			"eligible", status.Eligible, "evidence", status.Evidence)
	}
	doubted := status.Unreachable || status.State == fleet.Suspect
	d.dirty = d.dirty || doubted != d.doubted[status.Server]
	setMember(d.degraded, status.Server, degraded)
	setMember(d.doubted, status.Server, doubted)
}

// serverLeaving logs how far a server that leaves by a deadline has come.
func (d *fleetDuty) serverLeaving(leaving core.ServerLeaving) {
	event := telemetry.StreamsMoving
	if leaving.Phase == core.LeaveOverdue {
		event = telemetry.LeaveOverdue
	}
	event.Log(d.log, "server", leaving.Server, "streams", leaving.Streams, "staying", leaving.Staying, "left", leaving.Left.String())
}

func setMember(set map[string]bool, name string, member bool) {
	if member {
		set[name] = true
	} else {
		delete(set, name)
	}
}

func (d *fleetDuty) vmJudged(vm fleet.VMStatus) {
	telemetry.VMJudged.Log(d.log, "other", vm.Name, "dataCentre", vm.DataCentre, "state", vm.State)
	if vm.State == fleet.Gone {
		d.loop.Post(core.WitnessRemoved{Witness: vm.Name})
		d.usage.forget(vm.Name)
		d.held.forget(vm.Name)
	}
	d.countVMs()
}

func (d *fleetDuty) countVMs() {
	live, near := 0, 0
	for dataCentre, names := range d.gossip.LiveVMs() {
		live += len(names)
		if dataCentre == d.dc {
			near = len(names)
		}
	}
	d.usage.setLive(live, near)
	metrics.GetOrCreateGauge(fmt.Sprintf(`oleandershunt_fleet_live_vms{vm=%q}`, d.self), nil).Set(float64(live))
	d.loop.Post(core.VMsCounted{Live: live})
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dirty = true
	alone := live == 1 && (d.others > 0 || d.alone)
	if alone && !d.alone {
		telemetry.CutOffFromVMs.Log(d.log)
	}
	if !alone && d.alone {
		telemetry.BackWithVMs.Log(d.log, "live", live)
	}
	d.others, d.alone = live-1, alone
}

// mustJSON encodes values of this package's own types, which always can be.
func mustJSON(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return data
}
