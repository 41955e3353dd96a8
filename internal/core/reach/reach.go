// Package reach decides how a VM connects to backend servers: directly, or through another VM while
// its own path is lost. The package does no I/O and reads no clock.
//
// A server that a VM can't connect to has either ended, or only the path to it is lost. The path is
// lost if another VM connects to the server. A VM that lost its paths to all servers of a service
// keeps serving its callers through other VMs, and must not report the servers as gone.
package reach

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// minLostPaths is the number of paths that must fail, without a successful connect since, for
	// all paths to count as lost.
	minLostPaths = 2
	// ProbeInterval is the time between two probes of lost paths.
	ProbeInterval = 200 * time.Millisecond
	// failureTTL is how long a failed path is remembered if no other VM connected to the server.
	failureTTL = 3 * time.Second
	// idleTTL is how long a path is remembered after its last connect.
	idleTTL = time.Minute
)

// Failure is how a connect failed.
type Failure int

const (
	// Silent means that there was no response.
	Silent Failure = iota
	// Refused means that the connect was rejected.
	Refused
)

// State is the state of a VM's paths to the servers of a service.
type State int

// The states, from the best to the worst.
const (
	// Direct means that no path is known to be lost.
	Direct State = iota
	// Partial means that the paths to some servers are lost, and other VMs reach them.
	Partial
	// Lost means that all paths are lost, and other VMs reach servers.
	Lost
	// Isolated means that all paths are lost, and no other VM is known to reach a server.
	Isolated
)

// String returns the state's name in logs.
func (s State) String() string {
	return [...]string{Direct: "direct", Partial: "partial", Lost: "lost", Isolated: "isolated"}[s]
}

// path is a VM's direct path to the server at an address.
type path struct {
	// connectedAt is when the latest direct connect succeeded; 0 for never.
	connectedAt time.Duration
	// failingSince is when the first direct connect failed after the latest success, and failedAt
	// when the latest one did. 0 if none failed.
	failingSince, failedAt time.Duration
	// failure is how the latest direct connect failed.
	failure Failure
	// relayed is set if another VM connected to the server since failingSince.
	relayed bool
	// probedAt is when the path was last probed.
	probedAt time.Duration
}

func (p *path) failing() bool { return p.failingSince > 0 }

// Table holds a VM's paths to the servers of one service, as far as it used them. Servers are
// identified by address.
type Table struct {
	paths map[string]*path
	// failing are the paths whose latest direct connect failed.
	failing map[string]*path
	// connectedAt is when the latest direct connect to one of the servers succeeded.
	connectedAt time.Duration
	// recovered is set once a failing path works again, until the others were probed.
	recovered bool
}

// New returns an empty table.
func New() *Table { return &Table{paths: make(map[string]*path), failing: make(map[string]*path)} }

func (t *Table) path(address string) *path {
	p, ok := t.paths[address]
	if !ok {
		p = &path{}
		t.paths[address] = p
	}
	return p
}

// Connected records a successful direct connect.
func (t *Table) Connected(now time.Duration, address string) {
	p := t.path(address)
	wasFailing := p.failing()
	*p = path{connectedAt: now}
	delete(t.failing, address)
	t.recovered = (t.recovered || wasFailing) && len(t.failing) > 0
	t.connectedAt = now
}

// Failed records a failed direct connect.
func (t *Table) Failed(now time.Duration, address string, failure Failure) {
	p := t.path(address)
	if !p.failing() {
		p.failingSince, p.relayed = now, false
	}
	p.failedAt, p.failure = now, failure
	t.failing[address] = p
	if t.AllFailing() {
		// One probe at a time speaks for all paths.
		for _, other := range t.failing {
			other.failedAt = now
		}
	}
}

// Relayed records that another VM connected to a server.
func (t *Table) Relayed(address string) {
	if p, failing := t.failing[address]; failing {
		p.relayed = true
	}
}

// NotRelayed records that no other VM connected to a server.
func (t *Table) NotRelayed(address string) {
	if p, failing := t.failing[address]; failing {
		p.relayed = false
	}
}

// Direct reports whether to connect to a server directly.
func (t *Table) Direct(address string) bool {
	if p, ok := t.failing[address]; ok && p.relayed {
		return false
	}
	return t.State() != Lost
}

// SilentlyLost reports whether the direct path to a server is lost and open connections get no
// response either.
func (t *Table) SilentlyLost(address string) bool {
	if p, failing := t.failing[address]; failing {
		return p.relayed && p.failure == Silent
	}
	if t.State() != Lost {
		return false
	}
	for _, p := range t.failing {
		if p.relayed && p.failure != Silent {
			return false
		}
	}
	return true
}

// AnySilentlyLost reports whether a path is lost whose open connections get no response.
func (t *Table) AnySilentlyLost() bool {
	for _, p := range t.failing {
		if p.relayed && p.failure == Silent {
			return true
		}
	}
	return false
}

// FailedRecently reports whether a direct connect failed a moment ago, so that another attempt
// would be pointless.
func (t *Table) FailedRecently(now time.Duration, address string) bool {
	p, failing := t.failing[address]
	return failing && now-p.failedAt < ProbeInterval
}

// AllFailing reports whether all recent direct connects failed, to more than one server if the VM
// used several.
func (t *Table) AllFailing() bool {
	failing := 0
	for _, p := range t.failing {
		if p.failingSince > t.connectedAt {
			failing++
		}
	}
	return failing > 0 && failing >= min(minLostPaths, len(t.paths))
}

// LostCount returns the number of servers that other VMs reach, but not this one directly.
func (t *Table) LostCount() int {
	lost := 0
	for _, p := range t.failing {
		if p.relayed {
			lost++
		}
	}
	return lost
}

// State returns the state of all paths.
func (t *Table) State() State {
	relayed := t.LostCount()
	switch all := t.AllFailing(); {
	case all && relayed > 0:
		return Lost
	case all:
		return Isolated
	case relayed > 0:
		return Partial
	default:
		return Direct
	}
}

// Failing returns the addresses of the servers whose direct paths fail, sorted.
func (t *Table) Failing() []string { return slices.Sorted(maps.Keys(t.failing)) }

// FailingSilently returns the addresses of those that don't respond, in contrast to a rejection.
func (t *Table) FailingSilently() []string {
	return slices.DeleteFunc(t.Failing(), func(address string) bool { return t.failing[address].failure != Silent })
}

// Control returns the address of another server, the one to which a direct connect succeeded last.
// A VM that is refused by one server and connects to another has not lost its paths. It returns
// false if no other server is known.
func (t *Table) Control(address string) (string, bool) {
	best := ""
	for other := range t.paths {
		if other != address && (best == "" || t.betterControl(other, best)) {
			best = other
		}
	}
	return best, best != ""
}

func (t *Table) betterControl(a, b string) bool {
	x, y := t.paths[a], t.paths[b]
	if x.failing() != y.failing() {
		return y.failing()
	}
	return cmp.Or(cmp.Compare(x.connectedAt, y.connectedAt), cmp.Compare(a, b)) > 0
}

// NextProbe returns when Probes has to be called next, or false if there is nothing to probe.
func (t *Table) NextProbe(now time.Duration) (time.Duration, bool) {
	latest, pending := time.Duration(0), false
	for _, p := range t.probed() {
		latest, pending = max(latest, p.probedAt), true
	}
	if pending && t.recovered {
		return now, true
	}
	return latest + ProbeInterval, pending
}

// Probes returns the addresses whose direct paths are to be probed now: the one probed longest ago,
// or all once a path works again. While all paths fail, a server that was reached before them is
// probed as well, since the failing ones may all have ended.
func (t *Table) Probes(now time.Duration) []string {
	candidates := t.probed()
	due := slices.SortedFunc(maps.Keys(candidates), func(a, b string) int {
		return cmp.Or(cmp.Compare(candidates[a].probedAt, candidates[b].probedAt), cmp.Compare(a, b))
	})
	if !t.recovered && len(due) > 1 {
		due = due[:1]
	}
	t.recovered = false
	for _, address := range due {
		candidates[address].probedAt = now
	}
	if control, ok := t.Control(""); ok && t.AllFailing() && !slices.Contains(due, control) {
		due = append(due, control)
	}
	return due
}

// probed returns the paths that are probed: the lost ones, and all failing ones if no path works.
func (t *Table) probed() map[string]*path {
	all := t.AllFailing()
	paths := make(map[string]*path)
	for address, p := range t.failing {
		if p.relayed || all {
			paths[address] = p
		}
	}
	return paths
}

// expired reports whether a path is to be forgotten: the server was not used for long, or has
// probably ended.
func expired(now time.Duration, p *path) bool {
	switch {
	case p.failing() && p.relayed:
		return false
	case p.failing():
		return now-p.failedAt > failureTTL
	default:
		return now-p.connectedAt > idleTTL
	}
}

// Empty reports whether no path is known.
func (t *Table) Empty() bool { return len(t.paths) == 0 }

// Forget removes the paths that expired and those to servers that are no longer registered.
func (t *Table) Forget(now time.Duration, registered func(address string) bool) {
	for address, p := range t.paths {
		if expired(now, p) || !registered(address) {
			delete(t.paths, address)
			delete(t.failing, address)
		}
	}
}
