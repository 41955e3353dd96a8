// Package core is the deterministic state machine that makes one VM's decisions.
// It does no I/O, reads no clock and starts no goroutine: its input is typed
// events with their time, its output typed actions, and equal inputs always give
// equal outputs. A recorded trace can therefore be replayed and checked against
// expected outcomes, and each decision can be explained to an operator.
package core

import (
	"time"

	"oleandershunt.example/oleandershunt/internal/core/config"
	"oleandershunt.example/oleandershunt/internal/core/request"
	"oleandershunt.example/oleandershunt/internal/core/route"
)

// Time is a reading of the VM's monotonic clock, counted from the start of its process.
type Time = time.Duration

// Event is an input of the core: something that happened outside it.
type Event interface {
	// EventName is the event's name in recorded traces.
	EventName() string
}

// Action is an output of the core: something that the VM is to do.
type Action interface {
	// ActionName is the action's name in recorded traces.
	ActionName() string
}

// Options are the settings of a Machine. They are recorded in a trace's header,
// since a replay with other settings may reach other decisions.
type Options struct {
	// VM is this VM's name. It is the Witness of events from its own probes.
	VM string `json:"vm,omitempty"`
	// DataCentre is the data centre of the VM.
	DataCentre string `json:"dataCentre"`
	// Policy selects how paths are chosen.
	Policy route.Policy `json:"policy"`
	// Seed initialises the machine's random number generator.
	Seed uint64 `json:"seed"`
	// MaxAttempts limits the attempts of one request, without those that were
	// moved off a leaving server.
	MaxAttempts int `json:"maxAttempts"`
	// Requests are the settings of admission control, retries and the detection
	// of poison requests.
	Requests RequestOptions `json:"requests,omitzero"`
}

// Machine is the decision state machine of one VM. It is not safe for concurrent use.
type Machine struct {
	options   Options
	config    *config.Set
	router    *route.Router
	requests  map[request.ID]*request.Request
	fleet     fleetState
	lifecycle lifecycleState
	timers    timers
	routing   routingState
	moves     moveState
}

// New returns a machine without a configuration. It refuses every request until
// it gets a ConfigInForce event.
func New(options Options) *Machine {
	return &Machine{
		options:   options,
		config:    config.Empty(),
		router:    route.New(route.Options{Policy: options.Policy, DataCentre: options.DataCentre, Seed: options.Seed}),
		requests:  make(map[request.ID]*request.Request),
		fleet:     newFleetState(options.VM),
		lifecycle: newLifecycleState(options.Requests),
		routing:   newRoutingState(),
		moves:     newMoveState(),
	}
}

// Step processes one event that happened at time now and returns the resulting
// actions in order.
func (m *Machine) Step(now Time, event Event) []Action {
	actions := m.observeFleet(now, event)
	actions = append(actions, m.observeRouting(now, event)...)
	m.observeMoves(now, event)
	actions = append(actions, m.step(now, event)...)
	m.trackAttemptPaths(event, actions)
	return actions
}

func (m *Machine) step(now Time, event Event) []Action {
	switch e := event.(type) {
	case ConfigInForce:
		return m.configInForce(now, e)
	case RequestArrived:
		return m.requestArrived(now, e)
	case AttemptEnded:
		return m.attemptEnded(now, e)
	case CallerDisconnected:
		return m.callerDisconnected(now, e)
	case ClaimDecided:
		return m.claimDecided(now, e)
	case ClaimPeeked:
		return m.claimPeeked(now, e)
	case RemoteAccountUsage:
		return m.remoteAccountUsage(now, e)
	case VMsCounted:
		m.lifecycle.admission.SetLiveVMs(e.Live)
		return nil
	case PoisonFindingReceived:
		return m.poisonFindingReceived(now, e)
	case SuspicionConfirmed:
		return m.suspicionConfirmed(now, e)
	case ServerObserved:
		return m.requestsServerObserved(now, e)
	case ServerProbeFailed:
		return m.requestsProbeFailed(now, e)
	case AttemptStreaming, FleetTick:
		return m.finishStep(now)
	case Tick:
		return m.tick(now)
	default:
		return nil
	}
}

// InFlight returns the number of requests that have arrived and not yet ended.
func (m *Machine) InFlight() int { return len(m.requests) }

// Release returns the number of the configuration release in force, or 0 before
// the first.
func (m *Machine) Release() uint64 { return m.config.Release }

func (m *Machine) configInForce(now Time, e ConfigInForce) []Action {
	if e.Set.Release <= m.config.Release {
		return nil
	}
	m.config = e.Set
	actions := m.updateFleetRecords(now)
	m.setServers()
	m.updatePools()
	m.planMoves()
	return append(actions, m.finishStep(now)...)
}
