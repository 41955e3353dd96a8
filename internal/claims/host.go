package claims

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"oleandershunt.example/oleandershunt/internal/core"
	"oleandershunt.example/oleandershunt/internal/core/claim"
	"oleandershunt.example/oleandershunt/internal/core/lease"
)

// eventCapacity bounds the events that wait for a shard.
const eventCapacity = 4096

// answerCapacity is the answers that one event can give to a waiting call.
const answerCapacity = 1

// host runs one shard on this VM: a goroutine takes events one at a time, and
// carries out the actions without waiting for them.
type host struct {
	service *Service
	name    string
	home    string
	events  chan claim.Event
	view    atomic.Pointer[view]

	mu      sync.Mutex
	calls   uint64
	claims  map[uint64]chan claim.Decided
	appends map[uint64]chan claim.AppendReply
}

// view is what other goroutines may know of a shard.
type view struct {
	owner lease.VM
	known bool
	// owns tells whether this VM decides keys; holds stays true while it hands over.
	owns  bool
	holds bool
	keys  int
}

// wanted is an event of the host's own: this VM has a claim for the shard.
type wanted struct {
	claim.Tick
	// refresh asks for a look at the head at once.
	refresh bool
}

func newHost(service *Service, name, home string) *host {
	h := &host{
		service: service,
		name:    name,
		home:    home,
		events:  make(chan claim.Event, eventCapacity),
		claims:  make(map[uint64]chan claim.Decided),
		appends: make(map[uint64]chan claim.AppendReply),
	}
	h.view.Store(&view{})
	return h
}

// run steps the shard until ctx ends.
func (h *host) run(ctx context.Context, options claim.Options) {
	shard := claim.New(options)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		var event claim.Event = claim.Tick{}
		select {
		case event = <-h.events:
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		now := h.service.now()
		if want, ok := event.(wanted); ok {
			shard.RecordDemand(now, want.refresh)
			event = want.Tick
		}
		actions := shard.Step(now, event)
		owner, known := shard.Owner()
		h.view.Store(&view{owner: owner, known: known, owns: shard.Owns(), holds: shard.OwnsOrReleasing(), keys: shard.Keys()})
		for _, action := range actions {
			h.carryOut(ctx, action)
		}
		timer.Reset(max(shard.NextTick(now)-h.service.now(), time.Millisecond))
	}
}

// post queues an event; it gives up when ctx ends.
func (h *host) post(ctx context.Context, event claim.Event) bool {
	select {
	case h.events <- event:
		return true
	case <-ctx.Done():
		return false
	}
}

// claim asks this VM's shard, which should be the owner, for a grant.
func (h *host) claim(ctx context.Context, op claim.Op) claim.Decided {
	return h.decide(ctx, func(call uint64) claim.Event { return claim.Requested{Call: call, Op: op} })
}

// peek asks this VM's shard, which should be the owner, whether a key is known.
func (h *host) peek(ctx context.Context, op claim.Op) claim.Decided {
	return h.decide(ctx, func(call uint64) claim.Event { return claim.Peek{Call: call, Op: op} })
}

// decide waits for the answer to a call.
func (h *host) decide(ctx context.Context, event func(call uint64) claim.Event) claim.Decided {
	answer := make(chan claim.Decided, answerCapacity)
	call := register(h, h.claims, answer)
	defer unregister(h, h.claims, call)
	undecided := claim.Decided{Verdict: core.VerdictUndecided}
	if !h.post(ctx, event(call)) {
		return undecided
	}
	select {
	case decided := <-answer:
		return decided
	case <-ctx.Done():
		return undecided
	}
}

// hold asks this VM's shard to hold ops as a standby.
func (h *host) hold(ctx context.Context, request claim.Append) claim.AppendReply {
	answer := make(chan claim.AppendReply, answerCapacity)
	request.Call = register(h, h.appends, answer)
	defer unregister(h, h.appends, request.Call)
	refused := claim.AppendReply{Refused: true}
	if !h.post(ctx, request) {
		return refused
	}
	select {
	case reply := <-answer:
		return reply
	case <-ctx.Done():
		return refused
	}
}

func register[T any](h *host, calls map[uint64]chan T, answer chan T) uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.calls++
	calls[h.calls] = answer
	return h.calls
}

func unregister[T any](h *host, calls map[uint64]chan T, call uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(calls, call)
}

// answer passes a call's only answer on, if it is still awaited.
func answer[T any](h *host, calls map[uint64]chan T, call uint64, value T) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if waiting, ok := calls[call]; ok {
		waiting <- value
		delete(calls, call)
	}
}

func (h *host) carryOut(ctx context.Context, action claim.Action) {
	switch a := action.(type) {
	case claim.Decided:
		answer(h, h.claims, a.Call, a)
	case claim.AppendReply:
		answer(h, h.appends, a.Call, a)
	case claim.Notice:
		h.service.note(h.name, a)
	case claim.ReadHead:
		go h.post(ctx, h.service.readHead(ctx, h.name))
	case claim.WriteHead:
		go h.post(ctx, h.service.writeHead(ctx, h.name, a))
	case claim.ReadPages:
		go h.post(ctx, h.service.readPages(ctx, a.Names))
	case claim.WritePage:
		go h.post(ctx, h.service.writePage(ctx, a))
	case claim.DeletePage:
		go h.service.deletePage(ctx, a.Name)
	case claim.SendAppend:
		go h.sendAppend(ctx, a.Append)
	}
}

// sendAppend asks a standby. Without an answer nothing is posted: the shard
// asks again, and a standby that doesn't answer holds back the claims.
func (h *host) sendAppend(ctx context.Context, request claim.Append) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	reply, err := h.service.append(ctx, h.name, request)
	if err != nil {
		return
	}
	h.post(ctx, claim.Appended{Standby: request.Standby, Epoch: request.Epoch, Refused: reply.Refused, End: reply.End})
}
