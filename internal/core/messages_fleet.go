package core

import (
	"oleandershunt.example/oleandershunt/api"
	"oleandershunt.example/oleandershunt/internal/core/fleet"
)

// ServerObserved is a backend server's report on itself, received by this VM or
// forwarded by another. It may be outdated.
type ServerObserved struct {
	Server      string     `json:"server"`
	Incarnation uint64     `json:"incarnation"`
	Model       string     `json:"model,omitempty"`
	Version     string     `json:"version,omitempty"`
	Layers      api.Layers `json:"layers,omitzero"`
	// Running and Waiting are the numbers of streams in the engine's batch and queue.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// LoadUnknown says that the report was forwarded without the server's load, so
	// that Running and Waiting mean nothing.
	LoadUnknown bool `json:"loadUnknown,omitempty"`
	Leaving     bool `json:"leaving,omitempty"`
	// LeaveBy is the wall time, since the Unix epoch, at which a leaving server
	// stops. 0 when the server gave none.
	LeaveBy Time `json:"leaveBy,omitempty"`
	// Witness is the VM that probed the server.
	Witness string `json:"witness"`
	// Age is how old the report was when it arrived.
	Age Time `json:"age,omitempty"`
}

// ServerProbeFailed reports that a VM's probe of a backend server got no answer.
type ServerProbeFailed struct {
	Server  string `json:"server"`
	Witness string `json:"witness"`
	// Refused says that the connection was refused, which proves that no process
	// is listening. Otherwise the probe timed out, which may be a network failure.
	Refused bool `json:"refused,omitempty"`
}

// ServerProbingStopped reports that this VM no longer probes a backend server. Its own
// earlier observations become stale and no longer count.
type ServerProbingStopped struct {
	Server string `json:"server"`
}

// ServerOpinion is another VM's opinion on a backend server's health. It replaces
// that VM's previous opinion, and a neutral one withdraws it.
type ServerOpinion struct {
	Witness string        `json:"witness"`
	Opinion fleet.Opinion `json:"opinion"`
}

// WitnessRemoved reports that a VM has left the membership. Its opinions are dropped.
type WitnessRemoved struct {
	Witness string `json:"witness"`
}

// VMsCounted reports the number of live VMs, including this one.
type VMsCounted struct {
	Live int `json:"live"`
}

// PlatformListed is the part of the platform's VM list that concerns backend
// servers. It may be outdated.
type PlatformListed struct {
	Servers []fleet.PlatformEntry `json:"servers"`
}

// FleetTick advances the time of the fleet's health evaluation, about once a second.
type FleetTick struct {
	// Wall is the wall clock's reading since the Unix epoch. It is used only for
	// leave deadlines, which are wall time. 0 when not known.
	Wall Time `json:"wall,omitempty"`
}

// ServerChanged reports a change of a backend server's health status.
type ServerChanged struct {
	Status fleet.Status `json:"status"`
}

// ServerRestarted reports that a backend server runs in a new process.
type ServerRestarted struct {
	Restart fleet.Restart `json:"restart"`
}

// PublishOpinion asks the VM to gossip its opinion on a backend server's health to
// the other VMs.
type PublishOpinion struct {
	Opinion fleet.Opinion `json:"opinion"`
}

// ProbeServer asks the VM to probe a backend server now: an attempt or another VM
// could not reach it, and only a probe of its own shows whether this VM can.
type ProbeServer struct {
	Server string `json:"server"`
}

var (
	_ = registerEvents(ServerObserved{}, ServerProbeFailed{}, ServerProbingStopped{}, ServerOpinion{}, WitnessRemoved{}, VMsCounted{}, PlatformListed{}, FleetTick{})
	_ = registerActions(ServerChanged{}, ServerRestarted{}, PublishOpinion{}, ProbeServer{})
)

// EventName implements Event.
func (ServerObserved) EventName() string { return "server_observed" }

// EventName implements Event.
func (ServerProbeFailed) EventName() string { return "server_silent" }

// EventName implements Event.
func (ServerProbingStopped) EventName() string { return "server_unwatched" }

// EventName implements Event.
func (ServerOpinion) EventName() string { return "server_opinion" }

// EventName implements Event.
func (WitnessRemoved) EventName() string { return "witness_gone" }

// EventName implements Event.
func (VMsCounted) EventName() string { return "vms_counted" }

// EventName implements Event.
func (PlatformListed) EventName() string { return "platform_listed" }

// EventName implements Event.
func (FleetTick) EventName() string { return "fleet_tick" }

// ActionName implements Action.
func (ServerChanged) ActionName() string { return "server_changed" }

// ActionName implements Action.
func (ServerRestarted) ActionName() string { return "server_restarted" }

// ActionName implements Action.
func (PublishOpinion) ActionName() string { return "spread_opinion" }

// ActionName implements Action.
func (ProbeServer) ActionName() string { return "probe_server" }
