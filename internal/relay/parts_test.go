package relay

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/core/budget"
	"oleandershunt.example/oleandershunt/internal/core/demand"
	"oleandershunt.example/oleandershunt/internal/core/tally"
)

// Guards against a VM that takes its part of the demand for all of it: a hub's answer has the requests of
// the retry budget's window as one sum, without their ages. The VM then expected other VMs to add nothing to
// servers, and sent them as many requests as if it had all callers.
func TestAVMKnowsItsPartOfTheDemand(t *testing.T) {
	key := demand.Key{Service: "llm"}
	all := demand.Counts{Offered: demand.Amount{Requests: 100, Work: 100}}
	for name, overall := range map[string]*demand.Overall{
		"from the sum of all demand":   {Counts: map[demand.Key]demand.Counts{key: all}},
		"with a hub of an older build": nil,
	} {
		t.Run(name, func(t *testing.T) {
			r := newDivisionRig(t, divisionEngine())
			// As decoded from a hub's answer.
			counts := map[string]budget.History{key.Service: {{Requests: 70}}}
			for range 30 {
				r.d.demand.counter.Offered(r.now, key, "", 1)
				r.d.budget.CountRequest(r.now, key.Service)
				r.now += 33 * time.Millisecond
			}
			for range 6 {
				r.d.ApplyTally(tally.Tally{VMs: 9, Counts: counts, Overall: overall})
			}
			r.Expect(r.d.fleet.DemandPart(key.Service)).To(BeNumerically("~", 0.3, 0.02))
			r.d.ForgetDemand()
			r.Expect(r.d.fleet.DemandPart(key.Service)).To(BeNumerically("~", 0.1, 0.001), "an equal part of 10 VMs")
		})
	}
}

// Guards against the sum of all demand that lags behind this VM's own: its part is never above 1.
func TestPartsAreAtMostOne(t *testing.T) {
	r := newDivisionRig(t, divisionEngine())
	key := demand.Key{Service: "llm"}
	for range 50 {
		r.d.demand.counter.Offered(r.now, key, "", 1)
	}
	r.d.ApplyTally(tally.Tally{VMs: 1, Overall: &demand.Overall{Counts: map[demand.Key]demand.Counts{key: {Offered: demand.Amount{Requests: 5}}}}})
	r.Expect(r.d.fleet.DemandPart(key.Service)).To(Equal(1.0))
}

// newShedWaiter returns a request that was shed.
func newShedWaiter(r *divisionRig) *waiter {
	w := &waiter{service: r.service, request: r.handler.choiceRequest(&exchange{service: r.service}), limits: waitLimits{capacity: time.Second}, first: true, shed: true}
	w.item.Work = 1
	return w
}

// Guards against requests that are started although others need the capacity, and against streams that have
// begun and callers that return at their promised time being refused for it.
func TestShedRequestsAreRefusedAtOnce(t *testing.T) {
	r := newDivisionRig(t, divisionEngine())
	result, _, admitted := r.d.enter(newShedWaiter(r))
	r.Expect(admitted).To(BeTrue(), "it doesn't wait")
	r.Expect(result.err).To(MatchError(shedError{}))
	for name, exempt := range map[string]func(*waiter){
		"a stream that has begun":       func(w *waiter) { w.item.Resume = true },
		"a return at the promised time": func(w *waiter) { w.item.Claimed = true },
		"a further attempt":             func(w *waiter) { w.first = false },
	} {
		w := newShedWaiter(r)
		exempt(w)
		result, _, admitted = r.d.enter(w)
		r.Expect(admitted).To(BeTrue(), name)
		r.Expect(result.err).NotTo(HaveOccurred(), name)
	}
}

// Guards against requests that are shed by sums of which the hub was lost.
func TestNothingIsShedByOldSums(t *testing.T) {
	r := newDivisionRig(t, divisionEngine())
	urgent, other := demand.Key{Service: "llm"}, demand.Key{Service: "llm", Priority: 1}
	r.d.ApplyTally(tally.Tally{VMs: 1, Overall: &demand.Overall{Counts: map[demand.Key]demand.Counts{
		urgent: {Offered: demand.Amount{Requests: 1000, Work: 1000}, Refused: demand.Amount{Requests: 1000, Work: 1000}},
		other:  {Offered: demand.Amount{Requests: 1000, Work: 1000}},
	}}})
	class := demand.Class{Key: other}
	r.Expect(r.d.shed(r.now, class)).To(BeTrue())
	r.Expect(r.d.shed(r.now+1501*time.Millisecond, class)).To(BeFalse())
	r.d.ForgetDemand()
	r.Expect(r.d.shed(r.now, class)).To(BeFalse())
}
