package configuration

import (
	"context"
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/api"
	"oleandershunt.example/oleandershunt/internal/core/config"
	"oleandershunt.example/oleandershunt/internal/peer"
)

// countingReader returns a pageReader for the pages in force on m. It counts the
// reads by hash in read, and stops when read has stop hashes.
func countingReader(m *Manager, read map[string]int, stop int) pageReader {
	return func(_ context.Context, hashes []string, add func(string, []byte) error) error {
		inForce, _ := m.store.current()
		for _, ref := range append(inForce.set.Pages(), indexesOf(inForce.release)...) {
			for _, hash := range hashes {
				if hash != ref.Hash || len(read) == stop {
					continue
				}
				read[hash]++
				value, _ := inForce.set.PageValue(ref)
				if err := add(hash, value); err != nil {
					return err
				}
			}
		}
		return nil
	}
}

// When a VM starts, the platform and another VM offer the same release at the same
// time. With a loader for each offer, the VM would decode all pages and hold the
// configuration in memory several times.
func TestConcurrentOffersShareLoadedPages(t *testing.T) {
	g := NewWithT(t)
	p := newPair(t)
	p.accept(accounts(2_000)...)
	next, _ := p.from.store.current()
	empty, _ := p.to.store.current()
	first := p.to.joinLoad(empty, next)
	g.Expect(p.to.joinLoad(empty, next)).To(BeIdenticalTo(first))

	read := make(map[string]int)
	g.Expect(p.to.readPages(t.Context(), first, []pageReader{countingReader(p.from, read, 5)})).To(Succeed())
	g.Expect(read).To(HaveLen(5))
	g.Expect(p.to.load(t.Context(), empty, next, config.FromPeer, []pageReader{countingReader(p.from, read, -1)})).To(Succeed())
	p.expectSameRelease()
	for hash, times := range read {
		g.Expect(times).To(Equal(1), hash)
	}

	value, _ := next.set.PageValue(next.set.Pages()[0])
	g.Expect(first.add(next.set.Pages()[0].Hash, value)).To(MatchError(errSuperseded))
	p.to.leaveLoad(first)
	p.to.leaveLoad(first)
	g.Expect(p.to.loading).To(BeNil(), "the load is discarded when its last reader leaves")
}

// A damaged page from another VM must not stay in the shared loader: the platform's
// offer of the same release would then fail although its pages are intact.
func TestCorruptPageIsNotSharedWithOtherOffers(t *testing.T) {
	g := NewWithT(t)
	p := newPair(t)
	p.accept(accounts(10_000)...)
	next, _ := p.from.store.current()
	empty, _ := p.to.store.current()
	l := p.to.joinLoad(empty, next)
	defer p.to.leaveLoad(l)
	for range config.ReadRounds {
		missing, err := l.missing()
		g.Expect(err).NotTo(HaveOccurred())
		for _, hash := range missing {
			g.Expect(l.add(hash, []byte(`{"kind":"ClientAccount","shard":"","records":[],"pages":[]}`))).To(MatchError(errPageRejected))
		}
		reader := countingReader(p.from, map[string]int{}, -1)
		g.Expect(reader(t.Context(), missing, l.add)).To(Succeed())
	}
	set, err := l.set()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(set.References()).To(Equal(next.release.Pages))
}

// Cached ranks must be recomputed when a VM leaves or its data centre changes:
// otherwise two VMs have one role, or none does.
func TestRanksFollowTheDirectory(t *testing.T) {
	g := NewWithT(t)
	m := idleManager(peer.Member{Name: "vm-0", DataCentre: "a"})
	for i := range 40 {
		m.directory.Put(peer.Member{Name: fmt.Sprintf("vm-%d", i), DataCentre: string(rune('a' + i%3))})
	}
	fresh := func() *ranks { return newRanks(m.directory.Placements(), m.directory.Members(), m.self) }
	cached := m.ranks()
	g.Expect(cached).To(Equal(fresh()))

	m.directory.Change(cached.local[0], func(member *peer.Member) { member.Release = 7 })
	g.Expect(m.ranks()).To(BeIdenticalTo(cached), "a member's release doesn't affect ranks")

	for _, change := range []func(){
		func() { m.directory.Remove(cached.local[0]) },
		func() { m.directory.Change(cached.watchers[0], func(member *peer.Member) { member.DataCentre = "d" }) },
		func() { m.directory.Put(peer.Member{Name: cached.watchers[1], DataCentre: "e"}) },
		func() { m.directory.Put(peer.Member{Name: "vm-new", DataCentre: "a"}) },
	} {
		before := m.ranks()
		change()
		g.Expect(m.ranks()).NotTo(Equal(before))
		g.Expect(m.ranks()).To(Equal(fresh()))
	}
}

// A VM that starts with a release in force and lists the records must share the
// values in force, or it holds each record twice.
func TestListsReuseRecordsInForce(t *testing.T) {
	g := NewWithT(t)
	p := newPair(t)
	p.accept(accounts(10)...)
	sink := recordSink{manager: p.from, kind: api.KindClientAccount}
	inForce, _ := p.from.store.current()
	record := inForce.set.Record(api.KindClientAccount, "account-00003")
	held := sink.Held(record.Name, record.Version)
	g.Expect(&held[0]).To(BeIdenticalTo(&record.Raw[0]), "the same bytes, not a copy")
	g.Expect(sink.Held(record.Name, record.Version+1)).To(BeNil(), "another version has another value")
	g.Expect(sink.Held("unknown", record.Version)).To(BeNil())
}
