package core

import (
	"time"

	"oleandershunt.example/oleandershunt/internal/core/config"
	"oleandershunt.example/oleandershunt/internal/core/request"
	"oleandershunt.example/oleandershunt/internal/core/route"
)

// ConfigInForce reports a newer configuration, to be used from now on.
type ConfigInForce struct {
	// Set is the complete configuration. It is immutable once sent.
	Set *config.Set `json:"set"`
}

// RequestArrived reports that a caller's request has been read and authenticated.
type RequestArrived struct {
	Request request.ID `json:"request"`
	// Account is the name of the caller's client account.
	Account string `json:"account"`
	// Pipeline is the requested pipeline. Empty when Route is set.
	Pipeline string `json:"pipeline,omitempty"`
	// Route is the plain service's route record. Empty when Pipeline is set.
	Route string `json:"route,omitempty"`
	// Idempotent says that the request may be run again.
	Idempotent bool `json:"idempotent"`
	// Deadline is the time after which the caller no longer needs the answer. The
	// VM cancels an attempt at the deadline and reports AttemptEnded with what the
	// attempt proved.
	Deadline Time `json:"deadline"`
	// Key is the caller's Idempotency-Key, or a key assigned by the VM.
	Key string `json:"key,omitempty"`
	// KeyGiven says that the caller supplied the key.
	KeyGiven bool `json:"keyGiven,omitempty"`
	// BodyHash identifies the body. 0 means unknown: such a request's body is not
	// compared with that of earlier requests under its key, and the request is not
	// suspected of crashing servers.
	BodyHash uint64 `json:"bodyHash,omitempty"`
	// Priority is higher for more urgent requests. It orders only the requests of
	// one account, never those of different accounts.
	Priority int `json:"priority,omitempty"`
	// PromptTokens is the estimated length of the prompt in tokens.
	PromptTokens int `json:"promptTokens,omitempty"`
	// PrefixHashes are the hashes of the prompt's prefixes, shortest first, for
	// affinity to servers that have them cached.
	PrefixHashes []uint64 `json:"prefixHashes,omitempty"`
	// MaxTokens limits the answer's length in tokens. 0 means unknown.
	MaxTokens int `json:"maxTokens,omitempty"`
}

// AttemptEnded reports the end of an attempt that was started by a Dispatch.
type AttemptEnded struct {
	Request request.ID `json:"request"`
	Attempt int        `json:"attempt"`
	// Outcome is what the attempt proved.
	Outcome request.Outcome `json:"outcome"`
	// Server is the backend server at fault. Empty when the attempt succeeded, when
	// the fault can't be attributed to one server, or when the VM cancelled the
	// attempt at the deadline.
	Server string `json:"server,omitempty"`
	// Suspects are the backend servers of which one is at fault, when Server is
	// empty and a path stopped responding. The next attempt avoids them if another
	// path exists.
	Suspects []string `json:"suspects,omitempty"`
	// Tokens is the number of tokens delivered to the caller so far, over all attempts.
	Tokens int `json:"tokens"`
}

// CallerDisconnected reports that the caller closed its connection before the request ended.
type CallerDisconnected struct {
	Request request.ID `json:"request"`
}

// Dispatch asks the VM to start an attempt on a path.
type Dispatch struct {
	Request request.ID `json:"request"`
	Attempt int        `json:"attempt"`
	// Path has the backend servers that run the attempt, in layer order. The path
	// of a plain service has one stage without layers.
	Path route.Path `json:"path"`
	// Model and Version must match those in every receipt.
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	// Layers is the model's number of layers. A token's receipts must cover each
	// layer exactly once.
	Layers int `json:"layers,omitempty"`
	// FromToken is the index of the first token to produce. The tokens before it
	// were delivered by earlier attempts.
	FromToken int `json:"fromToken"`
}

// Refuse asks the VM to end the caller's request without a complete answer.
type Refuse struct {
	Request   request.ID        `json:"request"`
	Reason    request.Reason    `json:"reason"`
	Execution request.Execution `json:"execution"`
	// RetryAfter is how long the caller should wait before a retry. 0 means that a
	// retry won't help.
	RetryAfter time.Duration `json:"retryAfter"`
}

var (
	_ = registerEvents(ConfigInForce{}, RequestArrived{}, AttemptEnded{}, CallerDisconnected{})
	_ = registerActions(Dispatch{}, Refuse{})
)

// EventName implements Event.
func (ConfigInForce) EventName() string { return "config_in_force" }

// EventName implements Event.
func (RequestArrived) EventName() string { return "request_arrived" }

// EventName implements Event.
func (AttemptEnded) EventName() string { return "attempt_ended" }

// EventName implements Event.
func (CallerDisconnected) EventName() string { return "caller_gone" }

// ActionName implements Action.
func (Dispatch) ActionName() string { return "dispatch" }

// ActionName implements Action.
func (Refuse) ActionName() string { return "refuse" }

// RequestAction is an action that concerns one request.
type RequestAction interface {
	Action
	// RequestID returns the request concerned.
	RequestID() request.ID
}

// RequestID implements RequestAction.
func (d Dispatch) RequestID() request.ID { return d.Request }

// RequestID implements RequestAction.
func (r Refuse) RequestID() request.ID { return r.Request }
