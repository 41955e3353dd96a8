package tally_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/core/backends"
	"oleandershunt.example/oleandershunt/internal/core/budget"
	"oleandershunt.example/oleandershunt/internal/core/ratelimit"
	"oleandershunt.example/oleandershunt/internal/core/tally"
)

func of(vms int, load float64, repeats int) tally.Tally {
	return tally.Tally{
		VMs: vms, Loads: map[string]backends.Usage{"s1": {Memory: load, Running: vms}},
		Counts: map[string]budget.Count{"llm": {Requests: 10 * repeats, Repeats: repeats}},
		Full:   map[string]time.Duration{"s2": 200 * time.Millisecond},
		Rates:  map[string]ratelimit.Word{"s3": {PerSecond: 6.5, At: time.Second}},
	}
}

func TestAVMHearsTheSumOfAllOthers(t *testing.T) {
	g := NewWithT(t)
	hub := tally.NewHub("a")
	hub.Report(0, "vm-1", of(1, 100, 1))
	hub.Report(0, "vm-2", of(1, 200, 2))
	hub.ReportFar(0, "b", of(3, 1000, 5))
	hub.ReportFar(0, "a", of(9, 9999, 9)) // its own sum come back counts nothing
	g.Expect(hub.Others(0, "vm-1")).To(Equal(of(4, 1200, 7)))
	g.Expect(hub.Others(0, "vm-2")).To(Equal(of(4, 1100, 6)))
	g.Expect(hub.Near(0, "")).To(Equal(of(2, 300, 3)), "what another data centre hears leaves out its own")

	longer := of(1, 200, 2)
	longer.Full["s2"] = 400 * time.Millisecond
	hub.Report(0, "vm-2", longer)
	g.Expect(hub.Others(0, "vm-1").Full).To(Equal(longer.Full), "the longest time counts")
	g.Expect(hub.Others(tally.Fresh+1, "vm-1").Full).To(BeEmpty())
}

// Symptom: servers seem full that idle; or more repeats are made than all VMs together
// may. Sequence: VMs are killed. Cause: their loads stay in the sums, though their requests
// ended with them; or their repeats don't, though they were made in the same window.
func TestAVMThatIsGoneLeavesItsRepeats(t *testing.T) {
	g := NewWithT(t)
	hub := tally.NewHub("a")
	hub.Report(0, "vm-1", of(1, 100, 1))
	hub.ReportFar(0, "b", of(3, 1000, 5))
	soon := hub.Others(tally.Fresh, "vm-2")
	g.Expect(soon.VMs).To(Equal(4))
	g.Expect(soon.Loads).To(HaveKeyWithValue("s1", backends.Usage{Memory: 1100, Running: 4}))
	later := hub.Others(tally.Fresh+time.Millisecond, "vm-2")
	g.Expect(later.VMs).To(BeZero())
	g.Expect(later.Loads).To(BeEmpty())
	g.Expect(later.Counts["llm"].Repeats).To(Equal(6))
	g.Expect(hub.Others(tally.CountsKept+time.Millisecond, "vm-2").Counts).To(BeEmpty())
}

// Guards against: VMs hear an old word on a server's rate after a newer one.
func TestTheNewestWordOnARateIsTold(t *testing.T) {
	g := NewWithT(t)
	hub := tally.NewHub("a")
	older, newer := of(1, 100, 1), of(1, 100, 1)
	newer.Rates["s3"] = ratelimit.Word{PerSecond: ratelimit.Unlimited, At: 2 * time.Second}
	hub.Report(0, "vm-1", newer)
	hub.Report(0, "vm-2", older)
	hub.ReportFar(0, "b", older)
	g.Expect(hub.Others(0, "vm-3").Rates).To(Equal(newer.Rates))
	g.Expect(hub.Others(tally.Fresh+1, "vm-3").Rates).To(BeEmpty(), "the word of a VM that is gone")
}
