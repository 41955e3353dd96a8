package core

import (
	"oleandershunt.example/oleandershunt/api"
	"oleandershunt.example/oleandershunt/internal/core/route"
)

// CacheObserved reports changes of the prompt prefixes in a backend server's
// cache. It may arrive late, and some changes are never reported.
type CacheObserved struct {
	Server      string             `json:"server"`
	Incarnation uint64             `json:"incarnation"`
	Events      []route.CacheEvent `json:"events"`
}

// LinkObserved reports the state of the network link from one data centre to
// another.
type LinkObserved struct {
	From string `json:"from"`
	To   string `json:"to"`
	// Delay is the transfer time of one token's activations.
	Delay Time `json:"delay"`
	// TokensPerSecond is the link's capacity, in tokens' activations per second. 0
	// means no limit is known.
	TokensPerSecond float64 `json:"tokensPerSecond,omitempty"`
	// Lost says that the link is down.
	Lost bool `json:"lost,omitempty"`
}

// PipelineBound reports the maximum throughput of a pipeline on the backend
// servers that this VM considers eligible. It is sent when it changes.
type PipelineBound struct {
	Pipeline string `json:"pipeline"`
	// TokensPerSecond is the maximum flow through all layers.
	TokensPerSecond float64 `json:"tokensPerSecond"`
	// Servers counts the eligible backend servers.
	Servers int `json:"servers"`
	// Missing, SingleCopy and Bottleneck are the ranges of layers that no server
	// holds, that only one server holds, and whose servers limit the flow.
	Missing    []api.Layers `json:"missing,omitempty"`
	SingleCopy []api.Layers `json:"singleCopy,omitempty"`
	Bottleneck []api.Layers `json:"bottleneck,omitempty"`
	// Disconnected says that every layer is held by some server, but link failures
	// separate the servers.
	Disconnected bool `json:"disconnected,omitempty"`
	// Removed says that the pipeline is no longer configured.
	Removed bool `json:"removed,omitempty"`
}

var (
	_ = registerEvents(CacheObserved{}, LinkObserved{})
	_ = registerActions(PipelineBound{})
)

// EventName implements Event.
func (CacheObserved) EventName() string { return "cache_observed" }

// EventName implements Event.
func (LinkObserved) EventName() string { return "link_observed" }

// ActionName implements Action.
func (PipelineBound) ActionName() string { return "pipeline_bound" }
