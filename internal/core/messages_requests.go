package core

import "oleandershunt.example/oleandershunt/internal/core/request"

// Tick reports that the time of an earlier WakeAt has been reached.
type Tick struct{}

// WakeAt asks the VM for a Tick at a time. The VM keeps only the earliest requested
// time. After a Tick the core sends WakeAt again if anything still waits.
type WakeAt struct {
	At Time `json:"at"`
}

// AccountRate is the arrival rate of an account's requests, on one VM or summed
// over several.
type AccountRate struct {
	Account string `json:"account"`
	// PerSecond is the rate of arrived requests, including refused ones.
	PerSecond float64 `json:"perSecond"`
}

// RemoteAccountUsage reports the usage on other VMs of the accounts that have a rate
// limit, so that the limit holds approximately over all VMs.
type RemoteAccountUsage struct {
	// LiveVMs is the number of VMs that serve callers, including this one.
	LiveVMs int `json:"liveVMs"`
	// Elsewhere has the sum of the other VMs' rates by account. A missing account
	// is not known to be used on another VM.
	Elsewhere []AccountRate `json:"elsewhere,omitempty"`
}

// LocalAccountUsage asks the VM to report the rates of the rate-limited accounts on
// this VM to the other VMs.
type LocalAccountUsage struct {
	Accounts []AccountRate `json:"accounts"`
}

// PoisonFinding is a finding, exchanged between VMs, on a body that may crash
// backend servers.
type PoisonFinding struct {
	Account  string `json:"account"`
	Pipeline string `json:"pipeline"`
	BodyHash uint64 `json:"bodyHash"`
	// Server is the backend server of the last crash, and Incarnation the process
	// that was lost there. Incarnation 0 means unknown.
	Server      string `json:"server,omitempty"`
	Incarnation uint64 `json:"incarnation,omitempty"`
	// Crashes is the number of server crashes while the body ran on the server.
	Crashes int `json:"crashes"`
	// Condemned says that requests with the body are refused.
	Condemned bool `json:"condemned,omitempty"`
	// Suspected says that the crash is not proven yet: only a connection was lost.
	Suspected bool `json:"suspected,omitempty"`
	// Age is the time since the last crash.
	Age Time `json:"age,omitempty"`
}

// PublishPoisonFinding asks the VM to publish a finding to the other VMs.
type PublishPoisonFinding struct {
	Finding PoisonFinding `json:"finding"`
}

// PoisonFindingReceived reports another VM's finding.
type PoisonFindingReceived struct {
	Finding PoisonFinding `json:"finding"`
}

// Step is the kind of decision that a Note records.
type Step string

// The steps in the processing of a request.
const (
	StepArrived            Step = "arrived"
	StepQueued             Step = "queued"
	StepClaiming           Step = "claiming"
	StepClaimed            Step = "claimed"
	StepPeeking            Step = "peeking"
	StepDispatched         Step = "dispatched"
	StepLost               Step = "attempt_lost"
	StepMoving             Step = "moving"
	StepMoved              Step = "moved"
	StepWaiting            Step = "waiting"
	StepIsolated           Step = "isolated"
	StepRefused            Step = "refused"
	StepCompleted          Step = "completed"
	StepCallerDisconnected Step = "caller_gone"
	StepLateReport         Step = "late_word"
)

// Note records a decision about a request and its reason. The VM keeps notes for
// some time, so that an operator can have a request explained.
type Note struct {
	Request request.ID `json:"request"`
	At      Time       `json:"at"`
	Step    Step       `json:"step"`
	Attempt int        `json:"attempt,omitempty"`
	// Servers are the backend servers concerned: a path in layer order, or the
	// server at fault.
	Servers   []string          `json:"servers,omitempty"`
	Reason    request.Reason    `json:"reason,omitempty"`
	Execution request.Execution `json:"execution,omitempty"`
	Outcome   request.Outcome   `json:"outcome,omitempty"`
	// Tokens is the number of tokens delivered so far.
	Tokens int `json:"tokens,omitempty"`
	// Until is the latest time at which a wait ends.
	Until Time `json:"until,omitempty"`
	// Text explains what the other fields don't show.
	Text string `json:"text,omitempty"`
}

// EventName implements Event.
func (Tick) EventName() string { return "tick" }

// EventName implements Event.
func (RemoteAccountUsage) EventName() string { return "account_usage" }

// EventName implements Event.
func (PoisonFindingReceived) EventName() string { return "poison_learned" }

// ActionName implements Action.
func (WakeAt) ActionName() string { return "wake_at" }

// ActionName implements Action.
func (LocalAccountUsage) ActionName() string { return "account_usage_here" }

// ActionName implements Action.
func (PublishPoisonFinding) ActionName() string { return "poison_verdict" }

// ActionName implements Action.
func (Note) ActionName() string { return "note" }

var (
	_ = registerEvents(Tick{}, RemoteAccountUsage{}, PoisonFindingReceived{})
	_ = registerActions(WakeAt{}, LocalAccountUsage{}, PublishPoisonFinding{}, Note{})
)
