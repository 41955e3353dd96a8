package mirror_test

import (
	"context"
	"testing"
	"time"

	"connectrpc.com/connect"
	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/core/history"
	"oleandershunt.example/oleandershunt/internal/mirror"
	entriesv1 "oleandershunt.example/oleandershunt/internal/peer/gen/peer/entries/v1"
	"oleandershunt.example/oleandershunt/internal/platform"
)

// knownWithin is how soon every VM must know a change although other VMs do not answer:
// servers that leave keep running for 2 s or more.
const knownWithin = "1900ms"

// Guards against store calls growing with the number of VMs times the number of changes:
// 27 VMs of three data centres follow the same entries, and only the readers may call
// the store.
func TestOnlyReadersCallTheStore(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(t, newStore("s1"), 3, 9)
	for _, v := range c.vms {
		g.Eventually(v.known.has("s1"), "5s").Should(BeTrue())
	}
	readers := c.readers()
	g.Expect(readers).To(HaveLen(mirror.ReaderCount))
	g.Expect(readers[0].DataCentre).NotTo(Equal(readers[1].DataCentre), "the loss of one data centre must leave one reader")
	for _, v := range readers {
		g.Expect(v.Cores).To(Equal(0.8), "the VMs with the most cores must be readers")
	}
	before := make(map[string]int64)
	calls := func(v *vm) int64 { return v.store.lists.Load() + v.store.watches.Load() }
	for _, v := range c.vms {
		before[v.Name] = calls(v)
	}
	for _, name := range []string{"s2", "s3", "s4"} {
		c.store.set(name, false)
		for _, v := range c.vms {
			g.Eventually(v.known.has(name), knownWithin).Should(BeTrue())
		}
	}
	for _, v := range c.vms {
		if v.follower.Reads() {
			g.Expect(calls(v)).To(BeNumerically(">=", before[v.Name]+3))
		} else {
			g.Expect(calls(v)).To(Equal(before[v.Name]), "a VM that is not a reader must fetch from others")
		}
	}
}

// Guards against requests to a server that has left: the readers, or the first VMs of a
// data centre, stop answering with their connections open just as a server leaves, and
// the other VMs wait for them.
func TestDepartureIsKnownWhenSourcesStopAnswering(t *testing.T) {
	for name, silent := range map[string]func(c *cluster) []*vm{
		"readers": func(c *cluster) []*vm { return c.readers() },
		"first VMs of a data centre": func(c *cluster) []*vm {
			return []*vm{c.find(c.ranked("dc-2")[0].Name), c.find(c.ranked("dc-2")[1].Name)}
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			c := newCluster(t, newStore("s1", "s2"), 3, 6)
			for _, v := range c.vms {
				g.Eventually(v.known.has("s1"), "5s").Should(BeTrue())
			}
			for _, v := range silent(c) {
				v.unresponsive.Store(true)
			}
			c.store.set("s1", true)
			for _, v := range c.vms {
				if !v.unresponsive.Load() {
					g.Eventually(v.known.has("s1"), knownWithin).Should(BeFalse(), v.Name)
				}
			}
		})
	}
}

// Guards against VMs serving stale data to one another forever while the store answers
// none of them: an answer from another VM must not count as proof if that VM got it from
// this one.
func TestStoreOutageIsDetectedAndRecovered(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(t, newStore("s1"), 2, 4)
	for _, v := range c.vms {
		g.Eventually(v.known.has("s1"), "5s").Should(BeTrue())
	}
	c.store.setDown(true)
	for _, v := range c.vms {
		g.Eventually(v.known.broken, "5s").Should(BeNumerically(">", 0), "the sink must be notified that the store is unavailable")
	}
	c.store.set("s2", false)
	c.store.setDown(false)
	for _, v := range c.vms {
		g.Eventually(v.known.has("s2"), knownWithin).Should(BeTrue())
	}
}

// newListedLog returns a log with one listed object, and the sink that records what the
// log passes on.
func newListedLog(t *testing.T) (*mirror.Log, *names) {
	known := &names{known: make(map[string]bool)}
	log := mirror.NewLog(known, func() time.Duration { return time.Minute })
	NewWithT(t).Expect(log.Listed(platform.List{Version: 5, Items: []platform.Object{{Name: "s1", Version: 3}}})).To(Succeed())
	return log, known
}

// Guards against dropping a live server after a store outage that begins and ends while
// this VM waits at another one. Entries that lapse in an outage may reappear, so this VM
// must learn of the outage from the other one.
func TestOutageIsLearntFromAnotherVM(t *testing.T) {
	g := NewWithT(t)
	log, known := newListedLog(t)
	age, back := uint64(1000), uint64(400_000)
	answer := &entriesv1.ChangesResponse{Version: 9, ProofAgeMicros: &age}
	follower := mirror.NewFollower(log, mirror.Options{
		Kind: kind, Self: "vm-1", Settled: func() bool { return false }, Contacts: []string{"vm-2"},
		Ask: func(context.Context, string, *entriesv1.ChangesRequest) (*entriesv1.ChangesResponse, error) {
			return answer, nil
		},
		Now: func() time.Duration { return time.Minute },
	})
	_, ok := follower.Next(t.Context(), 5)
	g.Expect(ok).To(BeTrue())
	g.Expect(known.broken()).To(BeZero())
	answer.BackAgeMicros = &back
	_, ok = follower.Next(t.Context(), 9)
	g.Expect(ok).To(BeTrue())
	g.Expect(known.broken()).To(Equal(1))
	_, ok = follower.Next(t.Context(), 9)
	g.Expect(ok).To(BeTrue())
	g.Expect(known.broken()).To(Equal(1), "the same outage must be reported once")
}

// Guards against a VM that is cut off from the store, with its watch silent, reporting
// forever that nothing changes: its data must have an age.
func TestOldProofIsRejected(t *testing.T) {
	g := NewWithT(t)
	log, _ := newListedLog(t)
	age := uint64(3_100_000)
	follower := mirror.NewFollower(log, mirror.Options{
		Kind: kind, Self: "vm-1", Settled: func() bool { return false }, Contacts: []string{"vm-2"},
		Ask: func(context.Context, string, *entriesv1.ChangesRequest) (*entriesv1.ChangesResponse, error) {
			return &entriesv1.ChangesResponse{Version: 9, ProofAgeMicros: &age}, nil
		},
		Now: func() time.Duration { return time.Minute },
	})
	_, ok := follower.Next(t.Context(), 5)
	g.Expect(ok).To(BeFalse())
}

// Guards against a VM that still has a former history of the store keeping other VMs in
// it.
func TestAnswerFromFormerHistoryIsRejected(t *testing.T) {
	g := NewWithT(t)
	log, _ := newListedLog(t)
	former, err := history.NewVersion(1, 900)
	g.Expect(err).NotTo(HaveOccurred())
	present, err := history.NewVersion(2, 5)
	g.Expect(err).NotTo(HaveOccurred())
	age := uint64(0)
	follower := mirror.NewFollower(log, mirror.Options{
		Kind: kind, Self: "vm-1", Settled: func() bool { return false }, Contacts: []string{"vm-2"},
		Ask: func(context.Context, string, *entriesv1.ChangesRequest) (*entriesv1.ChangesResponse, error) {
			return &entriesv1.ChangesResponse{Version: uint64(former), ProofAgeMicros: &age}, nil
		},
		Now: func() time.Duration { return time.Minute },
	})
	_, ok := follower.Next(t.Context(), present)
	g.Expect(ok).To(BeFalse())
}

func TestDroppedChangesReturnAllObjects(t *testing.T) {
	g := NewWithT(t)
	log, _ := newListedLog(t)
	follower := mirror.NewFollower(log, mirror.Options{})
	follower.Answered()
	service := &mirror.Service{Log: log}
	ask := func(known uint64) *entriesv1.ChangesResponse {
		answer, err := service.Changes(t.Context(), connect.NewRequest(&entriesv1.ChangesRequest{Known: known}))
		g.Expect(err).NotTo(HaveOccurred())
		return answer.Msg
	}
	g.Expect(ask(0).Whole).To(BeTrue())
	g.Expect(ask(4).Whole).To(BeTrue(), "changes before the list are not retained")
	g.Expect(ask(5).Entries).To(BeEmpty())
	const many = 600
	for i := range history.Version(many) {
		g.Expect(log.Watched(platform.WatchEvent{Object: platform.Object{Name: "s2", Version: 6 + i}})).To(Succeed())
	}
	g.Expect(ask(5).Whole).To(BeTrue())
	g.Expect(ask(5).Entries).To(HaveLen(2))
	newest := ask(5 + many - 2)
	g.Expect(newest.Whole).To(BeFalse())
	g.Expect(newest.Entries).To(HaveLen(2))
	g.Expect(newest.Version).To(Equal(uint64(5 + many)))
}
