// Package poison detects request bodies that crash the backend servers that run
// them. After a crash, all bodies that were running on the server are suspects. Only
// further crashes narrow them down, so that innocent requests of the same batch are
// suspected for a while but not refused.
package poison

import (
	"cmp"
	"container/list"
	"time"
)

// Body identifies the content of a request. The same content with another
// idempotency key is the same suspect.
type Body struct {
	Account string
	// Pipeline is the pipeline, or the route if the service has no pipeline.
	Pipeline string
	// Hash is the hash of the request's body; 0 if unknown.
	Hash uint64
}

// Level is the restriction on running a body.
type Level int

// The levels, from the least to the most restrictive.
const (
	// Clear: no crash is attributed to the body.
	Clear Level = iota
	// Suspect: it was running on one server that crashed. One request at a time may
	// run.
	Suspect
	// Isolate: it was running on several servers that crashed, but so were other
	// suspects. It may run on servers that run no other isolated body.
	Isolate
	// Blocked: it is the only body that explains the crashes. It may not run.
	Blocked
)

// Options are the settings of a Table. A zero field takes its default.
type Options struct {
	// SuspectTime is how long a crash counts against a body. Default 10 minutes.
	SuspectTime time.Duration `json:"suspectTime,omitempty"`
	// CondemnedTime is how long a blocked body is refused. Default 1 hour.
	CondemnedTime time.Duration `json:"condemnedTime,omitempty"`
	// Bodies is the maximum number of bodies in the table. Default 4096.
	Bodies int `json:"bodies,omitempty"`
}

const (
	defaultSuspectTime   = 10 * time.Minute
	defaultCondemnedTime = time.Hour
	defaultBodies        = 4096
	// crashesToBlock is the number of crashes after which a body that alone explains
	// them is blocked even if it made progress in between.
	crashesToBlock = 3
	// crashesToIsolate is the number of crashes after which a body may not run
	// together with others.
	crashesToIsolate = 2
	// MinProgressTokens is the number of tokens that a request must deliver beyond
	// the position of its last crash for that crash to be attributed to another
	// request.
	MinProgressTokens = 16
)

// Finding is the evidence against a body.
type Finding struct {
	Body
	Crashes int
	Blocked bool
	// Unproven is set if the crash is not proven: only a connection was lost.
	Unproven bool
	// Server is the backend server of the last crash, and Incarnation its process;
	// 0 if unknown.
	Server      string
	Incarnation uint64
	// At is the time of the last crash.
	At time.Duration
	// crashSites are the processes that crashed.
	crashSites map[crashSite]bool
}

// Table holds the findings of one VM and those received from other VMs. It is not
// safe for concurrent use.
type Table struct {
	options Options
	bodies  map[Body]*list.Element
	// order contains the findings by the time of their last change, oldest first.
	order   list.List
	crashes map[string]*crash
	// pendingCrashes counts, by body, the unevaluated crashes of servers that ran it.
	pendingCrashes map[Body]int
	// pendingBlocks are the blocks that wait for findings of other VMs.
	pendingBlocks map[Body]pendingBlock
	// remoteLosses are the unproven losses reported by other VMs, with their expiry.
	remoteLosses map[Body]map[crashSite]time.Duration
	// incarnations maps each backend server to its last reported incarnation.
	incarnations map[string]uint64
}

// New returns an empty table.
func New(options Options) *Table {
	if options.SuspectTime <= 0 {
		options.SuspectTime = defaultSuspectTime
	}
	if options.CondemnedTime <= 0 {
		options.CondemnedTime = defaultCondemnedTime
	}
	if options.Bodies <= 0 {
		options.Bodies = defaultBodies
	}
	return &Table{
		options:        options,
		bodies:         make(map[Body]*list.Element),
		crashes:        make(map[string]*crash),
		pendingCrashes: make(map[Body]int),
		incarnations:   make(map[string]uint64),

		pendingBlocks: make(map[Body]pendingBlock),
		remoteLosses:  make(map[Body]map[crashSite]time.Duration),
	}
}

// Len returns the number of bodies in the table.
func (t *Table) Len() int { return t.order.Len() }

// Level returns the current restriction on a body.
func (t *Table) Level(now time.Duration, body Body) Level {
	if body.Hash == 0 {
		return Clear
	}
	finding := t.find(now, body)
	crashes := t.provenCrashes(now, body) + t.remoteLossCount(body)
	switch {
	case finding != nil && finding.Blocked:
		return Blocked
	case crashes >= crashesToIsolate:
		return Isolate
	case crashes > 0:
		return Suspect
	default:
		return Clear
	}
}

// ClearSuspicion clears a body that ran to completion. A blocked body stays blocked:
// it can't have run on this VM since, so the run is an earlier one that ended late.
func (t *Table) ClearSuspicion(body Body) {
	element, ok := t.bodies[body]
	if ok && !element.Value.(*Finding).Blocked {
		t.remove(element)
	}
	delete(t.remoteLosses, body)
}

// ClearSuspicionAndLosses is ClearSuspicion that also discards unevaluated losses of
// the body. A body that is requested very often runs on every server that crashes;
// that it completes is the one thing that a body which crashes servers can't do.
func (t *Table) ClearSuspicionAndLosses(body Body) {
	t.ClearSuspicion(body)
	if t.pendingCrashes[body] == 0 {
		return
	}
	for _, c := range t.crashes {
		delete(c.bodies, body)
	}
	delete(t.pendingCrashes, body)
}

// MergeFinding merges a finding of another VM. The crashes of several VMs are the
// union of the crashed processes, and at least as many as any single VM counted, so
// the result doesn't depend on the order of arrival. It reports whether the finding
// newly blocks the body.
func (t *Table) MergeFinding(now time.Duration, learned Finding) bool {
	if learned.Hash == 0 || t.expired(now, &learned) {
		return false
	}
	if learned.Unproven {
		t.addRemoteLoss(now, learned)
		return false
	}
	t.removeRemoteLoss(learned)
	t.cancelConflictingBlocks(learned)
	finding := t.find(now, learned.Body)
	if finding == nil {
		finding = t.add(learned.Body)
	}
	newly := learned.Blocked && !finding.Blocked
	finding.addCrashSite(crashSiteOf(learned.Server, learned.Incarnation))
	finding.Crashes = max(finding.Crashes, learned.Crashes, len(finding.crashSites))
	finding.Blocked = finding.Blocked || learned.Blocked
	if learned.At >= finding.At {
		finding.At, finding.Server, finding.Incarnation = learned.At, learned.Server, learned.Incarnation
	}
	t.order.MoveToBack(t.bodies[learned.Body])
	t.awaitRemoteDecision(now, learned)
	return newly
}

// Findings returns the findings that count, the last changed first, up to a limit.
func (t *Table) Findings(now time.Duration, limit int) []Finding {
	var findings []Finding
	for element := t.order.Back(); element != nil && len(findings) < limit; element = element.Prev() {
		if finding := element.Value.(*Finding); !t.expired(now, finding) {
			findings = append(findings, *finding)
		}
	}
	return findings
}

// CompareBodies defines an order on bodies, so that decisions about several bodies
// are the same in each replay.
func CompareBodies(a, b Body) int {
	return cmp.Or(cmp.Compare(a.Account, b.Account), cmp.Compare(a.Pipeline, b.Pipeline), cmp.Compare(a.Hash, b.Hash))
}

// addCrash counts one more crash against a body, unless another VM has reported the
// same crash.
func (t *Table) addCrash(now time.Duration, server string, incarnation uint64, body Body) *Finding {
	finding := t.find(now, body)
	if finding == nil {
		finding = t.add(body)
	}
	if finding.addCrashSite(crashSiteOf(server, incarnation)) {
		finding.Crashes++
	}
	finding.At, finding.Server, finding.Incarnation = now, server, incarnation
	t.order.MoveToBack(t.bodies[body])
	return finding
}

func (t *Table) find(now time.Duration, body Body) *Finding {
	element, ok := t.bodies[body]
	if !ok {
		return nil
	}
	finding := element.Value.(*Finding)
	if t.expired(now, finding) {
		t.remove(element)
		return nil
	}
	return finding
}

func (t *Table) expired(now time.Duration, finding *Finding) bool {
	if finding.Blocked {
		return now-finding.At >= t.options.CondemnedTime
	}
	return now-finding.At >= t.options.SuspectTime
}

// add inserts a finding. A full table evicts the oldest finding that isn't blocked,
// and only if all are blocked the oldest of them. Otherwise the loss of a rack,
// which makes thousands of bodies suspects, would let a blocked body run again.
func (t *Table) add(body Body) *Finding {
	if t.order.Len() >= t.options.Bodies {
		t.remove(t.evictionCandidate())
	}
	finding := &Finding{Body: body}
	t.bodies[body] = t.order.PushBack(finding)
	return finding
}

func (t *Table) evictionCandidate() *list.Element {
	for element := t.order.Front(); element != nil; element = element.Next() {
		if !element.Value.(*Finding).Blocked {
			return element
		}
	}
	return t.order.Front()
}

func (t *Table) remove(element *list.Element) {
	delete(t.bodies, element.Value.(*Finding).Body)
	delete(t.pendingBlocks, element.Value.(*Finding).Body)
	t.order.Remove(element)
}
