package api

import "fmt"

// Layers is a half-open range of model layers, [From, To).
type Layers struct {
	// From is the first layer of the range, counted from 0.
	From int `json:"from"`
	// To is the layer after the last one of the range.
	To int `json:"to"`
}

// Len is the number of layers in the range.
func (l Layers) Len() int { return l.To - l.From }

// Overlap is the range that both have. Empty when they have none in common.
func (l Layers) Overlap(other Layers) Layers {
	both := Layers{From: max(l.From, other.From), To: min(l.To, other.To)}
	if both.Len() <= 0 {
		return Layers{}
	}
	return both
}

// String formats the range as [from,to).
func (l Layers) String() string { return fmt.Sprintf("[%d,%d)", l.From, l.To) }

// Defaults of fields that a record leaves out.
const (
	DefaultDeadlineSeconds = 120
	DefaultMaxTokens       = 1024
	DefaultTimeoutSeconds  = 30
	DefaultWeight          = 1.0
)

// ModelSpec describes a model that backend servers can hold.
type ModelSpec struct {
	// Layers is the number of layers, at least 1.
	Layers int `json:"layers"`
	// Version is the weights' version. Every token of an answer comes from one version.
	Version string `json:"version"`
}

// PipelineSpec is a model offered to callers under the record's name.
type PipelineSpec struct {
	// Model names the Model record that answers.
	Model string `json:"model"`
	// Idempotent says that running a request twice does no harm. Default false.
	Idempotent bool `json:"idempotent,omitempty"`
	// DeadlineSeconds bounds a request from arrival to last token. Default 120.
	DeadlineSeconds int `json:"deadlineSeconds,omitempty"`
	// MaxTokens bounds the tokens of one answer. Default 1024.
	MaxTokens int `json:"maxTokens,omitempty"`
}

// BackendServerSpec describes a model engine or an instance of a plain service.
// Exactly one of Model and Service is set. Its JSON form is schema version v1.
type BackendServerSpec struct {
	// Address is host:port, the host an IP number.
	Address string `json:"address"`
	// DataCentre is where the server stands.
	DataCentre string `json:"dataCentre"`
	// Accelerator is the kind of accelerator, for operators' eyes.
	Accelerator string `json:"accelerator,omitempty"`
	// Model names the Model record whose layers the server holds.
	Model string `json:"model,omitempty"`
	// ModelVersion is the version of the weights that the server holds. It must
	// be the Model record's version, which is the default.
	ModelVersion string `json:"modelVersion,omitempty"`
	// Layers is the range held.
	Layers Layers `json:"layers,omitzero"`
	// Service names the plain service that the server runs.
	Service string `json:"service,omitempty"`
	// TokensPerSecond is the operator's estimate of what the server's layers
	// pass at full batch. It is a start value; measurement replaces it. 0 means
	// that nothing is known.
	TokensPerSecond float64 `json:"tokensPerSecond,omitempty"`
	// ChecksFencing says that the engine refuses an order with an old fencing number.
	ChecksFencing bool `json:"checksFencing,omitempty"`
	// Leaving asks that the server get no new work.
	Leaving bool `json:"leaving,omitempty"`
	// LeaveBy is when a server that leaves stops, as RFC 3339 tells a time, for
	// example 2026-12-02T21:00:00Z. Streams that still run on it shortly before
	// move to other servers. Empty lets them finish.
	LeaveBy string `json:"leaveBy,omitempty"`
}

// RouteSpec sends callers' requests to a plain service.
type RouteSpec struct {
	// Host matches the request's host without port. Empty matches every host.
	Host string `json:"host,omitempty"`
	// PathPrefix matches the start of the request's path.
	PathPrefix string `json:"pathPrefix"`
	// Methods lists the methods matched. Empty matches every method.
	Methods []string `json:"methods,omitempty"`
	// Service is the plain service that answers.
	Service string `json:"service"`
	// Idempotent says that a request may be run again. Default false.
	Idempotent bool `json:"idempotent,omitempty"`
	// TimeoutSeconds bounds one request. Default 30.
	TimeoutSeconds int `json:"timeoutSeconds,omitempty"`
}

// AnyHome is the home of a client account that has none.
const AnyHome = "any"

// ClientAccountSpec is a caller's account and its limits. Its JSON form is
// schema version v1.
type ClientAccountSpec struct {
	// KeySHA256 lists the SHA-256 sums, in hex, of the account's API keys.
	KeySHA256 []string `json:"keySHA256"`
	// Pipelines lists the pipelines that the account may call. Empty allows all.
	Pipelines []string `json:"pipelines,omitempty"`
	// Weight is the account's share under overload, relative to others. Default 1.
	Weight float64 `json:"weight,omitempty"`
	// RequestsPerSecond bounds the sustained rate. 0 means no bound.
	RequestsPerSecond float64 `json:"requestsPerSecond,omitempty"`
	// Burst is the number of requests that may come at once above the rate.
	Burst int `json:"burst,omitempty"`
	// HomeDataCentre decides the account's non-idempotent requests. Empty or
	// "any" leaves them to the VMs of all data centres.
	HomeDataCentre string `json:"homeDataCentre,omitempty"`
	// FormerHomeDataCentre is the home before the last change of it. Until it is
	// removed, a key is decided in both homes, so that one which was used before
	// the change is known after it. Remove it once the retention of claims is over.
	FormerHomeDataCentre string `json:"formerHomeDataCentre,omitempty"`
}
