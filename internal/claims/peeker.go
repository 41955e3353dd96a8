package claims

import (
	"context"
	"time"

	"oleandershunt.example/oleandershunt/internal/core"
	"oleandershunt.example/oleandershunt/internal/core/claim"
	"oleandershunt.example/oleandershunt/internal/peer/gen/peer/claims/v1/claimsv1connect"
)

// peekPatience is how long an owner is looked for and awaited. It is shorter
// than the time that the core holds a refusal back.
const peekPatience = 180 * time.Millisecond

// call is a kind of question to a shard's owner: how this VM's shard is asked,
// and how another VM's.
type call struct {
	here  func(h *host, ctx context.Context, op claim.Op) claim.Decided
	there func(ctx context.Context, client claimsv1connect.ClaimServiceClient, shard string, op claim.Op) (ownerAnswer, error)
}

var (
	claimCall = call{here: (*host).claim, there: callClaim}
	peekCall  = call{here: (*host).peek, there: callPeek}
)

// Peek finds out whether a key is known, without claiming it, and posts
// core.ClaimPeeked. It does not wait.
func (s *Service) Peek(message core.Peek) {
	s.running.Go(func() {
		ctx, cancel := context.WithTimeout(s.ctx, peekPatience)
		defer cancel()
		verdict := s.look(ctx, message)
		s.metrics.peeked(verdict)
		s.loop.Post(core.ClaimPeeked{Request: message.Request, Verdict: verdict})
	})
}

// look asks every shard that must grant the key. It is free when all say so: a
// request was granted by each of its shards, and VMs that are one release apart
// ask at least one in common.
func (s *Service) look(ctx context.Context, message core.Peek) core.Verdict {
	shards, ok := s.shardsOf(core.Claim{Key: message.Key, Home: message.Home, FormerHome: message.FormerHome})
	if !ok {
		return core.VerdictUndecided
	}
	op := claim.Op{
		Kind:    claim.OpClaim,
		Key:     claim.HashKey(message.Key),
		Body:    message.BodyHash,
		Request: claim.HashRequest(s.self.Incarnation, string(message.Request)),
		Origin:  claim.HashOrigin(s.self.Incarnation),
	}
	verdict := core.VerdictFree
	for _, shard := range shards {
		found, _ := s.decision(ctx, shard, op, peekCall)
		switch found.Verdict {
		case core.VerdictFree:
		case core.VerdictRan, core.VerdictRunning, core.VerdictMayHaveRun, core.VerdictBodyDiffers:
			return found.Verdict
		default:
			verdict = core.VerdictUndecided
		}
	}
	return verdict
}
