package request

import "slices"

// State is the state of a request.
type State string

// The states of a request.
const (
	// Arrived: not decided on yet.
	Arrived State = "arrived"
	// Queued: waiting for a slot.
	Queued State = "queued"
	// Claiming: not idempotent, and waiting for permission to be dispatched.
	Claiming State = "claiming"
	// Dispatched: an attempt is running.
	Dispatched State = "dispatched"
	// Resuming: holding a slot and waiting for the next attempt.
	Resuming State = "resuming"
	// Ended: the answer is complete, or the caller was refused or has
	// disconnected.
	Ended State = "ended"
)

// transitions lists the allowed next states.
var transitions = map[State][]State{
	Arrived:    {Queued, Claiming, Dispatched, Resuming, Ended},
	Queued:     {Queued, Claiming, Dispatched, Resuming, Ended},
	Claiming:   {Dispatched, Resuming, Ended},
	Dispatched: {Dispatched, Resuming, Ended},
	Resuming:   {Dispatched, Resuming, Ended},
}

// States lists every state.
func States() []State {
	return []State{Arrived, Queued, Claiming, Dispatched, Resuming, Ended}
}

// CanTransitionTo reports whether a request may go from s to next. Dispatched
// may follow itself, since a lost attempt can be retried at once. Nothing
// follows Ended, and an attempt cannot go back to the queue or to a second
// claim: a request whose claim was used would otherwise be claimed, and run,
// twice.
func (s State) CanTransitionTo(next State) bool { return slices.Contains(transitions[s], next) }
