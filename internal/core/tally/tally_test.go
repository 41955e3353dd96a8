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

// unit is a load that messages can state exactly.
const unit = tally.LoadUnit

// anyServer says of every server that it is in the hub's data centre.
func anyServer(string) bool { return true }

func newTally(vms int, load float64, retries int) tally.Tally {
	return tally.Tally{
		VMs: vms, Loads: map[string]backends.Usage{"s1": {Memory: load * unit, Running: vms}},
		Counts: map[string]budget.History{"llm": {{Requests: 10 * retries, Retries: retries}}},
		Full:   map[string]time.Duration{"s2": 200 * time.Millisecond},
		Rates:  map[string]ratelimit.Report{"s3": {PerSecond: 6.5, ObservedAt: time.Second}},
	}
}

func TestVMReceivesSumOfAllOthers(t *testing.T) {
	g := NewWithT(t)
	hub := tally.NewHub("a", 1, anyServer)
	hub.Report(0, "vm-1", newTally(1, 100, 1))
	hub.Report(0, "vm-2", newTally(1, 200, 2))
	hub.ReportRemote(0, "b", newTally(3, 1000, 5))
	hub.ReportRemote(0, "a", newTally(9, 9999, 9)) // a data centre's own sum is ignored
	others := func(load float64, retries int) tally.Tally {
		sum := newTally(4, load, retries)
		sum.CountsUnknown = true // the hub has just started
		return sum
	}
	g.Expect(hub.SumExcept(0, "vm-1")).To(Equal(others(1200, 7)))
	g.Expect(hub.SumExcept(0, "vm-2")).To(Equal(others(1100, 6)))
	g.Expect(hub.LocalSum(0)).To(Equal(newTally(2, 300, 3)), "the sum for another data centre excludes that one's VMs")

	longer := newTally(1, 200, 2)
	longer.Full["s2"] = 400 * time.Millisecond
	hub.Report(0, "vm-2", longer)
	g.Expect(hub.SumExcept(0, "vm-1").Full).To(Equal(longer.Full), "the longest time wins")
	g.Expect(hub.SumExcept(tally.ReportTTL+1, "vm-1").Full).To(BeEmpty())
}

// Guards against two faults after VMs are killed: their loads remain in the sums, so idle
// servers seem full although the requests have ended; or their retries do not remain, so more
// retries are made in the same window than all VMs together may make.
func TestRetriesOfLostVMStillCount(t *testing.T) {
	g := NewWithT(t)
	hub := tally.NewHub("a", 1, anyServer)
	hub.Report(0, "vm-1", newTally(1, 100, 1))
	hub.ReportRemote(0, "b", newTally(3, 1000, 5))
	soon := hub.SumExcept(tally.ReportTTL, "vm-2")
	g.Expect(soon.VMs).To(Equal(4))
	g.Expect(soon.Loads).To(HaveKeyWithValue("s1", backends.Usage{Memory: 1100 * unit, Running: 4}))
	later := hub.SumExcept(tally.ReportTTL+time.Millisecond, "vm-2")
	g.Expect(later.VMs).To(BeZero())
	g.Expect(later.Loads).To(BeEmpty())
	g.Expect(later.Counts["llm"].Total().Retries).To(Equal(6))
	g.Expect(hub.SumExcept(tally.CountsTTL, "vm-2").Counts["llm"].Total().Retries).To(Equal(6), "the whole window")
	g.Expect(hub.SumExcept(tally.CountsTTL+tally.CountsTTL/budget.HistoryBuckets, "vm-2").Counts).To(BeEmpty())
}

// Guards against reporting an older rate of a server after a newer one.
func TestNewestRateIsReported(t *testing.T) {
	g := NewWithT(t)
	hub := tally.NewHub("a", 1, anyServer)
	older, newer := newTally(1, 100, 1), newTally(1, 100, 1)
	newer.Rates["s3"] = ratelimit.Report{PerSecond: ratelimit.Unlimited, ObservedAt: 2 * time.Second}
	hub.Report(0, "vm-1", newer)
	hub.Report(0, "vm-2", older)
	hub.ReportRemote(0, "b", older)
	g.Expect(hub.SumExcept(0, "vm-3").Rates).To(Equal(newer.Rates))
	g.Expect(hub.SumExcept(tally.ReportTTL+1, "vm-3").Rates).To(BeEmpty(), "the report of a VM that has gone")
}
