package request_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/core/request"
)

// Guards against state transitions that make a request run twice, by claiming or
// queueing it after it was dispatched, or go on after its caller was refused.
func TestStateTransitionsAreOneWay(t *testing.T) {
	g := NewWithT(t)
	for _, state := range request.States() {
		g.Expect(request.Ended.CanTransitionTo(state)).To(BeFalse(), "ended to %s", state)
		if state != request.Ended {
			g.Expect(state.CanTransitionTo(request.Ended)).To(BeTrue(), "%s to ended", state)
		}
	}
	for _, from := range []request.State{request.Claiming, request.Dispatched, request.Resuming} {
		g.Expect(from.CanTransitionTo(request.Claiming)).To(BeFalse(), "%s to claiming", from)
		g.Expect(from.CanTransitionTo(request.Queued)).To(BeFalse(), "%s to queued", from)
	}
	r := request.Request{State: request.Ended}
	g.Expect(r.Transition(request.Dispatched)).To(BeFalse())
	g.Expect(r.State).To(Equal(request.Ended))
}

// Guards against a refusal with not_run for a request that ran: a later outcome
// that proves less must not hide what an earlier one proved. Tries every pair of
// outcomes.
func TestExecutionNeverWeakens(t *testing.T) {
	strength := map[request.Execution]int{request.NotRun: 0, request.MayHaveRun: 1, request.Ran: 2}
	outcomes := []request.Outcome{request.ProvenNotRun, request.Lost, request.Interrupted, request.BadReceipt}
	for _, first := range outcomes {
		for _, second := range outcomes {
			t.Run(fmt.Sprint(first, " then ", second), func(t *testing.T) {
				g := NewWithT(t)
				r := request.Request{Execution: request.NotRun}
				r.RecordOutcome(first, "s1", 0)
				before := r.Execution
				g.Expect(before == request.NotRun).To(Equal(first == request.ProvenNotRun))
				r.RecordOutcome(second, "s2", 0)
				g.Expect(strength[r.Execution]).To(BeNumerically(">=", strength[before]))
				g.Expect(r.MayRetry()).To(Equal(r.Execution == request.NotRun))
			})
		}
	}
}

// Guards against a retry storm that keeps overloaded servers down: every attempt
// fails for a minute, while 100 requests arrive a second, each with three
// retries.
func TestBudgetBoundsRetryStorm(t *testing.T) {
	g := NewWithT(t)
	budget := request.NewBudget(request.BudgetOptions{})
	const perSecond, inFlight, seconds = 100, 50, 60
	first, retried := 0, 0
	for i := range perSecond * seconds {
		now := time.Duration(i) * time.Second / perSecond
		budget.RecordFirstAttempt()
		first++
		for range 3 {
			if _, ok := budget.Spend(now, inFlight); ok {
				retried++
			}
		}
	}
	t.Logf("%d first attempts, %d retries of %d requested", first, retried, 3*first)
	// A fifth of the first attempts, five retries a second, and once the burst
	// and the requests in flight, each with what may be waited for.
	g.Expect(retried).To(BeNumerically("<", first/5+7*seconds+2*(64+inFlight)))
	g.Expect(retried).To(BeNumerically(">", first/5))
}

// Guards against a budget that counts only a fraction of new requests: half of
// 2,000 streams lose a stage at once, and all of them must be resumed.
func TestBudgetAllowsResumingAllStreamsOfLostServer(t *testing.T) {
	g := NewWithT(t)
	budget := request.NewBudget(request.BudgetOptions{})
	for range 1000 {
		wait, ok := budget.Spend(time.Second, 2000)
		g.Expect(ok).To(BeTrue())
		g.Expect(wait).To(BeZero())
	}
}
