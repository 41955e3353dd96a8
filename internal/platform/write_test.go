package platform_test

import (
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/platform"
	"oleandershunt.example/oleandershunt/internal/standin"
)

const kind = "Pipeline"

func startPlatform(t *testing.T) *standin.Platform {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	p := standin.StartPlatform(listener)
	t.Cleanup(p.Stop)
	return p
}

// newClient returns a client with a short bookmark interval and a fixed random source.
func newClient(p *standin.Platform, options ...platform.Option) *platform.Client {
	fixed := []platform.Option{
		platform.WithRandom(func() float64 { return 0 }),
		platform.WithBookmark(20 * time.Millisecond),
		platform.WithBudget(1000, 1000),
	}
	return platform.NewClient(p.URL(), append(fixed, options...)...)
}

// Guards against reporting a conflict or an unavailable platform for a write that
// took effect and whose response was lost; the writer would write again.
func TestWriteSucceedsWhenResponseIsLost(t *testing.T) {
	g := NewWithT(t)
	p := startPlatform(t)
	c := newClient(p)

	p.SetFaults("", standin.PlatformFaults{LoseWriteAnswers: 1})
	created, err := c.Create(t.Context(), kind, "scoring", 1)
	g.Expect(err).NotTo(HaveOccurred())

	p.SetFaults("", standin.PlatformFaults{LoseWriteAnswers: 1})
	updated, err := c.Update(t.Context(), kind, "scoring", created.Version, 2)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(updated.Version).To(Equal(created.Version+1), "one write, not two")

	p.SetFaults("", standin.PlatformFaults{LoseWriteAnswers: 1})
	g.Expect(c.Delete(t.Context(), kind, "scoring", updated.Version)).To(Succeed())
	_, err = c.Get(t.Context(), kind, "scoring")
	g.Expect(err).To(MatchError(platform.ErrNotFound))
}

// Guards against reporting success for a write that failed with a conflict whose
// response was lost, by mistaking another writer's object for the own one.
func TestConflictIsReportedWhenResponseIsLost(t *testing.T) {
	g := NewWithT(t)
	p := startPlatform(t)
	first, err := newClient(p).Create(t.Context(), kind, "scoring", "first")
	g.Expect(err).NotTo(HaveOccurred())
	_, err = newClient(p).Update(t.Context(), kind, "scoring", first.Version, "second")
	g.Expect(err).NotTo(HaveOccurred())

	p.SetFaults("", standin.PlatformFaults{LoseWriteAnswers: 1})
	_, err = newClient(p).Update(t.Context(), kind, "scoring", first.Version, "third")
	g.Expect(err).To(MatchError(platform.ErrConflict))
	p.SetFaults("", standin.PlatformFaults{LoseWriteAnswers: 1})
	_, err = newClient(p).Create(t.Context(), kind, "scoring", "fourth")
	g.Expect(err).To(MatchError(platform.ErrConflict))
	g.Expect(newClient(p).Delete(t.Context(), kind, "scoring", first.Version)).To(MatchError(platform.ErrConflict))
}

// Guards against reporting a write as failed that may have taken effect: its
// response is lost, and the platform is down when the object is read back.
func TestWriteOutcomeIsUnknownWhenReadBackFails(t *testing.T) {
	g := NewWithT(t)
	p := startPlatform(t)
	p.CutOff("vm-1")
	_, err := newClient(p, platform.WithVM("vm-1")).Create(t.Context(), kind, "scoring", 1)
	g.Expect(err).To(MatchError(platform.ErrUnknownOutcome))
	g.Expect(err).To(MatchError(platform.ErrUnavailable))
	_, err = newClient(p, platform.WithVM("vm-2")).Create(t.Context(), kind, "scoring", 1)
	g.Expect(err).NotTo(HaveOccurred(), "only vm-1 is cut off")
}

// Guards against a single VM that retries in a loop and uses up the call capacity
// of the platform for the whole fleet.
func TestCallsOverBudgetAreNotSent(t *testing.T) {
	g := NewWithT(t)
	p := startPlatform(t)
	c := newClient(p, platform.WithBudget(0.001, 2), platform.WithCallTimeout(time.Second))
	for range 2 {
		_, err := c.List(t.Context(), kind, "")
		g.Expect(err).NotTo(HaveOccurred())
	}
	_, err := c.List(t.Context(), kind, "")
	g.Expect(err).To(MatchError(platform.ErrBudget))
	g.Expect(p.Calls()).To(HaveKeyWithValue("LIST "+kind, uint64(2)))
	g.Expect(c.Calls()).To(Equal(platform.Calls{
		{Method: platform.MethodList, Outcome: "ok"}:     2,
		{Method: platform.MethodList, Outcome: "budget"}: 1,
	}))
}

// Guards against VMs that lost the platform together and, with equal delays, all
// call it together when it recovers.
func TestBackoffDoublesWithinBoundsWithJitter(t *testing.T) {
	g := NewWithT(t)
	low := platform.NewClient("", platform.WithRandom(func() float64 { return 0 })).NewBackoff()
	high := platform.NewClient("", platform.WithRandom(func() float64 { return 0.999 })).NewBackoff()
	last := time.Duration(0)
	for range 12 {
		shortest, longest := low.Next(), high.Next()
		g.Expect(shortest).To(BeNumerically(">=", last))
		g.Expect(longest).To(BeNumerically(">", shortest))
		g.Expect(longest).To(BeNumerically("<=", 10*time.Second))
		last = shortest
	}
	g.Expect(last).To(Equal(5 * time.Second))
	low.Reset()
	g.Expect(low.Next()).To(Equal(50 * time.Millisecond))
}
