package backends_test

import (
	"errors"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/core/backends"
	"oleandershunt.example/oleandershunt/internal/core/lease"
	"oleandershunt.example/oleandershunt/internal/core/ratelimit"
)

// limitedFleet is the view of a single VM with two paths. The first server of the faster one
// accepts one request a second.
func limitedFleet(g *WithT) *backends.Fleet {
	f := backends.New()
	f.Replace(0, []backends.Server{
		server("s1", "a", "fast", 0, 40), server("s2", "a", "fast", 40, 80), server("s3", "a", "slow", 0, 40),
	}, 1)
	f.SetMembers(0, "vm-1", []lease.VM{{Name: "vm-1", DataCentre: "a"}})
	g.Expect(f.SetRateLimit(0, 0, "s1", 1)).To(BeTrue())
	return f
}

// Guards against exceeding a server's rate limit while other servers hold its layers.
func TestRequestStartsElsewhereWhileAServerIsAtItsRateLimit(t *testing.T) {
	g := NewWithT(t)
	f := limitedFleet(g)
	g.Expect(path(g, f, request())).To(Equal("s3[0,40) s2[40,80)"))
	now := 2 * time.Second
	choice, err := f.Path(now, service(), request())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(choice.First.ID).To(Equal("s1"), "the rate limit allows the next request")
	f.CountSent(now, choice)
	choice, err = f.Path(now, service(), request())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(choice.First.ID).To(Equal("s3"))
}

// Guards against a request at a rate limit not learning when it may be sent.
func TestLimitErrorSaysWhenToRetry(t *testing.T) {
	g := NewWithT(t)
	f := limitedFleet(g)
	f.Remove(0, "s3", 9)
	for _, force := range []bool{false, true} {
		r := request()
		r.IgnoreCapacity = force
		_, err := f.Path(0, service(), r)
		limited := new(backends.LimitError)
		g.Expect(errors.As(err, &limited)).To(BeTrue(), "%v", err)
		due, known := limited.RetryAfter(0)
		g.Expect(known).To(BeTrue())
		g.Expect(due).To(BeNumerically("~", 1100*time.Millisecond, 50*time.Millisecond))
		later, _ := limited.RetryAfter(2)
		g.Expect(later - due).To(BeNumerically("~", 2200*time.Millisecond, 100*time.Millisecond))
	}
	f.Remove(0, "s2", 10)
	_, err := f.Path(0, service(), request())
	g.Expect(err).To(MatchError(backends.ErrNoServer), "layers are missing regardless of the rate limit")
}

// Guards against exceeding the rate limit of a plain service's server, and against waiting for a
// limit whose share belongs to other VMs.
func TestPlainServerRateLimitIsObeyed(t *testing.T) {
	g := NewWithT(t)
	f := backends.New()
	plain := backends.Server{ID: "p1", Service: "app", Address: "p1:1", DataCentre: "a", Slots: 4}
	f.Put(0, plain)
	f.SetMembers(0, "vm-1", []lease.VM{{Name: "vm-1", DataCentre: "a"}})
	f.SetRemoteRateLimits(0, map[string]ratelimit.Report{"p1": {PerSecond: 1}, "gone": {PerSecond: 1}})
	_, err := f.Instance(0, "app", request())
	limited := new(backends.LimitError)
	g.Expect(errors.As(err, &limited)).To(BeTrue(), "%v", err)
	_, err = f.Instance(2*time.Second, "app", request())
	g.Expect(err).NotTo(HaveOccurred())
	f.SetMembers(0, "vm-1", []lease.VM{{Name: "vm-2", DataCentre: "a"}})
	_, err = f.Instance(2*time.Second, "app", request())
	g.Expect(errors.As(err, &limited)).To(BeTrue(), "%v", err)
	_, known := limited.RetryAfter(0)
	g.Expect(known).To(BeFalse(), "other VMs have the whole rate")
}
