package api

// BackendServerV2 is schema version v2 of BackendServer. It differs from v1 by
// grouping what the server holds in Holds and what it can pass in Capacity.
type BackendServerV2 struct {
	// Address is host:port, the host an IP number.
	Address string `json:"address"`
	// DataCentre is where the server stands.
	DataCentre string `json:"dataCentre"`
	// Accelerator is the kind of accelerator, for operators' eyes.
	Accelerator string `json:"accelerator,omitempty"`
	// Holds is the part of a model that the server holds.
	Holds Holding `json:"holds,omitzero"`
	// Service names the plain service that the server runs.
	Service string `json:"service,omitempty"`
	// Capacity is the operator's estimate of what the server can do.
	Capacity Capacity `json:"capacity,omitzero"`
	// ChecksFencing says that the engine refuses an order with an old fencing number.
	ChecksFencing bool `json:"checksFencing,omitempty"`
	// Leaving asks that the server get no new work.
	Leaving bool `json:"leaving,omitempty"`
	// LeaveBy is when a server that leaves stops, as RFC 3339 tells a time, for
	// example 2026-12-02T21:00:00Z. Streams that still run on it shortly before
	// move to other servers. Empty lets them finish.
	LeaveBy string `json:"leaveBy,omitempty"`
}

// Holding is a range of layers of one version of a model.
type Holding struct {
	// Model names the Model record.
	Model string `json:"model,omitempty"`
	// Version is the version of the weights. Default: the Model record's.
	Version string `json:"version,omitempty"`
	// Layers is the range held.
	Layers Layers `json:"layers,omitzero"`
}

// Capacity is what a backend server can do by its operator's estimate.
type Capacity struct {
	// TokensPerSecond is what the server's layers pass at full batch. It is a
	// start value; measurement replaces it. 0 means that nothing is known.
	TokensPerSecond float64 `json:"tokensPerSecond,omitempty"`
}

// Spec gives the form that the program works with.
func (s BackendServerV2) Spec() BackendServerSpec {
	return BackendServerSpec{
		Address:         s.Address,
		DataCentre:      s.DataCentre,
		Accelerator:     s.Accelerator,
		Model:           s.Holds.Model,
		ModelVersion:    s.Holds.Version,
		Layers:          s.Holds.Layers,
		Service:         s.Service,
		TokensPerSecond: s.Capacity.TokensPerSecond,
		ChecksFencing:   s.ChecksFencing,
		Leaving:         s.Leaving,
		LeaveBy:         s.LeaveBy,
	}
}

// ClientAccountV2 is schema version v2 of ClientAccount. It differs from v1 by
// grouping the limits in Limits.
type ClientAccountV2 struct {
	// KeySHA256 lists the SHA-256 sums, in hex, of the account's API keys.
	KeySHA256 []string `json:"keySHA256"`
	// Pipelines lists the pipelines that the account may call. Empty allows all.
	Pipelines []string `json:"pipelines,omitempty"`
	// Limits bound what the account gets.
	Limits AccountLimits `json:"limits,omitzero"`
	// HomeDataCentre decides the account's non-idempotent requests. Empty or
	// "any" leaves them to the VMs of all data centres.
	HomeDataCentre string `json:"homeDataCentre,omitempty"`
	// FormerHomeDataCentre is the home before the last change of it. Until it is
	// removed, a key is decided in both homes, so that one which was used before
	// the change is known after it. Remove it once the retention of claims is over.
	FormerHomeDataCentre string `json:"formerHomeDataCentre,omitempty"`
}

// AccountLimits bound what a client account gets.
type AccountLimits struct {
	// Weight is the account's share under overload, relative to others. Default 1.
	Weight float64 `json:"weight,omitempty"`
	// RequestsPerSecond bounds the sustained rate. 0 means no bound.
	RequestsPerSecond float64 `json:"requestsPerSecond,omitempty"`
	// Burst is the number of requests that may come at once above the rate.
	Burst int `json:"burst,omitempty"`
}

// Spec gives the form that the program works with.
func (s ClientAccountV2) Spec() ClientAccountSpec {
	return ClientAccountSpec{
		KeySHA256:         s.KeySHA256,
		Pipelines:         s.Pipelines,
		Weight:            s.Limits.Weight,
		RequestsPerSecond: s.Limits.RequestsPerSecond,
		Burst:             s.Limits.Burst,
		HomeDataCentre:    s.HomeDataCentre,

		FormerHomeDataCentre: s.FormerHomeDataCentre,
	}
}
