package engine

import (
	"github.com/rotisserie/eris"

	"oleandershunt.example/oleandershunt/api"
)

// Role is the part that an engine plays on a path.
type Role string

// The roles.
const (
	// RoleBoth: the engine prefills prompts and generates tokens.
	RoleBoth Role = "both"
	// RolePrefill: the engine only prefills, and exports the KV cache.
	RolePrefill Role = "prefill"
	// RoleDecode: the engine only generates, from an imported KV cache.
	RoleDecode Role = "decode"
)

// OrderKind says what an order changes.
type OrderKind string

// The kinds of order.
const (
	// OrderLoad replaces model, version and layers held. Streams in flight end first.
	OrderLoad OrderKind = "load"
	// OrderAdapter adds an adapter to the model held.
	OrderAdapter OrderKind = "adapter"
	// OrderRole changes the engine's role.
	OrderRole OrderKind = "role"
	// OrderLeave asks the engine to take no new work.
	OrderLeave OrderKind = "leave"
	// OrderJoin ends an earlier OrderLeave.
	OrderJoin OrderKind = "join"
)

// Order tells an engine to change what it holds or does. It is answered as soon
// as the engine has taken it on; Capabilities show when it is carried out.
type Order struct {
	// ID is unique; an engine that has the order already answers as before.
	ID string `json:"id"`
	// Fence is the fencing number of the lease under which the order is given.
	// Some engines refuse a number lower than the highest seen; others ignore it.
	Fence   uint64     `json:"fence"`
	Kind    OrderKind  `json:"kind"`
	Model   string     `json:"model,omitempty"`
	Version string     `json:"version,omitempty"`
	Layers  api.Layers `json:"layers,omitzero"`
	Adapter string     `json:"adapter,omitempty"`
	Role    Role       `json:"role,omitempty"`
}

// Errors of an order.
var (
	// ErrStaleFence: a later holder of the lease has given an order. Give none any more.
	ErrStaleFence = eris.New("order has an old fencing number: stop giving orders and read the lease again")
	// ErrOrderRefused: the engine did not take the order on.
	ErrOrderRefused = eris.New("engine refused the order: read its capabilities and decide again")
	// ErrOrderUnknown: the answer was lost; the order may be in effect.
	ErrOrderUnknown = eris.New("order may have taken effect: read the engine's capabilities before the next one")
)
