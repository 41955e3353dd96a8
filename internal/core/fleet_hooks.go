package core

import (
	"oleandershunt.example/oleandershunt/internal/core/config"
	"oleandershunt.example/oleandershunt/internal/core/fleet"
	"oleandershunt.example/oleandershunt/internal/core/request"
	"oleandershunt.example/oleandershunt/internal/core/route"
)

// fleetState is what the machine knows about the backend servers' health.
type fleetState struct {
	self string
	view *fleet.View
	// attemptPaths has the path of each request's current attempt, so that a
	// completed attempt counts as evidence of health for all its servers.
	attemptPaths map[request.ID]route.Path
}

func newFleetState(self string) fleetState {
	return fleetState{
		self:         self,
		view:         fleet.New(fleet.DefaultOptions(self)),
		attemptPaths: make(map[request.ID]route.Path),
	}
}

// observeFleet updates the health view from an event. It runs before the event is
// handled, so that a retry takes the failed attempt's evidence into account.
func (m *Machine) observeFleet(now Time, event Event) []Action {
	view := m.fleet.view
	var actions []Action
	switch e := event.(type) {
	case ServerObserved:
		if e.Witness == m.fleet.self {
			view.ApplyReport(now, fleet.Report{Server: e.Server, Incarnation: e.Incarnation, Leaving: e.Leaving})
		} else {
			view.ObserveIncarnation(e.Server, e.Incarnation)
		}
	case ServerProbeFailed:
		m.fleetProbeFailed(now, e)
	case ServerProbingStopped:
		view.ProbingStopped(e.Server)
	case ServerOpinion:
		view.SetPeerOpinion(e.Witness, e.Opinion)
	case WitnessRemoved:
		view.RemoveWitness(e.Witness)
	case VMsCounted:
		view.SetVMs(e.Live)
	case PlatformListed:
		view.ApplyPlatformList(e.Servers)
	case FleetTick:
		view.Tick(now)
	case AttemptEnded:
		actions = m.fleetAttemptEnded(now, e)
	default:
		return nil
	}
	return append(actions, m.applyFleetChanges(now)...)
}

// trackAttemptPaths updates the paths of the attempts in flight after a step.
func (m *Machine) trackAttemptPaths(event Event, actions []Action) {
	switch e := event.(type) {
	case AttemptEnded:
		delete(m.fleet.attemptPaths, e.Request)
	case CallerDisconnected:
		delete(m.fleet.attemptPaths, e.Request)
	}
	for _, action := range actions {
		if dispatch, ok := action.(Dispatch); ok {
			m.fleet.attemptPaths[dispatch.Request] = dispatch.Path
		}
	}
}

func (m *Machine) fleetProbeFailed(now Time, e ServerProbeFailed) {
	if e.Witness != m.fleet.self {
		return
	}
	if e.Refused {
		m.fleet.view.ConnectionRefused(now, e.Server)
		return
	}
	m.fleet.view.ProbeFailed(now, e.Server)
}

// fleetAttemptEnded updates the health of an attempt's servers from its outcome.
// An attempt refused before any work may have been refused by a healthy engine,
// so the server is probed rather than counted as failed.
func (m *Machine) fleetAttemptEnded(now Time, e AttemptEnded) []Action {
	switch e.Outcome {
	case request.Completed:
		for _, stage := range m.fleet.attemptPaths[e.Request] {
			m.fleet.view.RequestSucceeded(now, stage.Server)
		}
	case request.Lost, request.Interrupted:
		if e.Server != "" {
			m.fleet.view.RequestFailed(now, e.Server)
			return []Action{ProbeServer{Server: e.Server}}
		}
	case request.ProvenNotRun:
		if e.Server != "" {
			return []Action{ProbeServer{Server: e.Server}}
		}
	}
	return nil
}

// updateFleetRecords passes the backend servers of the configuration in force to
// the health view.
func (m *Machine) updateFleetRecords(now Time) []Action {
	servers := m.config.Servers()
	records := make([]fleet.Record, 0, len(servers))
	for _, s := range servers {
		records = append(records, fleet.Record{Name: s.Name, DataCentre: s.DataCentre, Leaving: s.Leaving})
	}
	m.fleet.view.SetRecords(records)
	return m.applyFleetChanges(now)
}

// applyFleetChanges re-evaluates the servers with new evidence, updates the router
// and returns the actions for the changes.
func (m *Machine) applyFleetChanges(now Time) []Action {
	changes := m.fleet.view.Changes(now)
	var actions []Action
	for _, restart := range changes.Restarts {
		actions = append(actions, ServerRestarted{Restart: restart})
	}
	for _, status := range changes.Statuses {
		actions = append(actions, ServerChanged{Status: status})
	}
	for _, opinion := range changes.Opinions {
		actions = append(actions, PublishOpinion{Opinion: opinion})
	}
	for _, server := range changes.ProbeNow {
		actions = append(actions, ProbeServer{Server: server})
	}
	if len(changes.Statuses) > 0 {
		m.setServers()
		m.planMoves()
	}
	return actions
}

// eligible reports whether a backend server may get new work from this VM, and
// the incarnation of the process last known there (0 if unknown).
func (m *Machine) eligible(record config.Server) (bool, uint64) {
	status, ok := m.fleet.view.Status(record.Name)
	if !ok {
		return !record.Leaving, 0
	}
	return status.Eligible, status.Incarnation
}
