package core

import "oleandershunt.example/oleandershunt/internal/core/request"

// PublishSuspicion asks the VM to publish to the other VMs at once that the
// connection to a server was lost while a request with the body ran on it. It is
// sent before it is known whether the server crashed.
type PublishSuspicion struct {
	Finding PoisonFinding `json:"finding"`
}

// ConfirmSuspicion asks the VM to exchange all findings on crashes with the other
// VMs and to answer with SuspicionConfirmed. The request, whose body may have
// crashed servers, is not dispatched before the answer.
type ConfirmSuspicion struct {
	Request request.ID `json:"request"`
}

// SuspicionConfirmed reports the end of the exchange asked for by
// ConfirmSuspicion. The findings of other VMs were delivered before it as
// PoisonFindingReceived events.
type SuspicionConfirmed struct {
	Request request.ID `json:"request"`
	// Missing are the VMs that may be alive but did not answer in time.
	Missing []string `json:"missing,omitempty"`
}

// EventName implements Event.
func (SuspicionConfirmed) EventName() string { return "suspicion_confirmed" }

// ActionName implements Action.
func (PublishSuspicion) ActionName() string { return "spread_suspicion" }

// ActionName implements Action.
func (ConfirmSuspicion) ActionName() string { return "confirm_suspicion" }

var (
	_ = registerEvents(SuspicionConfirmed{})
	_ = registerActions(PublishSuspicion{}, ConfirmSuspicion{})
)
