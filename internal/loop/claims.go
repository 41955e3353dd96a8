package loop

import (
	"oleandershunt.example/oleandershunt/internal/core"
)

// Claimer decides the core's claims for non-idempotent requests. Its methods are
// called by the loop's goroutine and must not block: they post the answer to the
// loop once it is known.
type Claimer interface {
	// Claim decides a claim and posts core.ClaimDecided.
	Claim(claim core.Claim)
	// Peek determines whether a key is known and posts core.ClaimPeeked.
	Peek(peek core.Peek)
	// Settle records how a claimed request ended.
	Settle(settled core.ClaimSettled)
}

// HandleClaims passes the core's claims to a claimer. It must be called before Run.
func (l *Loop) HandleClaims(claimer Claimer) {
	l.Handle(func(action core.Action) {
		switch a := action.(type) {
		case core.Claim:
			claimer.Claim(a)
		case core.Peek:
			claimer.Peek(a)
		case core.ClaimSettled:
			claimer.Settle(a)
		}
	})
}
