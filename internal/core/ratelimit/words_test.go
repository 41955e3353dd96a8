package ratelimit_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/core/ratelimit"
)

// Guards against: an answer made before a limit began ends it.
func TestALimitEndsWithAnAnswerToALaterRequest(t *testing.T) {
	g := NewWithT(t)
	l := ratelimit.New()
	g.Expect(l.Said(1*time.Second, 0, "s1", ratelimit.Unlimited)).To(BeFalse())
	g.Expect(l.Said(2*time.Second, 1*time.Second, "s1", 6.5)).To(BeTrue())
	g.Expect(l.Said(3*time.Second, 2*time.Second, "s1", 6.5)).To(BeFalse(), "the same rate is no news")
	g.Expect(l.Said(4*time.Second, 2500*time.Millisecond, "s1", ratelimit.Unlimited)).To(BeFalse())
	g.Expect(l.Word("s1").PerSecond).To(Equal(6.5))
	g.Expect(l.Said(5*time.Second, 3500*time.Millisecond, "s1", ratelimit.Unlimited)).To(BeTrue())
	g.Expect(l.Word("s1").Limited()).To(BeFalse())
	g.Expect(l.Word("s2").Limited()).To(BeFalse())
}

// Guards against: a new life of a server is limited by what its former one said.
func TestALimitEndsWithItsServer(t *testing.T) {
	g := NewWithT(t)
	l := ratelimit.New()
	l.Said(0, 0, "s1", 2)
	l.Forget("s1")
	g.Expect(l.Word("s1").Limited()).To(BeFalse())
}
