package entry_test

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/standin"
)

// An engine fails at each point of a non-idempotent request. The request must
// not be retried once a byte of it may have left, or it could run twice, and
// the caller must be told correctly whether it ran.
func TestNonIdempotentRequestRunsAtMostOnce(t *testing.T) {
	cases := map[string]struct {
		inject    func(*rig)
		reason    string
		execution string
		started   int
	}{
		"all engines refuse":      {onAllEngines(standin.Faults{Refuse: true}), "attempts_exhausted", "not_run", 0},
		"all engines are gone":    {func(r *rig) { r.eachEngine((*standin.Engine).Kill) }, "attempts_exhausted", "not_run", 0},
		"connection closed":       {onAllEngines(standin.Faults{CloseUnread: true}), "not_repeatable", "may_have_run", 0},
		"crashed by the request":  {onAllEngines(standin.Faults{Poison: "sale"}), "not_repeatable", "may_have_run", 1},
		"garbage in place of it":  {onAllEngines(standin.Faults{Damage: standin.DamageGarbage}), "not_repeatable", "ran", 1},
		"cut before the first":    {onAllEngines(standin.Faults{Damage: standin.DamageCut}), "not_repeatable", "may_have_run", 1},
		"lie about the layers":    {onAllEngines(standin.Faults{Lie: standin.LieLayers}), "not_repeatable", "ran", 1},
		"stalled after its start": {onAllEngines(standin.Faults{StallSteps: true}), "not_repeatable", "may_have_run", 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			r := newRig(t, func(o *rigOptions) { o.limits.FirstToken = time.Second }).inForce(t)
			c.inject(r)
			problem := r.complete(t, "booking", "a sale", 20, "Idempotency-Key", "sale-1").problem(t)
			g.Expect(string(problem.Execution)).To(Equal(c.execution), problem.Reason)
			g.Expect(problem.Reason).To(BeElementOf(c.reason, "no_path"))
			g.Expect(r.started()).To(Equal(c.started))
			g.Expect(r.sum(func(e standin.EngineCounts) int { return e.ByKey["sale-1"] })).To(Equal(c.started))
		})
	}
}

func onAllEngines(f standin.Faults) func(*rig) {
	return func(r *rig) { r.eachEngine(with(f)) }
}

// A caller's Idempotent header can only declare a request non-idempotent:
// false overrides the record of an idempotent pipeline, true doesn't override
// that of a non-idempotent one. Otherwise an engine crash would lead to a
// second run.
func TestIdempotentHeaderOnlyRestrictsRetries(t *testing.T) {
	g := NewWithT(t)
	r := newRig(t, nil).inForce(t)
	r.eachEngine(with(standin.Faults{Poison: "sale"}))
	problem := r.complete(t, "scoring", "a sale", 20, "Idempotent", "false").problem(t)
	g.Expect(problem.Reason).To(Equal("not_repeatable"))
	g.Expect(r.started()).To(Equal(1))
	r = newRig(t, nil).inForce(t)
	r.eachEngine(with(standin.Faults{Poison: "sale"}))
	g.Expect(r.complete(t, "booking", "a sale", 20, "Idempotent", "true").problem(t).Reason).To(Equal("not_repeatable"))
	g.Expect(r.started()).To(Equal(1))
}

// The service runs the call and closes a reused connection without a response.
// Neither net/http's own retry nor a retry by the router may send the call
// again.
func TestServiceRequestIsNotRetriedAfterConnectionLoss(t *testing.T) {
	g := NewWithT(t)
	r := newRig(t, nil).inForce(t)
	g.Expect(r.send(t, http.MethodPost, "/ledger/entry", "first").status).To(Equal(http.StatusOK))
	r.service.SetFaults(standin.ServiceFaults{CloseAfterRun: true})
	for _, method := range []string{http.MethodPost, http.MethodGet} {
		key := "entry-" + method
		problem := r.send(t, method, "/ledger/entry", "", "Idempotency-Key", key).problem(t)
		g.Expect(problem.Reason).To(Equal("not_repeatable"))
		g.Expect(string(problem.Execution)).To(Equal("may_have_run"))
		g.Expect(r.service.Runs(key)).To(Equal(1))
	}
}

// If the service is down, it is certain that the request didn't run, and the
// caller must be told so.
func TestServiceRequestToStoppedServiceIsNotRun(t *testing.T) {
	g := NewWithT(t)
	r := newRig(t, nil).inForce(t)
	r.service.Kill()
	problem := r.send(t, http.MethodPost, "/ledger/entry", "x").problem(t)
	g.Expect(string(problem.Execution)).To(Equal("not_run"))
	g.Expect(r.service.Counts().Runs).To(BeZero())
}

// A caller must not take a truncated response for a complete one when the
// service fails in the middle of a large response.
func TestLargeResponseIsForwardedCompleteOrAborted(t *testing.T) {
	g := NewWithT(t)
	r := newRig(t, nil).inForce(t)
	r.service.SetFaults(standin.ServiceFaults{AnswerBytes: 3 << 20})
	g.Expect(r.send(t, http.MethodGet, "/status/report", "").body).To(HaveLen(3 << 20))
	runs := r.service.Counts().Runs
	r.service.SetFaults(standin.ServiceFaults{AnswerBytes: 3 << 20, CutAnswer: true})
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+r.address+"/status/report", nil)
	g.Expect(err).NotTo(HaveOccurred())
	request.Header.Set("Authorization", "Bearer "+aliceKey)
	response, err := http.DefaultClient.Do(request)
	g.Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	_, err = readEvents(response.Body)
	g.Expect(err).To(HaveOccurred())
	g.Expect(r.service.Counts().Runs).To(Equal(runs+1), "not retried after a part of the response was sent")
}

// Expect: 100-continue from a client library must not be forwarded: the
// service would wait for a body that it has to ask for, and the call would
// take up to a second longer.
func TestExpectHeaderIsNotForwarded(t *testing.T) {
	g := NewWithT(t)
	r := newRig(t, nil).inForce(t)
	g.Expect(r.send(t, http.MethodPost, "/ledger/entry", "x", "Expect", "100-continue").status).To(Equal(http.StatusOK))
	g.Expect(r.service.Counts()).To(And(HaveField("Runs", 1), HaveField("Expected", 0)))
}
