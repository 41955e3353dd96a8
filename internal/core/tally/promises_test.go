package tally_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/core/promise"
	"oleandershunt.example/oleandershunt/internal/core/tally"
)

func newPromises(rate float64, keys []promise.Due, buckets ...uint32) tally.Tally {
	return tally.Tally{VMs: 1, Promises: map[string]promise.Report{"llm": {Rate: rate, Buckets: buckets, Keys: keys}}}
}

// Guards against promises that are counted twice, or stay after their VM is lost: the VMs would
// promise too few starts or none.
func TestPromisesOfOtherVMsAreSummedUntilTheirReportsExpire(t *testing.T) {
	g := NewWithT(t)
	hub := tally.NewHub("a", 1, anyServer)
	const now = time.Second
	outstanding := []promise.Due{{Key: 1, In: 250 * time.Millisecond}}
	hub.Report(now, "vm-1", newPromises(10, outstanding, 0, 0, 1))
	hub.Report(now, "vm-1", newPromises(10, outstanding, 0, 0, 1)) // replaces the first one
	hub.Report(now+100*time.Millisecond, "vm-2", newPromises(20.5, nil, 0, 2, 0, 1))
	hub.ReportRemote(now, "b", newPromises(100, nil, 0, 0, 0, 5))

	at := now + 100*time.Millisecond
	sum := hub.SumExcept(at, "vm-3").Promises["llm"]
	g.Expect(sum.Rate).To(BeNumerically("~", 130.5, 1e-9))
	g.Expect(sum.Buckets).To(Equal([]uint32{0, 3, 5, 1}), "from the time of the answer on")
	g.Expect(sum.Keys).To(Equal([]promise.Due{{Key: 1, In: 150 * time.Millisecond}}))
	g.Expect(hub.SumExcept(at, "vm-2").Promises["llm"].Buckets).To(Equal([]uint32{0, 1, 5}))
	g.Expect(hub.Update(at, "vm-2", tally.LoadVersions{}, true).Others.Promises).To(Equal(hub.SumExcept(at, "vm-2").Promises))
	g.Expect(hub.LocalSum(at).Promises["llm"].Buckets).To(Equal([]uint32{0, 3, 0, 1}))

	hub.Report(now+tally.ReportTTL, "vm-2", newPromises(20.5, nil))
	g.Expect(hub.SumExcept(now+tally.ReportTTL+1, "vm-2").Promises).To(BeNil(), "vm-1 and b are lost")
	hub.Report(now+tally.ReportTTL, "vm-2", tally.Tally{VMs: 1})
	g.Expect(hub.LocalSum(now + tally.ReportTTL + 1).Promises).To(BeNil())
}

// Guards against a caller that claims the same promise at several VMs.
func TestTheEndOfAPromiseReachesAllVMs(t *testing.T) {
	g := NewWithT(t)
	hub := tally.NewHub("a", 1, anyServer)
	due := promise.Due{Key: 1, In: 300 * time.Millisecond}
	hub.Report(time.Second, "vm-1", newPromises(10, []promise.Due{due}))
	due.In, due.Ended = 210*time.Millisecond, true
	hub.Report(1100*time.Millisecond, "vm-2", newPromises(10, []promise.Due{due}))
	g.Expect(hub.SumExcept(1100*time.Millisecond, "vm-1").Promises["llm"].Keys).To(Equal([]promise.Due{due}))
	later := promise.Due{Key: 1, In: time.Second}
	hub.Report(1200*time.Millisecond, "vm-3", newPromises(10, []promise.Due{later}))
	g.Expect(hub.SumExcept(1200*time.Millisecond, "vm-1").Promises["llm"].Keys).To(Equal([]promise.Due{later}), "refused again")
}

// Guards against sums that drift apart from the reports as these come and go.
func TestSumsOfPromisesFollowTheReports(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(1, 2))
	hub := tally.NewHub("a", 1, anyServer)
	now := time.Second
	for range 200 {
		now += time.Duration(random.IntN(400)) * time.Millisecond
		buckets := make([]uint32, random.IntN(5))
		for i := range buckets {
			buckets[i] = uint32(random.IntN(3))
		}
		hub.Report(now, "vm-"+string(rune('1'+random.IntN(4))), newPromises(random.Float64(), nil, buckets...))
	}
	g.Expect(hub.SumExcept(now+tally.ReportTTL+1, "").Promises).To(BeNil())
	now += 2 * tally.ReportTTL
	keys := make([]promise.Due, 2*promise.MaxKeys)
	for i := range keys {
		keys[i] = promise.Due{Key: promise.Key(i + 1), In: time.Duration(i) * time.Millisecond}
	}
	hub.Report(now, "vm-1", newPromises(1, keys[:promise.MaxKeys]))
	hub.Report(now, "vm-2", newPromises(1, keys[promise.MaxKeys:]))
	g.Expect(hub.SumExcept(now+30*time.Millisecond, "vm-3").Promises["llm"].Keys).To(HaveLen(promise.MaxKeys))
}
