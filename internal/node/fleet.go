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

// Prefixes of the keys of gossip entries.
const (
	// prefixOpinion + backend server name: a fleet.Opinion as JSON.
	prefixOpinion = "s/"
	// prefixEngineState + backend server name: an engineState as JSON.
	prefixEngineState = "h/"
	// prefixPoison + identity of a finding: a sharedFinding as JSON.
	prefixPoison = "p/"
	// prefixUsage is a whole key: the data centre's request rates by account, as
	// encoded by encodeSummary.
	prefixUsage = "u/"
	// prefixThroughput is a whole key: the data centre's tokens per second by pipeline,
	// as encoded by encodeSummary.
	prefixThroughput = "t/"
)

// tickInterval is the period of all timed work of fleetMonitor.
const tickInterval = time.Second

// fleetMonitor connects the gossip between VMs and the probes of backend servers
// with the core, which decides on the servers' states.
type fleetMonitor struct {
	log        logr.Logger
	self       string
	dataCentre string
	observers  int
	loop       *loop.Loop
	gossip     *gossip.Gossip
	prober     *probe.Prober
	usage      *usageReporter
	throughput *throughputTracker
	poison     *poisonReporter

	mu  sync.Mutex
	set *config.Set
	// names maps the key hashes of gauges to backend server names.
	names map[uint32]string
	// observing are the servers that this VM probes as an assigned observer;
	// reporting are those of them whose load and state it also publishes.
	observing map[string]bool
	reporting map[string]bool
	// probing are all servers that this VM probes, assigned or suspect.
	probing map[string]bool
	// suspect are the servers that some VM, possibly this one, can't reach.
	suspect      map[string]bool
	degraded     map[string]bool
	engineStates map[string]engineState
	// assignmentStale requests a new assignment of probes on the next tick.
	assignmentStale bool
	// otherLive is the number of other live VMs. isolated is set when there were
	// some and none is left.
	otherLive int
	isolated  bool
}

func addFleet(group *run.Group, c *components) {
	m := &fleetMonitor{
		log:          c.log,
		self:         c.self.Name,
		dataCentre:   c.self.DataCentre,
		observers:    c.settings.Probe.Observers,
		loop:         c.loop,
		gossip:       c.gossip,
		names:        make(map[uint32]string),
		observing:    make(map[string]bool),
		reporting:    make(map[string]bool),
		suspect:      make(map[string]bool),
		degraded:     make(map[string]bool),
		engineStates: make(map[string]engineState),
		usage:        newUsageReporter(c.gossip, c.loop, c.self.Name, c.self.DataCentre),
		throughput:   c.throughput,
		poison:       newPoisonReporter(c.gossip, c.loop),
	}
	m.prober = probe.New(probe.Options{
		Engines:      engine.NewHTTPClientWithTimeout(engine.DefaultConnectTimeout, c.clock),
		Clock:        c.clock,
		Interval:     c.settings.Probe.Interval,
		Timeout:      c.settings.Probe.Timeout,
		MaxPerSecond: c.settings.Probe.MaxPerSecond,
		Report:       m.onProbeResult,
	})
	m.subscribe()
	c.peers.Handle(c.gossip.Handler())
	actors.AddContext(group, c.gossip.Run)
	actors.AddContext(group, m.poison.run)
	actors.AddContext(group, m.prober.Run)
	actors.AddContext(group, m.run)
}

func (m *fleetMonitor) subscribe() {
	m.loop.Observe(func(_ core.Time, event core.Event, _ []core.Action) {
		if e, ok := event.(core.ConfigInForce); ok {
			m.onConfig(e.Set)
		}
	})
	m.loop.Handle(m.handle)
	m.gossip.OnEntry(prefixOpinion, m.onOpinion)
	m.gossip.OnEntry(prefixEngineState, m.onEngineState)
	m.gossip.OnEntry(prefixPoison, m.poison.onFinding)
	m.gossip.OnEntry(prefixUsage, m.usage.onSummary)
	m.gossip.OnEntry(prefixThroughput, m.throughput.onSummary)
	m.gossip.OnGauge(m.onGauge)
	m.gossip.OnVM(m.onVMStatus)
}

// run does the periodic work until ctx ends.
func (m *fleetMonitor) run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			m.loop.Post(core.FleetTick{Wall: time.Duration(time.Now().UnixNano())})
			m.assignProbes()
			m.usage.tick()
			m.throughput.tick(time.Now())
			m.poison.tick(time.Now())
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// handle carries out the core's actions. The core's loop calls it; it must not block.
func (m *fleetMonitor) handle(action core.Action) {
	switch a := action.(type) {
	case core.PublishOpinion:
		m.publishOpinion(a.Opinion)
	case core.ProbeServer:
		m.prober.Now(a.Server)
	case core.ServerChanged:
		m.onServerChanged(a.Status)
	case core.ServerRestarted:
		telemetry.ServerRestarted.Log(m.log, "server", a.Restart.Server, "before", a.Restart.Before,
			"after", a.Restart.After, "planned", a.Restart.Planned)
	case core.ServerLeaving:
		m.logServerLeaving(a)
	case core.PublishPoisonFinding:
		m.poison.publish(a.Finding)
	case core.PublishSuspicion:
		m.poison.publishSuspicion(a.Finding)
	case core.ConfirmSuspicion:
		m.poison.requestConfirmation(a.Request)
	case core.LocalAccountUsage:
		m.usage.setLocalRates(a.Accounts)
	}
}

func (m *fleetMonitor) publishOpinion(opinion fleet.Opinion) {
	var value []byte
	if !opinion.Neutral() {
		value = mustJSON(opinion)
	}
	m.gossip.Put(prefixOpinion+opinion.Server, value, true)
}

func (m *fleetMonitor) onOpinion(entry gossip.Entry) {
	opinion := fleet.Opinion{}
	if len(entry.Value) > 0 && json.Unmarshal(entry.Value, &opinion) != nil {
		return
	}
	opinion.Server = entry.Key
	m.loop.Post(core.ServerOpinion{Witness: entry.VM, Opinion: opinion})
}

// onServerChanged logs changes to, within and out of a degraded state, and
// requests a new assignment of probes when a server becomes suspect or recovers.
func (m *fleetMonitor) onServerChanged(status fleet.Status) {
	m.mu.Lock()
	defer m.mu.Unlock()
	degraded := status.State != fleet.Live
	if degraded || m.degraded[status.Server] {
		telemetry.ServerJudged.Log(m.log, "server", status.Server, "state", status.State,
			"eligible", status.Eligible, "evidence", status.Evidence)
	}
	suspect := status.Unreachable || status.State == fleet.Suspect
	m.assignmentStale = m.assignmentStale || suspect != m.suspect[status.Server]
	setMember(m.degraded, status.Server, degraded)
	setMember(m.suspect, status.Server, suspect)
}

// logServerLeaving logs the progress of moving streams off a server that leaves
// by a deadline.
func (m *fleetMonitor) logServerLeaving(leaving core.ServerLeaving) {
	event := telemetry.StreamsMoving
	if leaving.Phase == core.LeaveOverdue {
		event = telemetry.LeaveOverdue
	}
	event.Log(m.log, "server", leaving.Server, "streams", leaving.Streams, "staying", leaving.Staying, "left", leaving.Left.String())
}

func setMember(set map[string]bool, name string, member bool) {
	if member {
		set[name] = true
	} else {
		delete(set, name)
	}
}

func (m *fleetMonitor) onVMStatus(vm fleet.VMStatus) {
	telemetry.VMJudged.Log(m.log, "other", vm.Name, "dataCentre", vm.DataCentre, "state", vm.State)
	if vm.State == fleet.Gone {
		m.loop.Post(core.WitnessRemoved{Witness: vm.Name})
		m.usage.forget(vm.Name)
		m.throughput.forget(vm.Name)
	}
	m.countVMs()
}

func (m *fleetMonitor) countVMs() {
	live, local := 0, 0
	for dataCentre, names := range m.gossip.LiveVMs() {
		live += len(names)
		if dataCentre == m.dataCentre {
			local = len(names)
		}
	}
	m.usage.setLiveVMs(live, local)
	metrics.GetOrCreateGauge(fmt.Sprintf(`oleandershunt_fleet_live_vms{vm=%q}`, m.self), nil).Set(float64(live))
	m.loop.Post(core.VMsCounted{Live: live})
	m.mu.Lock()
	defer m.mu.Unlock()
	m.assignmentStale = true
	isolated := live == 1 && (m.otherLive > 0 || m.isolated)
	if isolated && !m.isolated {
		telemetry.CutOffFromVMs.Log(m.log)
	}
	if !isolated && m.isolated {
		telemetry.BackWithVMs.Log(m.log, "live", live)
	}
	m.otherLive, m.isolated = live-1, isolated
}

// mustJSON encodes values of this package's own types. It panics on an error,
// which these types can't cause.
func mustJSON(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return data
}
