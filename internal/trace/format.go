// Package trace records the events of VMs' cores, states what must come of
// them, and replays them. A trace is a file of JSON lines: a head, events with
// their virtual time, frames of answers, stated outcomes and a digest of the
// decisions. docs/TRACES.md describes the format. A replay is not a simulator:
// every message between VMs, every loss and every pause in it was recorded.
package trace

import (
	"encoding/json"
	"time"

	"oleandershunt.example/oleandershunt/internal/core"
	"oleandershunt.example/oleandershunt/internal/core/request"
	"oleandershunt.example/oleandershunt/internal/engine"
)

// FormatVersion is the version of the format that this program reads and writes.
const FormatVersion = 1

// Promise names one of the seven things that must always hold.
type Promise string

// The promises.
const (
	PromiseLayersOnce    Promise = "every_layer_once_in_order"
	PromiseOwnAnswer     Promise = "whole_answer_to_its_own_caller"
	PromiseNotRun        Promise = "not_run_is_true"
	PromiseAtMostOnce    Promise = "non_idempotent_at_most_once"
	PromiseLeaving       Promise = "leaving_server_gets_no_new_work"
	PromisePlannedStop   Promise = "planned_stop_cuts_nothing"
	PromiseConfiguration Promise = "accepted_configuration_never_reverts"
)

// Promises lists all promises.
func Promises() []Promise {
	return []Promise{
		PromiseLayersOnce, PromiseOwnAnswer, PromiseNotRun, PromiseAtMostOnce,
		PromiseLeaving, PromisePlannedStop, PromiseConfiguration,
	}
}

// Failure names a kind of failure that the system is built for.
type Failure string

// The kinds of failure.
const (
	FailureStageDied       Failure = "stage_died"
	FailureLinkDegraded    Failure = "link_degraded"
	FailureVMJoined        Failure = "vm_joined"
	FailurePlatformDown    Failure = "platform_down"
	FailureWriteAnswerLost Failure = "write_answer_lost"
	FailureHolderPaused    Failure = "lease_holder_paused"
	FailureOperatorsRace   Failure = "operators_race"
	FailurePoison          Failure = "poison_request"
	FailurePartition       Failure = "data_centres_apart"
	FailureStaleList       Failure = "vm_list_stale"
)

// Failures lists all kinds of failure.
func Failures() []Failure {
	return []Failure{
		FailureStageDied, FailureLinkDegraded, FailureVMJoined, FailurePlatformDown, FailureWriteAnswerLost,
		FailureHolderPaused, FailureOperatorsRace, FailurePoison, FailurePartition, FailureStaleList,
	}
}

// Head is the first line of a trace.
type Head struct {
	// Version is the version of the format.
	Version int `json:"version"`
	// Deployment says whose sizes and delays the trace has.
	Deployment string `json:"deployment,omitempty"`
	// Symptom, Sequence and Cause tell what an operator would see without the
	// code that the trace proves, what happens, and why it could go wrong.
	Symptom  string `json:"symptom,omitempty"`
	Sequence string `json:"sequence,omitempty"`
	Cause    string `json:"cause,omitempty"`
	// Promises and Failures are what the stated outcomes prove, under which failures.
	Promises []Promise `json:"promises,omitempty"`
	Failures []Failure `json:"failures,omitempty"`
	// VMs are those whose events the trace holds.
	VMs []VM `json:"vms"`
	// Dropped is the number of early lines that a bounded recording has lost.
	// What they did to the VMs' state is missing, so decisions may differ.
	Dropped int `json:"dropped,omitempty"`
}

// VM is one VM of a trace.
type VM struct {
	Name string `json:"name"`
	// Offset is when the VM's process started, on the trace's own time line.
	Offset time.Duration `json:"offset,omitempty"`
	// Options are the settings of the VM's core.
	Options core.Options `json:"options"`
}

// Event is one event as a VM's core took it.
type Event struct {
	VM string `json:"vm"`
	// At is the time on the VM's own clock, in nanoseconds.
	At core.Time `json:"at"`
	// Name is the event's name and Body its JSON form.
	Name string          `json:"name"`
	Body json.RawMessage `json:"body"`
}

// Frame is one frame of an answer as it reached a VM.
type Frame struct {
	VM string `json:"vm"`
	// At is the time on the VM's own clock, in nanoseconds.
	At core.Time `json:"at"`
	// Request and Attempt are those of the stream on which the frame came. The
	// frame's own may differ: then it must not be delivered.
	Request request.ID   `json:"request"`
	Attempt int          `json:"attempt"`
	Frame   engine.Frame `json:"frame"`
}

// Restart says that a VM's process ended and a new one, which knows nothing,
// has taken its name.
type Restart struct {
	VM string `json:"vm"`
	// Offset is when the new process started, on the trace's own time line.
	Offset time.Duration `json:"offset"`
}

// Digest is a hash of each VM's decisions: their bytes are the same on each replay.
type Digest map[string]string

// line is one line of a file. Exactly one field is set.
type line struct {
	Head    *Head    `json:"head,omitempty"`
	Event   *Event   `json:"event,omitempty"`
	Frame   *Frame   `json:"frame,omitempty"`
	Restart *Restart `json:"restart,omitempty"`
	Outcome *Outcome `json:"outcome,omitempty"`
	Digest  Digest   `json:"digest,omitempty"`
}

// Step is a numbered line that a replay feeds. One of Event, Frame and Restart is set.
type Step struct {
	Line    int
	Event   *Event
	Frame   *Frame
	Restart *Restart
	// decoded is the event's body.
	decoded core.Event
}

// Stated is a numbered line with a stated outcome.
type Stated struct {
	Line    int
	Outcome Outcome
}

// Trace is a file that has been read.
type Trace struct {
	Head     Head
	Steps    []Step
	Outcomes []Stated
	// Digest is the stated digest; DigestLine is 0 when none is stated.
	Digest     Digest
	DigestLine int
}
