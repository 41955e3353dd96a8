package backends_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/core/backends"
)

// newFourServers returns a fleet with one path of four servers.
func newFourServers() *backends.Fleet {
	f := backends.New()
	f.Replace(0, []backends.Server{
		server("s1", "a", "fast", 0, 20), server("s2", "a", "fast", 20, 40), server("s3", "a", "fast", 40, 60), server("s4", "a", "fast", 60, 80),
	}, 1)
	return f
}

// fillWithRequests adds requests until there is no capacity and returns how many.
func fillWithRequests(g *WithT, f *backends.Fleet, now time.Duration) int {
	for n := 0; ; n++ {
		choice, err := f.Path(now, service(), request())
		if err != nil {
			g.Expect(err).To(MatchError(backends.ErrFull))
			return n
		}
		f.AddLoad(choice.Load(1000))
	}
}

// Guards against VMs that go on sending requests to a server whose memory is used up earlier than they
// expect, as responses are longer than estimated: it rejected more than half of all requests.
func TestUsableMemoryIsLearnedFromRejections(t *testing.T) {
	g := NewWithT(t)
	f := newFourServers()
	held := fillWithRequests(g, f, 0)
	load := backends.Load{First: "s1", Parts: []backends.LoadPart{{ID: "s1", Memory: 20_000}, {ID: "s2", Memory: 20_000}, {ID: "s3", Memory: 20_000}, {ID: "s4", Memory: 20_000}}}
	free := held / 4
	for range free {
		f.RemoveLoad(load)
	}
	f.RecordNoMemory(0, "s2", service().Engine)
	const later = 100 * time.Millisecond // it counts as full for a moment
	g.Expect(fillWithRequests(g, f, later)).To(BeZero(), "it rejected a request with less in use")
	for range held / 10 {
		f.RemoveLoad(load)
	}
	added := fillWithRequests(g, f, later)
	g.Expect(added).To(BeNumerically(">", 0), "it holds less than at the rejection")
	g.Expect(added).To(BeNumerically("<=", held/10))
	added += fillWithRequests(g, f, 20*time.Second)
	g.Expect(added).To(Equal(free+held/10), "the estimate recovers")
}

// Guards against a server that rejects requests while little of its memory is known to be used, as
// something unknown holds it, being offered requests again at once.
func TestAnUnexplainedRejectionKeepsRequestsOff(t *testing.T) {
	g := NewWithT(t)
	f := newFourServers()
	f.RecordNoMemory(0, "s2", service().Engine)
	_, err := f.Path(150*time.Millisecond, service(), request())
	g.Expect(err).To(MatchError(backends.ErrFull))
	_, err = f.Path(250*time.Millisecond, service(), request())
	g.Expect(err).NotTo(HaveOccurred())
}
