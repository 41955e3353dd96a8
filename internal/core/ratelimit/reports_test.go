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
	g.Expect(l.Said(1*time.Second, 0, "s1", "a", ratelimit.Unlimited)).To(BeFalse())
	g.Expect(l.Said(2*time.Second, 1*time.Second, "s1", "a", 6.5)).To(BeTrue())
	g.Expect(l.Said(3*time.Second, 2*time.Second, "s1", "a", 6.5)).To(BeFalse(), "the rate has not changed")
	g.Expect(l.Said(4*time.Second, 2500*time.Millisecond, "s1", "a", ratelimit.Unlimited)).To(BeFalse())
	g.Expect(l.Word("s1").PerSecond).To(Equal(6.5))
	g.Expect(l.Said(5*time.Second, 3500*time.Millisecond, "s1", "a", ratelimit.Unlimited)).To(BeTrue())
	g.Expect(l.Word("s1").Limited()).To(BeFalse())
	g.Expect(l.Word("s2").Limited()).To(BeFalse())
}

// Guards against a restarted server that is still limited by the rate its previous process set.
func TestLimitEndsWithItsServer(t *testing.T) {
	g := NewWithT(t)
	l := ratelimit.New()
	l.Said(0, 0, "s1", "a", 2)
	l.Forget("s1")
	g.Expect(l.Word("s1").Limited()).To(BeFalse())
}

// Guards against a VM that missed the end of a limit while partitioned and spreads the limit
// again.
func TestEndOfLimitIsReportedToVMsThatMissedIt(t *testing.T) {
	g := NewWithT(t)
	l, late := ratelimit.New(), ratelimit.New()
	l.Said(time.Second, 0, "s1", "a", 6.5)
	late.Heard(time.Second, "s1", "a", l.Words(time.Second)["s1"])
	g.Expect(late.Word("s1").PerSecond).To(Equal(6.5))
	l.Said(3*time.Second, 2*time.Second, "s1", "a", ratelimit.Unlimited)
	g.Expect(l.Words(4*time.Second)).To(HaveKey("s1"), "the end of the limit is reported")
	g.Expect(l.Words(time.Minute)).To(BeEmpty(), "but not forever")

	l.Heard(time.Minute, "s1", "a", late.Words(time.Minute)["s1"])
	g.Expect(l.Word("s1").Limited()).To(BeFalse())
	late.Heard(time.Minute, "s1", "a", l.Words(time.Minute)["s1"])
	g.Expect(late.Word("s1").Limited()).To(BeFalse())
}

// Guards against a VM that doesn't know the other VMs and uses the whole rate by itself.
func TestLimitedServerGetsNoRequestsUntilVMsAreKnown(t *testing.T) {
	g := NewWithT(t)
	l := ratelimit.New()
	l.Said(0, 0, "s1", "a", 6.5)
	g.Expect(l.Allows(time.Minute, "s1")).To(BeFalse())
	g.Expect(l.Allows(time.Minute, "s2")).To(BeTrue())
	l.Live(time.Minute, "vm-1", []lease.VM{{Name: "vm-1", DataCentre: "a"}})
	g.Expect(l.Allows(2*time.Minute, "s1")).To(BeTrue())
	l.Live(2*time.Minute, "vm-1", []lease.VM{{Name: "vm-2", DataCentre: "a"}})
	g.Expect(l.Allows(3*time.Minute, "s1")).To(BeFalse(), "a VM that is stopping")
}
