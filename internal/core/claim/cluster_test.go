package claim_test

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"oleandershunt.example/oleandershunt/internal/core"
	"oleandershunt.example/oleandershunt/internal/core/claim"
	"oleandershunt.example/oleandershunt/internal/core/lease"
)

// cluster simulates a few VMs that share one shard, a platform, and the messages
// between them. It is driven by one command per line, so that a failing run can be
// kept as a script. Every message stays in flight until a command delivers or drops it.
type cluster struct {
	now          time.Duration
	names        []string
	vms          map[string]*vmProcess
	version      uint64
	head         claim.Head
	pages        map[string]claim.Page
	platformDown bool
	cut          map[string]bool
	messages     []message
	calls        uint64
	requests     map[string]*request
	byCall       map[uint64]string
	// peeks are the calls that ask whether a key is known. falseFree has the keys that
	// a peek reported as free although they had been dispatched before it was made.
	peeks     map[uint64]*peekCall
	falseFree []string
	peeksFree int
	// dispatches counts, by key, the requests that were sent to a backend server.
	dispatches        map[string]int
	granted           int
	owners            map[uint64]string
	grantedOnStandbys int
	standbyCount      int
	// delayedWriters are the VMs whose writes of the head are delayed: their sender
	// times out, and the writes reach the platform with the command deliver-delayed.
	delayedWriters map[string]bool
	delayedWrites  []message
	// markedDead are the VMs that are left out of the list of live VMs.
	markedDead map[string]bool
}

// vmProcess is one VM's process.
type vmProcess struct {
	self        lease.VM
	incarnation int
	shard       *claim.Shard
	paused      bool
	inbox       []claim.Event
}

// request is a caller's request on its entry VM.
type request struct {
	key, vm, state string
	op             claim.Op
	declined       bool
}

// message is a message in flight. deliver delivers it; onTimeout tells the sender
// that no answer came, while the message itself may still arrive.
type message struct {
	from, to  string
	deliver   func()
	onTimeout func()
}

// peekCall is a call that asks whether a key is known.
type peekCall struct {
	id, key, verdict string
	op               claim.Op
	// dispatchesBefore is how often the key had been dispatched when the call was made.
	dispatchesBefore int
}

const platformName = "platform"

func newCluster(names ...string) *cluster {
	c := &cluster{
		names:          names,
		vms:            make(map[string]*vmProcess),
		pages:          make(map[string]claim.Page),
		cut:            make(map[string]bool),
		requests:       make(map[string]*request),
		byCall:         make(map[uint64]string),
		peeks:          make(map[uint64]*peekCall),
		dispatches:     make(map[string]int),
		owners:         make(map[uint64]string),
		standbyCount:   2,
		delayedWriters: make(map[string]bool),
		markedDead:     make(map[string]bool),
	}
	for _, name := range names {
		c.vms[name] = &vmProcess{}
	}
	for _, name := range names {
		c.restart(name)
	}
	return c
}

func (c *cluster) restart(name string) {
	m := c.vms[name]
	m.incarnation++
	m.paused = false
	m.inbox = nil
	m.self = lease.VM{Name: name, DataCentre: "bornova", Incarnation: fmt.Sprintf("%s-%d", name, m.incarnation)}
	options := claim.Options{
		Shard: "bornova-0", Home: "bornova", Self: m.self,
		WriteInterval: 50 * time.Millisecond, LeaseDuration: 2 * time.Second, ClockError: 200 * time.Millisecond,
		OutageLimit: 20 * time.Second, Retention: time.Hour, ClaimTimeout: time.Second, GrantValidity: 5 * time.Second,
		SlowWriteThreshold: 200 * time.Millisecond, PollInterval: 250 * time.Millisecond, StandbyCount: c.standbyCount, PageOps: 4, MaxOps: 1000, MaxKeys: 1000,
	}
	m.shard = claim.New(options)
	c.sendLive()
}

func (c *cluster) sendLive() {
	var live []lease.VM
	for _, name := range c.names {
		if !c.markedDead[name] {
			live = append(live, c.vms[name].self)
		}
	}
	for _, name := range c.names {
		if c.vms[name].shard != nil {
			c.step(name, claim.LiveVMs{VMs: live})
		}
	}
}

func (c *cluster) step(name string, event claim.Event) {
	m := c.vms[name]
	if m.paused {
		m.inbox = append(m.inbox, event)
		return
	}
	for _, action := range m.shard.Step(c.now, event) {
		c.execute(name, action)
	}
}

// sender is one incarnation of a VM. Answers to its messages are dropped after a restart.
type sender struct {
	c           *cluster
	name        string
	incarnation int
}

func (s sender) deliver(event claim.Event) {
	if s.c.vms[s.name].incarnation == s.incarnation {
		s.c.step(s.name, event)
	}
}

// call sends a call. onTimeout is the event that the sender gets when no answer comes.
func (s sender) call(to string, call func() claim.Event, onTimeout claim.Event) {
	timeOut := func() {
		if onTimeout != nil {
			s.deliver(onTimeout)
		}
	}
	s.c.messages = append(s.c.messages, message{from: s.name, to: to, onTimeout: timeOut, deliver: func() {
		if answer := call(); answer != nil {
			s.c.messages = append(s.c.messages, message{from: to, to: s.name, onTimeout: timeOut, deliver: func() { s.deliver(answer) }})
		}
	}})
}

func (c *cluster) execute(name string, action claim.Action) {
	s := sender{c, name, c.vms[name].incarnation}
	switch a := action.(type) {
	case claim.Notice:
		if a.Kind == claim.NoticeOwned {
			c.owners[a.Epoch] = name
		}
	case claim.Decided:
		c.sendDecision(name, a)
	case claim.ReadHead:
		sent := c.now
		s.call(platformName, func() claim.Event {
			return claim.HeadRead{Sent: sent, Version: c.version, Head: c.head}
		}, claim.HeadRead{Sent: sent, Failed: true})
	case claim.WriteHead:
		s.call(platformName, func() claim.Event { return c.writeHead(a) }, claim.HeadWritten{Number: a.Number, Result: claim.ResultUnknown})
		if last := len(c.messages) - 1; c.delayedWriters[name] {
			c.delayedWrites = append(c.delayedWrites, c.messages[last])
			c.messages[last].deliver = c.messages[last].onTimeout
		}
	case claim.WritePage:
		s.call(platformName, func() claim.Event {
			c.pages[a.Ref.Name] = a.Page
			return claim.PageWritten{Ref: a.Ref, Result: claim.ResultDone}
		}, claim.PageWritten{Ref: a.Ref, Result: claim.ResultUnknown})
	case claim.ReadPages:
		s.call(platformName, func() claim.Event { return claim.PagesRead{Pages: maps.Clone(c.pages)} }, claim.PagesRead{Failed: true})
	case claim.DeletePage:
		s.call(platformName, func() claim.Event {
			delete(c.pages, a.Name)
			return nil
		}, nil)
	case claim.SendAppend:
		s.call(a.Append.Standby.Name, func() claim.Event { return c.appendOnStandby(a.Append) }, nil)
	}
}

// writeHead is the platform's conditional write.
func (c *cluster) writeHead(a claim.WriteHead) claim.Event {
	if a.IfVersion != c.version {
		return claim.HeadWritten{Number: a.Number, Result: claim.ResultConflict}
	}
	c.version++
	c.head = a.Head
	return claim.HeadWritten{Number: a.Number, Result: claim.ResultDone, Version: c.version}
}

// appendOnStandby returns a standby's reply to an owner's append.
func (c *cluster) appendOnStandby(a claim.Append) claim.Event {
	to := c.vms[a.Standby.Name]
	if to.paused {
		return nil
	}
	var reply claim.Event
	for _, action := range to.shard.Step(c.now, a) {
		answer, ok := action.(claim.AppendReply)
		if !ok {
			c.execute(a.Standby.Name, action)
			continue
		}
		reply = claim.Appended{Standby: a.Standby, Epoch: a.Epoch, Refused: answer.Refused, End: answer.End}
	}
	return reply
}

// sendDecision sends a verdict to the request's entry VM, which uses the first one it gets.
func (c *cluster) sendDecision(owner string, a claim.Decided) {
	if p, ok := c.peeks[a.Call]; ok {
		p.verdict = string(a.Verdict)
		if a.Verdict == core.VerdictFree {
			c.peeksFree++
		}
		if a.Verdict == core.VerdictFree && p.dispatchesBefore > 0 {
			c.falseFree = append(c.falseFree, p.key)
		}
		return
	}
	id := c.byCall[a.Call]
	r := c.requests[id]
	incarnation := c.vms[r.vm].incarnation
	c.messages = append(c.messages, message{from: owner, to: r.vm, deliver: func() {
		if r.state != "open" || c.vms[r.vm].incarnation != incarnation {
			return
		}
		r.state = string(a.Verdict)
		if a.Verdict != core.VerdictGranted {
			return
		}
		c.granted++
		if r.declined {
			r.state = "declined"
			return
		}
		c.dispatches[r.key]++
		if c.platformDown {
			c.grantedOnStandbys++
		}
	}})
}

// reachable reports whether a message can be delivered in the current state of the network.
func (c *cluster) reachable(m message) bool {
	if m.from == platformName || m.to == platformName {
		return !c.platformDown && !c.cut[m.from+platformName] && !c.cut[m.to+platformName]
	}
	return !c.cut[m.from+m.to] && !c.cut[m.to+m.from]
}

func (c *cluster) deliver(i int) {
	m := c.messages[i]
	c.messages = slices.Delete(c.messages, i, i+1)
	switch {
	case c.reachable(m):
		m.deliver()
	case m.onTimeout != nil:
		m.onTimeout()
	}
}

// sendClaim sends a request's claim to a VM as if that VM were the owner.
func (c *cluster) sendClaim(id, owner string) {
	if c.requests[id] == nil {
		return
	}
	c.calls++
	call := c.calls
	c.byCall[call] = id
	r := c.requests[id]
	c.messages = append(c.messages, message{from: r.vm, to: owner, deliver: func() {
		c.step(owner, claim.Requested{Call: call, Op: r.op})
	}})
}

// sendPeek asks a VM whether a key is known, as if that VM were the owner.
func (c *cluster) sendPeek(id, key, owner string) {
	c.calls++
	call := c.calls
	c.peeks[call] = &peekCall{id: id, key: key, verdict: "none", dispatchesBefore: c.dispatches[key], op: claim.Op{
		Kind: claim.OpClaim, Key: claim.HashKey(core.ClaimKey{Account: "growers", Key: key}), Body: 1,
		Request: claim.HashRequest("peek", id), Origin: claim.HashOrigin("peek"),
	}}
	op := c.peeks[call].op
	c.messages = append(c.messages, message{from: "peek", to: owner, deliver: func() { c.step(owner, claim.Peek{Call: call, Op: op}) }})
}

func (c *cluster) sendSettlement(id, owner, how string) {
	r := c.requests[id]
	if r == nil {
		return
	}
	op := r.op
	switch {
	case how == "ran" && r.state == string(core.VerdictGranted):
		op.Kind = claim.OpRan
	case how == "free" && r.state != string(core.VerdictGranted):
		// The entry VM reports "not run" only for a request that it will never dispatch.
		r.state = "declined"
		op.Kind = claim.OpFree
	default:
		return
	}
	c.messages = append(c.messages, message{from: r.vm, to: owner, deliver: func() { c.step(owner, claim.Settled{Op: op}) }})
}
