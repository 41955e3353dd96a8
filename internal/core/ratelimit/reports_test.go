package ratelimit_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/core/lease"
	"oleandershunt.example/oleandershunt/internal/core/ratelimit"
)

// Guards against ending a limit because of an answer that the server made before the limit
// began.
func TestLimitEndsWithAnswerToLaterRequest(t *testing.T) {
	g := NewWithT(t)
	l := ratelimit.New()
	g.Expect(l.ObserveAnswer(1*time.Second, 0, "s1", "a", ratelimit.Unlimited)).To(BeFalse())
	g.Expect(l.ObserveAnswer(2*time.Second, 1*time.Second, "s1", "a", 6.5)).To(BeTrue())
	g.Expect(l.ObserveAnswer(3*time.Second, 2*time.Second, "s1", "a", 6.5)).To(BeFalse(), "the rate has not changed")
	g.Expect(l.ObserveAnswer(4*time.Second, 2500*time.Millisecond, "s1", "a", ratelimit.Unlimited)).To(BeFalse())
	g.Expect(l.Report("s1").PerSecond).To(Equal(6.5))
	g.Expect(l.ObserveAnswer(5*time.Second, 3500*time.Millisecond, "s1", "a", ratelimit.Unlimited)).To(BeTrue())
	g.Expect(l.Report("s1").Limited()).To(BeFalse())
	g.Expect(l.Report("s2").Limited()).To(BeFalse())
}

// Guards against a restarted server that is still limited by the rate its previous process set.
func TestLimitEndsWithItsServer(t *testing.T) {
	g := NewWithT(t)
	l := ratelimit.New()
	l.ObserveAnswer(0, 0, "s1", "a", 2)
	l.Forget("s1")
	g.Expect(l.Report("s1").Limited()).To(BeFalse())
}

// Guards against a VM that missed the end of a limit while partitioned and spreads the limit
// again.
func TestEndOfLimitIsReportedToVMsThatMissedIt(t *testing.T) {
	g := NewWithT(t)
	l, late := ratelimit.New(), ratelimit.New()
	l.ObserveAnswer(time.Second, 0, "s1", "a", 6.5)
	late.MergeReport(time.Second, "s1", "a", l.Reports(time.Second)["s1"])
	g.Expect(late.Report("s1").PerSecond).To(Equal(6.5))
	l.ObserveAnswer(3*time.Second, 2*time.Second, "s1", "a", ratelimit.Unlimited)
	g.Expect(l.Reports(4*time.Second)).To(HaveKey("s1"), "the end of the limit is reported")
	g.Expect(l.Reports(time.Minute)).To(BeEmpty(), "but not forever")

	l.MergeReport(time.Minute, "s1", "a", late.Reports(time.Minute)["s1"])
	g.Expect(l.Report("s1").Limited()).To(BeFalse())
	late.MergeReport(time.Minute, "s1", "a", l.Reports(time.Minute)["s1"])
	g.Expect(late.Report("s1").Limited()).To(BeFalse())
}

// Guards against a VM that doesn't know the other VMs and uses the whole rate by itself.
func TestLimitedServerGetsNoRequestsUntilVMsAreKnown(t *testing.T) {
	g := NewWithT(t)
	l := ratelimit.New()
	l.ObserveAnswer(0, 0, "s1", "a", 6.5)
	g.Expect(l.Allows(time.Minute, "s1")).To(BeFalse())
	g.Expect(l.Allows(time.Minute, "s2")).To(BeTrue())
	l.SetLiveVMs(time.Minute, "vm-1", []lease.VM{{Name: "vm-1", DataCentre: "a"}})
	g.Expect(l.Allows(2*time.Minute, "s1")).To(BeTrue())
	l.SetLiveVMs(2*time.Minute, "vm-1", []lease.VM{{Name: "vm-2", DataCentre: "a"}})
	g.Expect(l.Allows(3*time.Minute, "s1")).To(BeFalse(), "a VM that is stopping")
}
