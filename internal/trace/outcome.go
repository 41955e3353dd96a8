package trace

import (
	"time"

	"oleandershunt.example/oleandershunt/internal/core/request"
)

// Outcome is one stated outcome. Exactly one field is set. All of what an
// outcome states is compared for equality; parts that are left out are not.
type Outcome struct {
	Request *RequestOutcome `json:"request,omitempty"`
	Key     *KeyOutcome     `json:"key,omitempty"`
	Server  *ServerOutcome  `json:"server,omitempty"`
	VM      *VMOutcome      `json:"vm,omitempty"`
}

// Answer is how a request ended for its caller.
type Answer string

// The ends of a request.
const (
	// AnswerWhole: the caller has the whole answer.
	AnswerWhole Answer = "whole"
	// AnswerRefused: the caller was told that there will be no whole answer.
	AnswerRefused Answer = "refused"
	// AnswerGone: the caller left.
	AnswerGone Answer = "caller_gone"
	// AnswerCut: the VM's process ended first, or the trace did.
	AnswerCut Answer = "cut"
)

// RequestOutcome states what came of one request on one VM.
type RequestOutcome struct {
	VM      string     `json:"vm"`
	Request request.ID `json:"request"`
	// Executions is the number of dispatches that are not proven to have run nothing.
	Executions int    `json:"executions"`
	Answer     Answer `json:"answer"`
	// Tokens are the identifiers of the tokens delivered to the caller, in order.
	Tokens []uint32 `json:"tokens,omitempty"`
	// Refusal is what the caller was told, when Answer is AnswerRefused.
	Refusal *Refusal `json:"refusal,omitempty"`
	// Servers are the backend servers of each dispatch, in layer order.
	Servers [][]string `json:"servers,omitempty"`
	// Dropped is the number of frames that belonged to another stream or attempt.
	Dropped *int `json:"dropped,omitempty"`
	// BadReceipts is the number of frames whose receipts did not prove their token.
	BadReceipts *int `json:"badReceipts,omitempty"`
}

// Refusal is what a refused caller was told.
type Refusal struct {
	Reason    request.Reason    `json:"reason"`
	Execution request.Execution `json:"execution"`
}

// KeyOutcome states how often the requests under one idempotency key ran, over all VMs.
type KeyOutcome struct {
	Account    string `json:"account"`
	Key        string `json:"key"`
	Executions int    `json:"executions"`
}

// ServerOutcome states when a backend server got its last work.
type ServerOutcome struct {
	Server string `json:"server"`
	// LeavingAt is when the first VM learned that the server leaves, on the
	// trace's time line.
	LeavingAt *time.Duration `json:"leavingAt,omitempty"`
	// LastDispatchAt is when the last attempt on the server began, on the
	// trace's time line; -1 when there was none.
	LastDispatchAt time.Duration `json:"lastDispatchAt"`
}

// VMOutcome states what a VM had in force and whom it cut off.
type VMOutcome struct {
	VM string `json:"vm"`
	// Releases are the releases in force, over all processes under the name.
	Releases []ReleaseAt `json:"releases,omitempty"`
	// Cut is the number of requests in flight when a process of the VM, or the trace, ended.
	Cut int `json:"cut"`
}

// ReleaseAt is a release coming into force on the trace's time line.
type ReleaseAt struct {
	At      time.Duration `json:"at"`
	Release uint64        `json:"release"`
}
