package edge

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/core/budget"
	"oleandershunt.example/oleandershunt/internal/core/tally"
)

// Guards against VMs that take others for present that don't report any more, since the message lacks them.
func TestMessagesTellWhichCountsAreOfAbsentVMs(t *testing.T) {
	g := NewWithT(t)
	const now = time.Minute
	sent := tally.Tally{
		VMs: 3, Counts: map[string]budget.History{"llm": {{Requests: 50, Retries: 9}}},
		Absent:          map[string]budget.Count{"llm": {Requests: 20, Retries: 4}},
		OldestReportAge: 300 * time.Millisecond, MostVMs: budget.KnownVMs{VMs: 9, At: now - 5*time.Second},
	}
	received := decodeTally(encodeTally(sent, now), now+time.Second)
	g.Expect(received.PeerCounts()).To(Equal(budget.PeerCounts{
		VMs: 3, OldestAge: 300 * time.Millisecond,
		Counts: map[string]budget.Count{"llm": {Requests: 50, Retries: 9}}, Absent: map[string]budget.Count{"llm": {Requests: 20, Retries: 4}},
	}))
	g.Expect(received.MostVMs).To(Equal(budget.KnownVMs{VMs: 9, At: now - 4*time.Second}))
}
