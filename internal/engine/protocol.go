// Package engine is the client of the model engines' protocol: HTTP with JSON requests
// and newline-delimited JSON frames in responses. All knowledge of the wire format is in
// this package; the rest of the program uses Client.
package engine

import "oleandershunt.example/oleandershunt/api"

// The paths of the protocol.
const (
	PathAttempts     = "/v1/attempts"
	PathCancel       = "/v1/cancel"
	PathCapabilities = "/v1/capabilities"
	PathCacheEvents  = "/v1/cache-events"
	PathKV           = "/v1/kv"
	PathOrders       = "/v1/orders"
)

// Hop is one stage of an attempt's path, as sent to the engines.
type Hop struct {
	Server  string     `json:"server"`
	Address string     `json:"address"`
	Layers  api.Layers `json:"layers"`
}

// AttemptRequest opens a token stream on a path of stages. It goes to the first stage,
// which forwards the rest of the path, so that activations cross each link once and
// never pass through the VM.
type AttemptRequest struct {
	// Request and Attempt are echoed in every frame.
	Request string `json:"request"`
	Attempt int    `json:"attempt"`
	// Key is the caller's idempotency key, with which an engine can detect duplicates.
	Key     string `json:"key,omitempty"`
	Model   string `json:"model"`
	Version string `json:"version"`
	// Path lists the stages in layer order; the receiver is the first.
	Path []Hop `json:"path"`
	// Prompt is the text to continue. For a chat it holds one JSON object per line,
	// {"role":…,"content":…}, to which the engine applies the model's own chat template.
	Prompt string `json:"prompt"`
	Chat   bool   `json:"chat,omitempty"`
	// Tokens are the answer tokens that earlier attempts delivered. The stream resumes
	// with the token of index len(Tokens).
	Tokens []uint32 `json:"tokens,omitempty"`
	// MaxTokens limits the whole answer, including Tokens.
	MaxTokens int `json:"maxTokens"`
	// Priority is higher for more urgent work.
	Priority int `json:"priority,omitempty"`
	// Once requests a new connection. If the engine closes a reused connection at the
	// same time, a request that never arrived cannot be told from one that ran, so a
	// request that must not be repeated would be rejected unnecessarily.
	Once bool `json:"-"`
}

// Receipt is a stage's statement that it ran its layers for one token.
type Receipt struct {
	Server      string     `json:"server"`
	Incarnation uint64     `json:"incarnation"`
	Version     string     `json:"version"`
	Layers      api.Layers `json:"layers"`
	Attempt     int        `json:"attempt"`
}

// Token is one token of an answer with the receipts of the stages that produced it.
type Token struct {
	// Index counts from 0 at the start of the answer.
	Index    int       `json:"index"`
	ID       uint32    `json:"id"`
	Text     string    `json:"text"`
	Receipts []Receipt `json:"receipts"`
}

// Frame is one line of an attempt's stream. Exactly one of Token, Finish and
// Fault is set.
type Frame struct {
	Request string `json:"request"`
	Attempt int    `json:"attempt"`
	Token   *Token `json:"token,omitempty"`
	// Finish ends a complete answer: "stop" or "length".
	Finish string `json:"finish,omitempty"`
	// PromptTokens is the number of tokens of the prompt; set with Finish.
	PromptTokens int    `json:"promptTokens,omitempty"`
	Fault        *Fault `json:"fault,omitempty"`
}

// Fault ends a failed attempt, and names the stage at fault if known.
type Fault struct {
	Server  string `json:"server,omitempty"`
	Message string `json:"message"`
}

// RefusalKind is the reason for which an engine refused.
type RefusalKind string

// The kinds of refusals.
const (
	// RefusalInvalid: the body is not valid for the path.
	RefusalInvalid RefusalKind = "invalid"
	// RefusalMismatch: the engine holds another model, version or layer range.
	RefusalMismatch RefusalKind = "mismatch"
	// RefusalBusy: the engine has no free capacity, or an order is in progress.
	RefusalBusy RefusalKind = "busy"
	// RefusalLeaving: the engine takes no new work.
	RefusalLeaving RefusalKind = "leaving"
	// RefusalStaleFence: an order carried an older fencing number than one seen before.
	RefusalStaleFence RefusalKind = "stale_fence"
	// RefusalAbsent: the engine does not hold what was requested.
	RefusalAbsent RefusalKind = "absent"
)

// Refusal is the body of an answer other than 200 to an attempt. Unless Started is set,
// it is the engine's proof that it started no work.
type Refusal struct {
	Kind RefusalKind `json:"kind,omitempty"`
	// Server is the stage that refused, if it isn't the receiver.
	Server  string `json:"server,omitempty"`
	Message string `json:"message"`
	// Started is true when the engine cannot rule out that work began.
	Started bool `json:"started"`
}

// Capabilities is the state that an engine reports.
type Capabilities struct {
	Server      string     `json:"server"`
	Incarnation uint64     `json:"incarnation"`
	Model       string     `json:"model"`
	Version     string     `json:"version"`
	Layers      api.Layers `json:"layers"`
	Adapters    []string   `json:"adapters,omitempty"`
	Role        Role       `json:"role,omitempty"`
	// Slots is the number of streams that run a step concurrently.
	Slots int `json:"slots,omitempty"`
	// Running is the number of streams in the batch, and Waiting the number of queued
	// ones; both values lag.
	Running int  `json:"running"`
	Waiting int  `json:"waiting"`
	Leaving bool `json:"leaving"`
	// LeaveByMillis is when a leaving engine will stop, in milliseconds of wall time
	// since the Unix epoch; 0 if unknown.
	LeaveByMillis int64 `json:"leaveByMillis,omitempty"`
	// Loading is true while an order changes what the engine has loaded; it refuses
	// attempts meanwhile.
	Loading bool `json:"loading,omitempty"`
	// Fence is the highest fencing token of the accepted orders.
	Fence uint64 `json:"fence,omitempty"`
	// OldestStepMillis is how long the oldest unfinished step of the engine's own layers
	// has been running. Unlike the load it does not lag; it shows which stage of a
	// silent path is stuck.
	OldestStepMillis int64 `json:"oldestStepMillis,omitempty"`
}
