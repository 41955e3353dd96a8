package core

import "oleandershunt.example/oleandershunt/internal/core/request"

// Move asks the VM to end an attempt at a token boundary and to report its end
// with the outcome request.Moved, so that the stream can resume on other servers
// before a leaving backend server stops.
type Move struct {
	Request request.ID `json:"request"`
	Attempt int        `json:"attempt"`
	// Server is the leaving backend server.
	Server string `json:"server"`
}

// AttemptStreaming reports the first token of an attempt other than the request's
// first, that is, of a resumed stream or a retry.
type AttemptStreaming struct {
	Request request.ID `json:"request"`
	Attempt int        `json:"attempt"`
}

// LeavePhase is the phase of moving streams off a backend server that leaves by a
// deadline.
type LeavePhase string

// The phases.
const (
	// LeaveMoving: the VM starts to move its streams off the server.
	LeaveMoving LeavePhase = "moving"
	// LeaveOverdue: the deadline has passed and requests of this VM still run on the server.
	LeaveOverdue LeavePhase = "overdue"
)

// ServerLeaving reports a phase change of a backend server that leaves by a deadline.
type ServerLeaving struct {
	Server string     `json:"server"`
	Phase  LeavePhase `json:"phase"`
	// Streams is the number of this VM's streams on the server that can be moved.
	Streams int `json:"streams,omitempty"`
	// Staying is the number of its requests there that can't be moved:
	// non-idempotent ones and calls of a plain service.
	Staying int `json:"staying,omitempty"`
	// Left is the time remaining until the deadline.
	Left Time `json:"left,omitempty"`
}

var (
	_ = registerEvents(AttemptStreaming{})
	_ = registerActions(Move{}, ServerLeaving{})
)

// EventName implements Event.
func (AttemptStreaming) EventName() string { return "attempt_flowing" }

// ActionName implements Action.
func (Move) ActionName() string { return "move" }

// ActionName implements Action.
func (ServerLeaving) ActionName() string { return "server_leaving" }

// RequestID implements RequestAction.
func (m Move) RequestID() request.ID { return m.Request }
