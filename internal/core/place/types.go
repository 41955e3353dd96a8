// Package place decides which model, version, layers, adapters and role each
// backend server of one data centre should have, and which orders bring it
// there. It is level-triggered: it compares the desired state with the observed
// state and never assumes that an order took effect. It does no I/O and reads no
// clock.
package place

import (
	"time"

	"oleandershunt.example/oleandershunt/api"
)

// Placement is the model, layers, adapters and role that a backend server has
// loaded, or should load.
type Placement struct {
	Model    string     `json:"model,omitempty"`
	Version  string     `json:"version,omitempty"`
	Layers   api.Layers `json:"layers,omitzero"`
	Adapters []string   `json:"adapters,omitempty"`
	Role     string     `json:"role,omitempty"`
}

// sameWeights reports whether two placements need the same weights.
func (h Placement) sameWeights(other Placement) bool {
	return h.Model == other.Model && h.Version == other.Version && h.Layers == other.Layers
}

// hasLayer reports whether the placement includes a layer of a model version.
func (h Placement) hasLayer(model, version string, layer int) bool {
	return h.Model == model && h.Version == version && h.Layers.From <= layer && layer < h.Layers.To
}

// missingLayers counts the layers that must be loaded to get from h to desired.
func (h Placement) missingLayers(desired Placement) int {
	if h.Model != desired.Model || h.Version != desired.Version {
		return desired.Layers.Len()
	}
	return desired.Layers.Len() - h.Layers.Overlap(desired.Layers).Len()
}

// Model is a model as defined by the configuration in force.
type Model struct {
	Layers  int
	Version string
}

// ServerConfig is a model engine of the data centre as defined by the configuration.
type ServerConfig struct {
	Name        string
	Accelerator string
	// ChecksFencing is true if the engine refuses orders with an outdated fencing
	// number.
	ChecksFencing bool
	// Leaving is true if the server is draining and must get no new work.
	Leaving bool
	// Desired is the placement that the operator has configured for the server.
	Desired Placement
}

// Report is a backend server's report of its own state.
type Report struct {
	Server      string
	Incarnation uint64
	Current     Placement
	// Loading is true while the server executes an order.
	Loading bool
	// Direct is true if the VM read the report from the server in order to decide
	// on an order. Other reports may be stale and do not include Loading.
	Direct bool
	// At is when the read began, on the VM's clock. The report shows the state at
	// that time or later.
	At time.Duration
}

// OrderKind is what an order changes.
type OrderKind string

// The kinds of order.
const (
	// OrderLoad replaces the loaded weights.
	OrderLoad OrderKind = "load"
	// OrderAdapter adds an adapter.
	OrderAdapter OrderKind = "adapter"
	// OrderRole changes the role.
	OrderRole OrderKind = "role"
)

// Order is a single order to a backend server.
type Order struct {
	// ID is unique. A resent order keeps its ID.
	ID     string    `json:"id"`
	Server string    `json:"server"`
	Fence  uint64    `json:"fence"`
	Kind   OrderKind `json:"kind"`
	// Placement has only the fields that the kind of order changes set.
	Placement Placement `json:"holding"`
}

// Result is the outcome of sending an order.
type Result string

// The results of an order.
const (
	// Accepted: the server accepted the order and is executing it.
	Accepted Result = "taken"
	// Refused: the server rejected the order.
	Refused Result = "refused"
	// StaleFence: the server has seen the fencing number of a later lease holder.
	StaleFence Result = "stale"
	// Unknown: the response was lost; the order may be in effect.
	Unknown Result = "unknown"
	// NotSent: the role was lost just before the order would have been sent.
	NotSent Result = "not_sent"
)

// Options are the limits of a Planner.
type Options struct {
	// DataCentre is the data centre whose servers are planned.
	DataCentre string
	// MaxLoads limits the concurrent loads in this data centre. It is the data
	// centre's share of the load that the weight store can serve to the fleet.
	MaxLoads int
	// OrderTimeout is the sender's time limit, and so the longest that an order
	// can be in flight. After the lease changes holder, the planner waits that
	// long before it sends an order to a server that ignores fencing numbers.
	OrderTimeout time.Duration
	// LossGrace is how long a server may be unavailable before its layers are
	// assigned to a substitute.
	LossGrace time.Duration
	// ReturnDelay is how long a recovered server must be available before its
	// substitute returns to its own placement.
	ReturnDelay time.Duration
	// MaxReportAge is the maximum age of a direct report on which an order is
	// based.
	MaxReportAge time.Duration
	// MaxReads limits the servers that are read at the same time.
	MaxReads int
	// ReadInterval is the minimum time between two reads of a server.
	ReadInterval time.Duration
	// Backoff is the delay after a first failed order. It doubles with each
	// failure up to MaxBackoff.
	Backoff    time.Duration
	MaxBackoff time.Duration
	// InitialLayerTime is the assumed time to load a layer until a load has been
	// measured.
	InitialLayerTime time.Duration
}

// DefaultOptions returns the limits used in production.
func DefaultOptions(dataCentre string) Options {
	return Options{
		DataCentre:       dataCentre,
		MaxLoads:         2,
		OrderTimeout:     5 * time.Second,
		LossGrace:        2 * time.Second,
		ReturnDelay:      30 * time.Second,
		MaxReportAge:     3 * time.Second,
		MaxReads:         32,
		ReadInterval:     time.Second,
		Backoff:          2 * time.Second,
		MaxBackoff:       time.Minute,
		InitialLayerTime: time.Second,
	}
}

// Decision is the result of a planning step.
type Decision struct {
	// Orders are to be sent at once. The caller checks that it still holds the
	// role before it sends each one.
	Orders []Order
	// Reads lists the servers to read directly.
	Reads []string
	// Status is nil if it has not changed.
	Status *Status
}

// Status is the state of the placement, for operators.
type Status struct {
	DataCentre string `json:"dataCentre"`
	// Holder is true if this VM holds the placement role and sends the orders.
	Holder bool `json:"holder"`
	// Changes lists the servers that differ from their configured placement, by
	// name.
	Changes []Change `json:"changes,omitempty"`
	// Uncovered lists the layers that no serving server of the data centre has
	// loaded.
	Uncovered []Gap `json:"uncovered,omitempty"`
}

// Change describes a server on its way from its current to its desired
// placement.
type Change struct {
	Server string `json:"server"`
	// Model is the desired model.
	Model string `json:"model,omitempty"`
	From  string `json:"from"`
	To    string `json:"to"`
	// Replaces is the lost server whose placement this one takes over.
	Replaces string `json:"instead,omitempty"`
	State    State  `json:"state"`
	// Reason is what the change is blocked by, with the remedy if an operator has
	// one.
	Reason string `json:"why,omitempty"`
	// Since is when the order was sent, on the VM's clock. 0 if none is in
	// flight.
	Since time.Duration `json:"since,omitempty"`
	// ExpectedDuration is how long the change should take, learned from earlier
	// loads.
	ExpectedDuration time.Duration `json:"expected,omitempty"`
}

// State is the progress of a change.
type State string

// The states of a change.
const (
	// Pending: no order was sent yet; Reason says what blocks it.
	Pending State = "waiting"
	// Ordered: the order was sent and its result is not known yet.
	Ordered State = "ordered"
	// Loading: the server is executing the order.
	Loading State = "loading"
	// Substituting: it has the placement of a lost server and returns to its own
	// once that server has recovered.
	Substituting State = "standing_in"
	// Unacknowledged: the response to the order was lost; the server is being
	// read.
	Unacknowledged State = "unanswered"
)

// Gap is a range of layers without a serving copy in the data centre.
type Gap struct {
	Model   string     `json:"model"`
	Version string     `json:"version"`
	Layers  api.Layers `json:"layers"`
	// Substitute is the server that is to load them. Empty if none can.
	Substitute string `json:"substitute,omitempty"`
}
