package ratelimit_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/core/lease"
	"oleandershunt.example/oleandershunt/internal/core/ratelimit"
)

// Guards against: an answer made before a limit began ends it.
func TestALimitEndsWithAnAnswerToALaterRequest(t *testing.T) {
	g := NewWithT(t)
	l := ratelimit.New()
	g.Expect(l.Said(1*time.Second, 0, "s1", "a", ratelimit.Unlimited)).To(BeFalse())
	g.Expect(l.Said(2*time.Second, 1*time.Second, "s1", "a", 6.5)).To(BeTrue())
	g.Expect(l.Said(3*time.Second, 2*time.Second, "s1", "a", 6.5)).To(BeFalse(), "the same rate is no news")
	g.Expect(l.Said(4*time.Second, 2500*time.Millisecond, "s1", "a", ratelimit.Unlimited)).To(BeFalse())
	g.Expect(l.Word("s1").PerSecond).To(Equal(6.5))
	g.Expect(l.Said(5*time.Second, 3500*time.Millisecond, "s1", "a", ratelimit.Unlimited)).To(BeTrue())
	g.Expect(l.Word("s1").Limited()).To(BeFalse())
	g.Expect(l.Word("s2").Limited()).To(BeFalse())
}

// Guards against: a new life of a server is limited by what its former one said.
func TestALimitEndsWithItsServer(t *testing.T) {
	g := NewWithT(t)
	l := ratelimit.New()
	l.Said(0, 0, "s1", "a", 2)
	l.Forget("s1")
	g.Expect(l.Word("s1").Limited()).To(BeFalse())
}

// Guards against: a VM that was cut off while a limit ended spreads the limit again.
func TestTheEndOfALimitIsToldToThoseThatMissedIt(t *testing.T) {
	g := NewWithT(t)
	l, late := ratelimit.New(), ratelimit.New()
	l.Said(time.Second, 0, "s1", "a", 6.5)
	late.Heard(time.Second, "s1", "a", l.Words(time.Second)["s1"])
	g.Expect(late.Word("s1").PerSecond).To(Equal(6.5))
	l.Said(3*time.Second, 2*time.Second, "s1", "a", ratelimit.Unlimited)
	g.Expect(l.Words(4*time.Second)).To(HaveKey("s1"), "the end is told")
	g.Expect(l.Words(time.Minute)).To(BeEmpty(), "but not for ever")

	l.Heard(time.Minute, "s1", "a", late.Words(time.Minute)["s1"])
	g.Expect(l.Word("s1").Limited()).To(BeFalse())
	late.Heard(time.Minute, "s1", "a", l.Words(time.Minute)["s1"])
	g.Expect(late.Word("s1").Limited()).To(BeFalse())
}

// Guards against: a VM that doesn't know the others takes the whole rate for itself.
func TestALimitedServerGetsNothingBeforeTheOthersAreKnown(t *testing.T) {
	g := NewWithT(t)
	l := ratelimit.New()
	l.Said(0, 0, "s1", "a", 6.5)
	g.Expect(l.Allows(time.Minute, "s1")).To(BeFalse())
	g.Expect(l.Allows(time.Minute, "s2")).To(BeTrue())
	l.Live(time.Minute, "vm-1", []lease.VM{{Name: "vm-1", DataCentre: "a"}})
	g.Expect(l.Allows(2*time.Minute, "s1")).To(BeTrue())
	l.Live(2*time.Minute, "vm-1", []lease.VM{{Name: "vm-2", DataCentre: "a"}})
	g.Expect(l.Allows(3*time.Minute, "s1")).To(BeFalse(), "a VM that stops")
}
