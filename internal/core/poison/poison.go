// Package poison finds the bodies that crash the backend servers which run
// them. A crash makes suspects of all bodies that were on the server; only
// another crash narrows them down, so that a request's innocent neighbours in
// a batch are suspected for a while but not refused.
package poison

import (
	"cmp"
	"container/list"
	"time"
)

// Body identifies what a request asks: the same body under another idempotency
// key is the same suspect.
type Body struct {
	Account string
	// Pipeline is the pipeline, or the route of a plain service.
	Pipeline string
	// Hash is the hash of the request's body. 0 means unknown.
	Hash uint64
}

// Level is how a body is to be treated.
type Level int

// The levels, in order of suspicion.
const (
	// Clear: nothing is held against the body.
	Clear Level = iota
	// Suspect: it was on one server that crashed. One at a time may run.
	Suspect
	// Isolate: it was on several, and is not the only one that could be to
	// blame. It may run on servers that run no other isolated body.
	Isolate
	// Condemned: it alone explains the crashes. It may not run.
	Condemned
)

// Options are the settings of a Table. A zero field takes its default.
type Options struct {
	// SuspectTime is how long a crash is held against a body. Default 10 minutes.
	SuspectTime time.Duration `json:"suspectTime,omitempty"`
	// CondemnedTime is how long a condemned body is refused. Default 1 hour.
	CondemnedTime time.Duration `json:"condemnedTime,omitempty"`
	// Bodies bounds the bodies held. Default 4096.
	Bodies int `json:"bodies,omitempty"`
}

const (
	defaultSuspectTime   = 10 * time.Minute
	defaultCondemnedTime = time.Hour
	defaultBodies        = 4096
	// crashesToCondemn is the crashes after which a body that alone explains
	// them is condemned even if it made progress in between.
	crashesToCondemn = 3
	// crashesToIsolate is the crashes after which a body may not run with others.
	crashesToIsolate = 2
	// ProgressTokens is the tokens which a request delivers past the place of
	// its last crash before that crash counts as another's.
	ProgressTokens = 16
)

// Finding is what is held against a body.
type Finding struct {
	Body
	Crashes   int
	Condemned bool
	// Suspected says that the crash is not proven: a connection was lost.
	Suspected bool
	// Server is the backend server of the last crash, and Incarnation the
	// process that was lost there. 0 means not known.
	Server      string
	Incarnation uint64
	// At is the time of the last crash.
	At time.Duration
	// places are the processes that crashed.
	places map[place]bool
}

// Table holds the findings of one VM and those that it learned from others. It
// is not safe for concurrent use.
type Table struct {
	options Options
	bodies  map[Body]*list.Element
	// order has the findings in order of their last change, the oldest first.
	order   list.List
	crashes map[string]*crash
	// pending counts the crashes in progress at which a body was on the server.
	pending map[Body]int
	// verdicts are the condemnations that wait for a word from other VMs.
	verdicts map[Body]verdict
	// elsewhere are the losses that other VMs know of and that are not proven.
	elsewhere map[Body]map[place]time.Duration
	// seen is the incarnation that each backend server last reported.
	seen map[string]uint64
}

// New makes an empty table.
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
		options: options,
		bodies:  make(map[Body]*list.Element),
		crashes: make(map[string]*crash),
		pending: make(map[Body]int),
		seen:    make(map[string]uint64),

		verdicts:  make(map[Body]verdict),
		elsewhere: make(map[Body]map[place]time.Duration),
	}
}

// Len is the number of bodies held.
func (t *Table) Len() int { return t.order.Len() }

// Level tells how a body is to be treated now.
func (t *Table) Level(now time.Duration, body Body) Level {
	if body.Hash == 0 {
		return Clear
	}
	finding := t.find(now, body)
	crashes := t.count(now, body) + t.lostElsewhere(body)
	switch {
	case finding != nil && finding.Condemned:
		return Condemned
	case crashes >= crashesToIsolate:
		return Isolate
	case crashes > 0:
		return Suspect
	default:
		return Clear
	}
}

// Acquit clears a body that ran to its end. A condemned one stays condemned:
// it does not run here, so the run is an earlier one that ended late.
func (t *Table) Acquit(body Body) {
	element, ok := t.bodies[body]
	if ok && !element.Value.(*Finding).Condemned {
		t.drop(element)
	}
	delete(t.elsewhere, body)
}

// Cleared is Acquit for a body that ran well while losses of it wait for judgement:
// what many ask for again and again is on every server that crashes, and it is the
// one thing that a body which crashes servers can't do.
func (t *Table) Cleared(body Body) {
	t.Acquit(body)
	if t.pending[body] == 0 {
		return
	}
	for _, c := range t.crashes {
		delete(c.bodies, body)
	}
	delete(t.pending, body)
}

// Learn takes another VM's finding. The crashes of several VMs are the union of
// the processes that they lost, and never fewer than one VM counted, so that the
// order in which word arrives makes no difference. It returns whether the body
// is condemned by it.
func (t *Table) Learn(now time.Duration, learned Finding) bool {
	if learned.Hash == 0 || t.expired(now, &learned) {
		return false
	}
	if learned.Suspected {
		t.suspectElsewhere(now, learned)
		return false
	}
	t.settleElsewhere(learned)
	t.share(learned)
	finding := t.find(now, learned.Body)
	if finding == nil {
		finding = t.add(learned.Body)
	}
	newly := learned.Condemned && !finding.Condemned
	finding.crashedAt(placeOf(learned.Server, learned.Incarnation))
	finding.Crashes = max(finding.Crashes, learned.Crashes, len(finding.places))
	finding.Condemned = finding.Condemned || learned.Condemned
	if learned.At >= finding.At {
		finding.At, finding.Server, finding.Incarnation = learned.At, learned.Server, learned.Incarnation
	}
	t.order.MoveToBack(t.bodies[learned.Body])
	t.awaitVerdict(now, learned)
	return newly
}

// CompareBodies orders bodies, so that decisions about several are the same on each replay.
func CompareBodies(a, b Body) int {
	return cmp.Or(cmp.Compare(a.Account, b.Account), cmp.Compare(a.Pipeline, b.Pipeline), cmp.Compare(a.Hash, b.Hash))
}

// hold counts one more crash against a body, unless another VM told of the same.
func (t *Table) hold(now time.Duration, server string, incarnation uint64, body Body) *Finding {
	finding := t.find(now, body)
	if finding == nil {
		finding = t.add(body)
	}
	if finding.crashedAt(placeOf(server, incarnation)) {
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
		t.drop(element)
		return nil
	}
	return finding
}

func (t *Table) expired(now time.Duration, finding *Finding) bool {
	if finding.Condemned {
		return now-finding.At >= t.options.CondemnedTime
	}
	return now-finding.At >= t.options.SuspectTime
}

// add makes room by forgetting the oldest finding that condemns nobody, and
// only then the oldest of all: otherwise a rack's loss, which makes suspects of
// thousands, would let a condemned body run again.
func (t *Table) add(body Body) *Finding {
	if t.order.Len() >= t.options.Bodies {
		t.drop(t.leastNeeded())
	}
	finding := &Finding{Body: body}
	t.bodies[body] = t.order.PushBack(finding)
	return finding
}

func (t *Table) leastNeeded() *list.Element {
	for element := t.order.Front(); element != nil; element = element.Next() {
		if !element.Value.(*Finding).Condemned {
			return element
		}
	}
	return t.order.Front()
}

func (t *Table) drop(element *list.Element) {
	delete(t.bodies, element.Value.(*Finding).Body)
	delete(t.verdicts, element.Value.(*Finding).Body)
	t.order.Remove(element)
}
