package edge

import (
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/core/budget"
)

// Guards against retries above the limit that no log line explains, and against a line for each exchange.
func TestUseOfTheRetryBudgetIsLoggedOnceASecond(t *testing.T) {
	g := NewWithT(t)
	var lines []string
	log := funcr.New(func(_, args string) { lines = append(lines, args) }, funcr.Options{})
	b := budget.New(budget.Options{Ratio: 0.2, Slack: 20, Window: 10 * time.Second, MinVMs: 4})
	start := 20 * time.Second
	for range 10 {
		b.CountRequest(start, "llm")
	}
	var l budgetLog
	l.record(log, start, b.Uses(start))
	b.SetPeerCounts(start, budget.PeerCounts{VMs: 3, Counts: map[string]budget.Count{"llm": {Requests: 90, Retries: 19}}})
	l.record(log, start, b.Uses(start))
	g.Expect(lines).To(BeEmpty(), "19 of 40")
	g.Expect(b.TakeRetry(start, "llm", 1)).To(BeTrue())
	for now := start; now < start+3*time.Second; now += 250 * time.Millisecond {
		l.record(log, now, b.Uses(now))
	}
	g.Expect(lines).To(HaveLen(3))
	g.Expect(lines[0]).To(And(ContainSubstring(`"event"=4237`), ContainSubstring(`"retries"=1 "othersRequests"=90 "othersRetries"=19`), ContainSubstring(`"limit"=40`)))
}
