package configuration

import (
	"net"
	"slices"
	"testing"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/api"
	"oleandershunt.example/oleandershunt/internal/core/config"
	"oleandershunt.example/oleandershunt/internal/peer"
	"oleandershunt.example/oleandershunt/internal/platform"
	"oleandershunt.example/oleandershunt/internal/standin"
)

// manyPages is more accounts than a release lists the pages of by itself.
const manyPages = 5_000

// newIndexed is a platform whose release has indexes, and a VM that accepted it.
func newIndexed(tb testing.TB) (*standin.Platform, *acceptor) {
	g := NewWithT(tb)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	store := standin.StartPlatform(listener)
	tb.Cleanup(store.Stop)
	p := newPair(tb)
	p.accept(accounts(manyPages)...)
	p.from.platform = platform.NewClient(store.URL(), platform.WithVM("accepts"), platform.WithBudget(1e6, 1e6))
	a := &acceptor{Manager: p.from}
	inForce, _ := a.store.current()
	outcome := config.AcceptResult{Release: &inForce.release, Set: inForce.set, NewPages: append(inForce.set.Pages(), indexesOf(inForce.release)...)}
	g.Expect(indexesOf(inForce.release)).NotTo(BeEmpty())
	g.Expect(a.publish(tb.Context(), api.Release{}, 0, outcome)).To(Succeed())
	return store, a
}

func indexesOf(release api.Release) []api.PageRef {
	return slices.DeleteFunc(slices.Clone(release.Pages), func(ref api.PageRef) bool { return !ref.Index })
}

// Symptom: a VM that starts finds pages of the release gone. Sequence: the
// release lists its pages in indexes; a sweep runs, also while an index can't be
// read. Cause: only what the release names itself was kept.
func TestSweepKeepsWhatIndexesList(t *testing.T) {
	g := NewWithT(t)
	_, a := newIndexed(t)
	change := account(7, 100)
	change.Version = manyPages + 1
	acceptNext(t, a, change)
	_, err := a.platform.Create(t.Context(), string(api.KindPage), "loose", "")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(a.sweepOnce(t.Context(), "")).To(Equal(1), "the loose page")

	starts := idleManager(peer.Member{Name: "starts", DataCentre: "a"})
	starts.platform = a.platform
	g.Expect(starts.readRelease(t.Context())).To(Succeed())
	inForce, _ := a.InForce()
	started, _ := starts.InForce()
	g.Expect(started.Digest()).To(Equal(inForce.Digest()))

	index := indexesOf(inForce)[0]
	object, err := a.platform.Get(t.Context(), string(api.KindPage), index.Hash)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(a.platform.Delete(t.Context(), string(api.KindPage), index.Hash, object.Version)).To(Succeed())
	a.indexes = nil
	pages, err := a.platform.List(t.Context(), string(api.KindPage), "")
	g.Expect(err).NotTo(HaveOccurred())
	_, err = a.sweepOnce(t.Context(), "")
	g.Expect(err).To(MatchError(platform.ErrNotFound))
	left, err := a.platform.List(t.Context(), string(api.KindPage), "")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(left.Items).To(HaveLen(len(pages.Items)), "nothing is deleted on a guess")
}

// A VM that starts during an outage reads indexes and pages from a peer.
func TestPeersServeIndexes(t *testing.T) {
	p := newPair(t)
	p.accept(accounts(manyPages)...)
	inForce, _ := p.from.InForce()
	NewWithT(t).Expect(indexesOf(inForce)).NotTo(BeEmpty())
	p.to.platform = nil
	p.ask()
}
