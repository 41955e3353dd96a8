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

// engineState is the part of a model engine's state that changes rarely, unlike
// its load.
type engineState struct {
	Incarnation uint64     `json:"incarnation"`
	Model       string     `json:"model,omitempty"`
	Version     string     `json:"version,omitempty"`
	Layers      api.Layers `json:"layers,omitzero"`
	Leaving     bool       `json:"leaving,omitempty"`
	// LeaveByMillis is the engine's stop time, in the form of the engine protocol.
	LeaveByMillis int64 `json:"leaveByMillis,omitempty"`
	// witness is the VM that reported the state.
	witness string
}

func (state engineState) observation(server string) core.ServerObserved {
	return core.ServerObserved{
		Server: server, Incarnation: state.Incarnation, Model: state.Model, Version: state.Version,
		Layers: state.Layers, Leaving: state.Leaving, Witness: state.witness,
		LeaveBy: time.Duration(state.LeaveByMillis) * time.Millisecond,
	}
}

// onConfig takes over the configuration in force. The core's loop calls it; it
// must not block.
func (m *fleetMonitor) onConfig(set *config.Set) {
	m.gossip.SetRelease(set.Release)
	m.usage.onConfig(set)
	m.throughput.onConfig(set)
	names := make(map[uint32]string)
	for _, server := range set.Servers() {
		names[digest.KeyHash(server.Name)] = server.Name
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.set, m.names, m.assignmentStale = set, names, true
}

// assignProbes recomputes which servers this VM probes, if anything changed.
func (m *fleetMonitor) assignProbes() {
	live := m.gossip.LiveVMs()
	for _, name := range m.assignProbesAmong(live) {
		m.loop.Post(core.ServerProbingStopped{Server: name})
	}
}

// assignProbesAmong assigns the probes among the live VMs, given by data centre,
// and returns the servers that this VM no longer probes.
func (m *fleetMonitor) assignProbesAmong(live map[string][]string) (dropped []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.assignmentStale || m.set == nil {
		return nil
	}
	m.assignmentStale = false
	reportedBefore, probedBefore := m.reporting, m.probing
	m.observing, m.reporting, m.probing = make(map[string]bool), make(map[string]bool), make(map[string]bool)
	var targets []probe.Target
	for _, server := range m.set.Servers() {
		target := probe.Target{Name: server.Name, Address: server.Address, Service: server.Service != ""}
		observers := fleet.Observers(server.Name, observerCandidates(live, server.DataCentre), m.observers)
		switch {
		case slices.Contains(observers, m.self):
			m.observing[server.Name] = true
			if observers[0] == m.self {
				m.reporting[server.Name] = true
			}
		case m.suspect[server.Name]:
			target.Rare = true
		default:
			continue
		}
		targets = append(targets, target)
		m.probing[server.Name] = true
	}
	for name := range probedBefore {
		if !m.probing[name] {
			dropped = append(dropped, name)
		}
	}
	for name := range reportedBefore {
		if !m.reporting[name] {
			m.gossip.DropGauge(digest.KeyHash(name))
			m.gossip.Put(prefixEngineState+name, nil, false)
		}
	}
	m.prober.SetTargets(targets)
	slices.Sort(dropped)
	return dropped
}

// observerCandidates lists the VMs that can observe the servers of a data centre:
// the live VMs of that data centre, or all live VMs if it has none.
func observerCandidates(live map[string][]string, dataCentre string) []string {
	if names := live[dataCentre]; len(names) > 0 {
		return names
	}
	var all []string
	for _, names := range live {
		all = append(all, names...)
	}
	return all
}

// onProbeResult posts the result of a probe to the core and, if this VM reports
// the server, publishes the engine's load and state.
func (m *fleetMonitor) onProbeResult(result probe.Result) {
	name := result.Target.Name
	m.mu.Lock()
	probing, reporting := m.probing[name], m.reporting[name]
	m.mu.Unlock()
	if !probing {
		// The probe began before the server was assigned to another VM.
		return
	}
	if result.Misplaced {
		telemetry.ServerMisplaced.Log(m.log, "server", name, "address", result.Target.Address, "answers", result.Capabilities.Server)
	}
	if result.Err != nil || result.Misplaced {
		m.loop.Post(core.ServerProbeFailed{Server: name, Witness: m.self, Refused: result.Refused})
		return
	}
	c := result.Capabilities
	state := engineState{
		Incarnation: c.Incarnation, Model: c.Model, Version: c.Version,
		Layers: c.Layers, Leaving: c.Leaving, LeaveByMillis: c.LeaveByMillis, witness: m.self,
	}
	observed := state.observation(name)
	observed.Running, observed.Waiting = c.Running, c.Waiting
	m.loop.Post(observed)
	if reporting && !result.Target.Service {
		m.gossip.PutGauge(digest.KeyHash(name), gossip.Pair(c.Running, c.Waiting))
		m.gossip.Put(prefixEngineState+name, mustJSON(state), false)
	}
}

// onEngineState takes over a server's state as reported by another VM.
func (m *fleetMonitor) onEngineState(entry gossip.Entry) {
	var state engineState
	if len(entry.Value) > 0 && json.Unmarshal(entry.Value, &state) != nil {
		return
	}
	state.witness = entry.VM
	m.mu.Lock()
	if len(entry.Value) == 0 {
		// The next VM in the ranking reports the state from now on.
		if m.engineStates[entry.Key].witness == entry.VM {
			delete(m.engineStates, entry.Key)
		}
		m.mu.Unlock()
		return
	}
	m.engineStates[entry.Key] = state
	observing := m.observing[entry.Key]
	m.mu.Unlock()
	if !observing {
		observed := state.observation(entry.Key)
		observed.LoadUnknown = true
		m.loop.Post(observed)
	}
}

// onGauge takes over a gauge of another VM: the load of a server, or the rate of
// a pipeline or an account.
func (m *fleetMonitor) onGauge(gauge gossip.Gauge) {
	m.mu.Lock()
	name, ok := m.names[gauge.Key]
	state, known := m.engineStates[name]
	observing := m.observing[name]
	m.mu.Unlock()
	if !ok {
		if !m.throughput.onGauge(gauge) {
			m.usage.onGauge(gauge)
		}
		return
	}
	if observing || !known {
		return
	}
	observed := state.observation(name)
	observed.Witness = gauge.VM
	observed.Age = gauge.Age + time.Second/2
	observed.Running, observed.Waiting = gossip.Counts(gauge.Level)
	m.loop.Post(observed)
}
