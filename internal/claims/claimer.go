package claims

import (
	"context"
	"time"

	"oleandershunt.example/oleandershunt/internal/core"
	"oleandershunt.example/oleandershunt/internal/core/claim"
	"oleandershunt.example/oleandershunt/internal/core/lease"
	"oleandershunt.example/oleandershunt/internal/core/request"
)

// Claim obtains a decision for the core and posts it as core.ClaimDecided. It
// does not wait.
func (s *Service) Claim(message core.Claim) {
	op := claim.Op{
		Kind:    claim.OpClaim,
		Key:     claim.HashKey(message.Key),
		Body:    message.BodyHash,
		Request: claim.HashRequest(s.self.Incarnation, string(message.Request)),
		Origin:  claim.HashOrigin(s.self.Incarnation),
	}
	ctx, cancel := context.WithTimeout(s.ctx, patience)
	s.mu.Lock()
	s.pending[message.Request] = &claiming{op: op, cancel: cancel}
	s.mu.Unlock()
	s.running.Go(func() {
		defer cancel()
		s.obtain(ctx, message.Request, s.awaitShards(ctx, message), op)
	})
}

// awaitShards waits until the layout is known, which a VM that has just started
// learns from the platform. It returns none if that takes too long.
func (s *Service) awaitShards(ctx context.Context, message core.Claim) []string {
	for {
		if shards, ok := s.shardsOf(message); ok {
			s.mu.Lock()
			defer s.mu.Unlock()
			if known, ok := s.pending[message.Request]; ok {
				known.shards = shards
			}
			return shards
		}
		select {
		case <-time.After(retryPause):
		case <-ctx.Done():
			return nil
		}
	}
}

// shardsOf are the shards that must all grant a claim. There are two for some
// time after a change of the account's home: VMs learn of the change one after
// another, and any two of them ask at least one shard in common.
func (s *Service) shardsOf(message core.Claim) (shards []string, ok bool) {
	shard, ok := s.shardOf(message.Home, message.Key)
	if !ok {
		return nil, false
	}
	if message.FormerHome == "" || message.FormerHome == message.Home {
		return []string{shard}, true
	}
	former, ok := s.shardOf(message.FormerHome, message.Key)
	return []string{former, shard}, ok
}

// Settle tells the owner of a claim how the request ended. It does not wait.
func (s *Service) Settle(settled core.ClaimSettled) {
	s.mu.Lock()
	known, ok := s.pending[settled.Request]
	delete(s.pending, settled.Request)
	s.mu.Unlock()
	if !ok {
		return
	}
	known.cancel()
	kind := claim.OpMayHaveRun
	switch settled.Execution {
	case request.NotRun:
		kind = claim.OpFree
	case request.Ran:
		kind = claim.OpRan
	}
	s.settleAll(known.shards, known.op, kind)
}

// obtain asks the shards one after another until one doesn't grant, and posts
// the decision.
func (s *Service) obtain(ctx context.Context, id request.ID, shards []string, op claim.Op) {
	started := time.Now()
	decided := claim.Decided{Verdict: core.VerdictUndecided}
	var sent core.Time
	granted := 0
	for _, shard := range shards {
		decided, sent = s.decision(ctx, shard, op, claimCall)
		if decided.Verdict != core.VerdictGranted {
			break
		}
		granted++
	}
	s.metrics.decided(decided.Verdict, started)
	s.mu.Lock()
	_, wanted := s.pending[id]
	if decided.Verdict != core.VerdictGranted {
		delete(s.pending, id)
	}
	s.mu.Unlock()
	switch {
	case decided.Verdict == core.VerdictUndecided || !wanted:
		// An owner may have claimed the key for this request, and the answer was
		// lost or nobody waits for it any more. Nothing runs, so the key is freed:
		// otherwise the caller's next try would be told that it may have run.
		s.settleAll(shards, op, claim.OpFree)
	case decided.Verdict != core.VerdictGranted:
		s.settleAll(shards[:granted], op, claim.OpFree)
	}
	if wanted {
		s.post(id, decided.Verdict, sent+decided.ValidFor)
	}
}

func (s *Service) settleAll(shards []string, op claim.Op, kind claim.OpKind) {
	op.Kind = kind
	for _, shard := range shards {
		s.settle(settlement{shard: shard, op: op})
	}
}

func (s *Service) post(id request.ID, verdict core.Verdict, validUntil core.Time) {
	if verdict != core.VerdictGranted {
		validUntil = 0
	}
	s.loop.Post(core.ClaimDecided{Request: id, Verdict: verdict, ValidUntil: validUntil})
}

// decision asks the owner, whoever it is, until there is an answer. The call
// is the same each time, so that asking again after a lost answer is harmless.
// sent is when the call was made that was answered.
func (s *Service) decision(ctx context.Context, shard string, op claim.Op, kind call) (decided claim.Decided, sent core.Time) {
	h, ok := s.host(shard)
	if !ok {
		return claim.Decided{Verdict: core.VerdictUndecided}, 0
	}
	for refresh := false; ; refresh = true {
		h.post(ctx, wanted{refresh: refresh})
		sent = s.loop.Now()
		if decided, ok := s.ask(ctx, h, op, kind); ok {
			return decided, sent
		}
		select {
		case <-time.After(retryPause):
		case <-ctx.Done():
			return claim.Decided{Verdict: core.VerdictUndecided}, 0
		}
	}
}

// ask makes one try. False means that no owner has decided.
func (s *Service) ask(ctx context.Context, h *host, op claim.Op, kind call) (claim.Decided, bool) {
	seen := h.view.Load()
	if seen.owns {
		decided := kind.here(h, ctx, op)
		if decided.Verdict == core.VerdictUndecided && !h.view.Load().owns {
			return claim.Decided{}, false
		}
		return decided, true
	}
	asked := map[string]bool{s.self.Name: true}
	for next := s.likelyOwners(h, seen); len(next) > 0 && ctx.Err() == nil; {
		vm := next[0]
		next = next[1:]
		if vm == "" || asked[vm] {
			continue
		}
		asked[vm] = true
		answer, err := s.askOwner(ctx, vm, h.name, op, kind)
		switch {
		case err != nil:
		case answer.decided:
			return answer.Decided, true
		default:
			next = append([]string{answer.owner}, next...)
		}
	}
	return claim.Decided{}, false
}

// likelyOwners are the VMs to ask: the owner as this VM last read it, or, when
// the platform was down from the start, those that come first in the rank and
// may know the owner.
func (s *Service) likelyOwners(h *host, seen *view) []string {
	if seen.known {
		return []string{seen.owner.Name}
	}
	ranked := lease.Rank(h.name, h.home, s.live())
	names := make([]string, 0, claim.PollingRanks)
	for _, vm := range ranked[:min(claim.PollingRanks, len(ranked))] {
		names = append(names, vm.Name)
	}
	return names
}

// settle queues a word for the owner. When the queue is full the word is
// dropped: the key then stays claimed, and a repeat is told that it may have run.
func (s *Service) settle(word settlement) {
	select {
	case s.settles <- word:
	default:
		s.metrics.settlesDropped.Inc()
	}
}

func (s *Service) settleLoop() {
	for {
		select {
		case word := <-s.settles:
			s.deliver(word)
		case <-s.ctx.Done():
			return
		}
	}
}

// deliver tries for some seconds to tell the owner.
func (s *Service) deliver(word settlement) {
	h, ok := s.host(word.shard)
	for try := 0; ok && try < settleTries; try++ {
		h.post(s.ctx, wanted{refresh: try > 0})
		seen := h.view.Load()
		if seen.owns {
			h.post(s.ctx, claim.Settled{Op: word.op})
			return
		}
		if seen.known && seen.owner.Name != s.self.Name && s.tellOwner(s.ctx, seen.owner.Name, word.shard, word.op) {
			return
		}
		select {
		case <-time.After(settlePause):
		case <-s.ctx.Done():
			return
		}
	}
	s.metrics.settlesDropped.Inc()
}
