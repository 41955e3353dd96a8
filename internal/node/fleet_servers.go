package node

import (
	"encoding/json"
	"slices"
	"time"

	"oleandershunt.example/oleandershunt/api"
	"oleandershunt.example/oleandershunt/internal/core"
	"oleandershunt.example/oleandershunt/internal/core/config"
	"oleandershunt.example/oleandershunt/internal/core/digest"
	"oleandershunt.example/oleandershunt/internal/core/fleet"
	"oleandershunt.example/oleandershunt/internal/peer/gossip"
	"oleandershunt.example/oleandershunt/internal/probe"
	"oleandershunt.example/oleandershunt/internal/telemetry"
)

// holding is what a model engine holds: it changes seldom, unlike its load.
type holding struct {
	Incarnation uint64     `json:"incarnation"`
	Model       string     `json:"model,omitempty"`
	Version     string     `json:"version,omitempty"`
	Layers      api.Layers `json:"layers,omitzero"`
	Leaving     bool       `json:"leaving,omitempty"`
	// LeaveByMillis is when it stops, as the engine's protocol says it.
	LeaveByMillis int64 `json:"leaveByMillis,omitempty"`
	// witness is the VM that says so.
	witness string
}

func (h holding) observed(server string) core.ServerObserved {
	return core.ServerObserved{
		Server: server, Incarnation: h.Incarnation, Model: h.Model, Version: h.Version,
		Layers: h.Layers, Leaving: h.Leaving, Witness: h.witness,
		LeaveBy: time.Duration(h.LeaveByMillis) * time.Millisecond,
	}
}

// configured takes the configuration in force. It is called by the core's loop
// and must not wait.
func (d *fleetDuty) configured(set *config.Set) {
	d.gossip.SetRelease(set.Release)
	d.usage.configured(set)
	d.held.configured(set)
	names := make(map[uint32]string)
	for _, server := range set.Servers() {
		names[digest.KeyHash(server.Name)] = server.Name
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.set, d.names, d.dirty = set, names, true
}

// shareOut finds the servers that this VM is to probe, if anything changed.
func (d *fleetDuty) shareOut() {
	live := d.gossip.LiveVMs()
	for _, name := range d.shareOutAmong(live) {
		d.loop.Post(core.ServerProbingStopped{Server: name})
	}
}

// shareOutAmong returns the servers that this VM no longer probes.
func (d *fleetDuty) shareOutAmong(live map[string][]string) (unwatched []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.dirty || d.set == nil {
		return nil
	}
	d.dirty = false
	before, probedBefore := d.leading, d.probing
	d.watched, d.leading, d.probing = make(map[string]bool), make(map[string]bool), make(map[string]bool)
	var targets []probe.Target
	for _, server := range d.set.Servers() {
		target := probe.Target{Name: server.Name, Address: server.Address, Service: server.Service != ""}
		watchers := fleet.Observers(server.Name, watchersOf(live, server.DataCentre), d.observers)
		switch {
		case slices.Contains(watchers, d.self):
			d.watched[server.Name] = true
			if watchers[0] == d.self {
				d.leading[server.Name] = true
			}
		case d.doubted[server.Name]:
			target.Rare = true
		default:
			continue
		}
		targets = append(targets, target)
		d.probing[server.Name] = true
	}
	for name := range probedBefore {
		if !d.probing[name] {
			unwatched = append(unwatched, name)
		}
	}
	for name := range before {
		if !d.leading[name] {
			d.gossip.DropGauge(digest.KeyHash(name))
			d.gossip.Put(prefixHolding+name, nil, false)
		}
	}
	d.prober.SetTargets(targets)
	slices.Sort(unwatched)
	return unwatched
}

// watchersOf lists the VMs which can watch the servers of a data centre: its
// own, or all when it has none that live.
func watchersOf(live map[string][]string, dataCentre string) []string {
	if names := live[dataCentre]; len(names) > 0 {
		return names
	}
	var all []string
	for _, names := range live {
		all = append(all, names...)
	}
	return all
}

// probed takes the end of a probe.
func (d *fleetDuty) probed(result probe.Result) {
	name := result.Target.Name
	d.mu.Lock()
	probing, leads := d.probing[name], d.leading[name]
	d.mu.Unlock()
	if !probing {
		// The end of a probe that began before it became another VM's task.
		return
	}
	if result.Misplaced {
		telemetry.ServerMisplaced.Log(d.log, "server", name, "address", result.Target.Address, "answers", result.Capabilities.Server)
	}
	if result.Err != nil || result.Misplaced {
		d.loop.Post(core.ServerProbeFailed{Server: name, Witness: d.self, Refused: result.Refused})
		return
	}
	c := result.Capabilities
	h := holding{
		Incarnation: c.Incarnation, Model: c.Model, Version: c.Version,
		Layers: c.Layers, Leaving: c.Leaving, LeaveByMillis: c.LeaveByMillis, witness: d.self,
	}
	observed := h.observed(name)
	observed.Running, observed.Waiting = c.Running, c.Waiting
	d.loop.Post(observed)
	if leads && !result.Target.Service {
		d.gossip.PutGauge(digest.KeyHash(name), gossip.Pair(c.Running, c.Waiting))
		d.gossip.Put(prefixHolding+name, mustJSON(h), false)
	}
}

// holdingHeard takes what another VM says that a server holds.
func (d *fleetDuty) holdingHeard(entry gossip.Entry) {
	var h holding
	if len(entry.Value) > 0 && json.Unmarshal(entry.Value, &h) != nil {
		return
	}
	h.witness = entry.VM
	d.mu.Lock()
	if len(entry.Value) == 0 {
		// The next VM in the ranking says it from now on.
		if d.holdings[entry.Key].witness == entry.VM {
			delete(d.holdings, entry.Key)
		}
		d.mu.Unlock()
		return
	}
	d.holdings[entry.Key] = h
	watched := d.watched[entry.Key]
	d.mu.Unlock()
	if !watched {
		observed := h.observed(entry.Key)
		observed.LoadUnknown = true
		d.loop.Post(observed)
	}
}

// gaugeHeard takes a load that another VM reports, or a rate of a pipeline or an account.
func (d *fleetDuty) gaugeHeard(gauge gossip.Gauge) {
	d.mu.Lock()
	name, ok := d.names[gauge.Key]
	h, held := d.holdings[name]
	watched := d.watched[name]
	d.mu.Unlock()
	if !ok {
		if !d.held.gaugeHeard(gauge) {
			d.usage.gaugeHeard(gauge)
		}
		return
	}
	if watched || !held {
		return
	}
	observed := h.observed(name)
	observed.Witness = gauge.VM
	observed.Age = gauge.Age + time.Second/2
	observed.Running, observed.Waiting = gossip.Counts(gauge.Level)
	d.loop.Post(observed)
}
