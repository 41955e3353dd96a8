// Package fleet decides which VMs and backend servers are usable. It combines
// evidence of different reliability: the configuration, the platform's list (which
// lags behind), this VM's own probes and requests, and reports from other VMs. It
// does no I/O and reads no clock.
package fleet

import "time"

// State is the health state of a VM or a backend server.
type State string

// The states.
const (
	// Live: no evidence against it.
	Live State = "live"
	// Suspect: at least one VM can't reach it, but too few to declare it Gone.
	Suspect State = "suspect"
	// Leaving: it is draining. It gets no new work and finishes what it has.
	Leaving State = "leaving"
	// Gone: enough witnesses can't reach it.
	Gone State = "gone"
)

// Reachability is the latest result of contacting a backend server from one VM.
type Reachability string

// The reachability values. ReachabilityUnknown also stands for an opinion that was
// withdrawn.
const (
	ReachabilityUnknown Reachability = ""
	Reachable           Reachability = "up"
	// Unresponsive: a timeout or a broken connection. The link may be at fault.
	Unresponsive Reachability = "silent"
	// ConnectionRefused proves that no process listens at the server.
	ConnectionRefused Reachability = "refused"
)

// Opinion is one VM's view of a backend server, sent to the other VMs. It is only
// gossiped while it is not neutral, that is while the server is unreachable or
// leaving.
type Opinion struct {
	Server string `json:"server"`
	// Incarnation is the newest process of the server that the VM knows; 0 if none.
	Incarnation uint64       `json:"incarnation,omitempty"`
	Reach       Reachability `json:"reach,omitempty"`
	// Leaving is set if the server itself or the platform's list says that the
	// server is leaving.
	Leaving bool `json:"leaving,omitempty"`
}

// Neutral reports whether the opinion contains nothing against the server.
func (o Opinion) Neutral() bool { return !o.Leaving && !o.Reach.down() }

func (r Reachability) down() bool { return r == Unresponsive || r == ConnectionRefused }

// Source is the kind of a piece of evidence.
type Source string

// The sources of evidence.
const (
	SourceRecord         Source = "record"
	SourcePlatformList   Source = "platform_list"
	SourceReport         Source = "own_report"
	SourceUnresponsive   Source = "no_answer"
	SourceRefused        Source = "connection_refused"
	SourceFlapping       Source = "flapping"
	SourceFailedRequests Source = "requests_failed"
)

// Evidence is one reason for a state.
type Evidence struct {
	Source Source `json:"source"`
	// Witness is the VM that observed it. Empty for a record.
	Witness string `json:"witness,omitempty"`
}

// Record is a backend server's entry in the active configuration.
type Record struct {
	Name       string
	DataCentre string
	Leaving    bool
}

// Status is the health of one backend server as this VM sees it.
type Status struct {
	Server string `json:"server"`
	State  State  `json:"state"`
	// Since is when the state was entered, on this VM's clock.
	Since time.Duration `json:"since"`
	// Evidence lists every reason for the state, sorted.
	Evidence []Evidence `json:"evidence,omitempty"`
	// Incarnation is the newest known process of the server; 0 if none.
	Incarnation uint64 `json:"incarnation,omitempty"`
	// Eligible is set if this VM may send the server new work. It can differ between
	// VMs: a VM that can't reach a server doesn't use it, although the server is
	// live for the others.
	Eligible bool `json:"eligible"`
	// Unreachable is set if this VM itself can't reach the server.
	Unreachable bool `json:"unreachable,omitempty"`
}

// Restart is a change of the process at a backend server. Unless the server was
// leaving, it is evidence of a crash.
type Restart struct {
	Server string `json:"server"`
	Before uint64 `json:"before"`
	After  uint64 `json:"after"`
	// Planned is set if the earlier process was leaving.
	Planned bool `json:"planned,omitempty"`
}

// PlatformEntry is an entry of the platform's list, which lags behind the real state.
type PlatformEntry struct {
	Name    string `json:"name"`
	Leaving bool   `json:"leaving,omitempty"`
}

// Options are the thresholds of a View.
type Options struct {
	// Self is this VM's name.
	Self string
	// FailureThreshold is the number of consecutive failures after which this VM
	// treats a server as unresponsive.
	FailureThreshold int
	// MinWitnesses is the number of VMs that must be unable to reach a server before
	// a VM without a recent success of its own declares it Gone.
	MinWitnesses int
	// SuccessTTL is how long this VM's own success outweighs the reports of other
	// VMs.
	SuccessTTL time.Duration
	// FlapDecay is the time after which the flap count of a link drops by one.
	FlapDecay time.Duration
	// RequestFailureThreshold is the number of consecutive requests that must fail
	// on a server, even if its probes succeed, before this VM pauses its use.
	RequestFailureThreshold int
	// PauseDuration is the length of that pause. Afterwards requests try the server
	// again.
	PauseDuration time.Duration
}

// DefaultOptions returns the default thresholds.
func DefaultOptions(self string) Options {
	return Options{
		Self:                    self,
		FailureThreshold:        2,
		MinWitnesses:            2,
		SuccessTTL:              10 * time.Second,
		FlapDecay:               10 * time.Second,
		RequestFailureThreshold: 3,
		PauseDuration:           5 * time.Second,
	}
}
