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

// knownWithin is how soon every VM must know a change, though VMs fall silent: servers
// that leave go on for 2 s or more.
const knownWithin = "1900ms"

// Symptom: the calls of the store grow with the VMs times the changes. Sequence: 27 VMs
// of three data centres follow the same entries. Cause: each asks the store, though a few
// could tell the others.
func TestTwoVMsReadForAll(t *testing.T) {
	g := NewWithT(t)
	r := newRig(t, newStore("s1"), 3, 9)
	for _, v := range r.vms {
		g.Eventually(v.known.has("s1"), "5s").Should(BeTrue())
	}
	readers := r.readers()
	g.Expect(readers).To(HaveLen(mirror.Readers))
	g.Expect(readers[0].DataCentre).NotTo(Equal(readers[1].DataCentre), "a data centre that is cut off takes one of them")
	for _, v := range readers {
		g.Expect(v.Cores).To(Equal(0.8), "a VM with much processor time has the duty")
	}
	before := make(map[string]int64)
	calls := func(v *vm) int64 { return v.way.lists.Load() + v.way.watches.Load() }
	for _, v := range r.vms {
		before[v.Name] = calls(v)
	}
	for _, name := range []string{"s2", "s3", "s4"} {
		r.store.set(name, false)
		for _, v := range r.vms {
			g.Eventually(v.known.has(name), knownWithin).Should(BeTrue())
		}
	}
	for _, v := range r.vms {
		if v.follower.Reads() {
			g.Expect(calls(v)).To(BeNumerically(">=", before[v.Name]+3))
		} else {
			g.Expect(calls(v)).To(Equal(before[v.Name]), "it learns from others")
		}
	}
}

// Symptom: a server gets requests after it has left. Sequence: the VM that tells all
// others of departures falls silent, with its connections open, at the moment at which a
// server leaves; so do the first VMs of a data centre. Cause: the others wait for them.
func TestADepartureIsKnownThoughThoseWhoTellFallSilent(t *testing.T) {
	for name, silent := range map[string]func(r *rig) []*vm{
		"readers": func(r *rig) []*vm { return r.readers() },
		"first VMs of a data centre": func(r *rig) []*vm {
			return []*vm{r.find(r.ranked("dc-2")[0].Name), r.find(r.ranked("dc-2")[1].Name)}
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			r := newRig(t, newStore("s1", "s2"), 3, 6)
			for _, v := range r.vms {
				g.Eventually(v.known.has("s1"), "5s").Should(BeTrue())
			}
			for _, v := range silent(r) {
				v.dark.Store(true)
			}
			r.store.set("s1", true)
			for _, v := range r.vms {
				if !v.dark.Load() {
					g.Eventually(v.known.has("s1"), knownWithin).Should(BeFalse(), v.Name)
				}
			}
		})
	}
}

// Symptom: VMs tell one another for ever what nobody reads any more. Sequence: the store
// answers none of them. Cause: what was heard from another VM counts as proof, though
// that VM heard it from this one.
func TestNobodyBelievesWhatNobodyReads(t *testing.T) {
	g := NewWithT(t)
	r := newRig(t, newStore("s1"), 2, 4)
	for _, v := range r.vms {
		g.Eventually(v.known.has("s1"), "5s").Should(BeTrue())
	}
	r.store.setDown(true)
	for _, v := range r.vms {
		g.Eventually(v.known.broken, "5s").Should(BeNumerically(">", 0), "it is told that the store is away")
	}
	r.store.set("s2", false)
	r.store.setDown(false)
	for _, v := range r.vms {
		g.Eventually(v.known.has("s2"), knownWithin).Should(BeTrue())
	}
}

// heard is a log whose sink notes what it is told.
func heard(t *testing.T) (*mirror.Log, *names) {
	known := &names{known: make(map[string]bool)}
	log := mirror.NewLog(known, func() time.Duration { return time.Minute })
	NewWithT(t).Expect(log.Listed(platform.List{Version: 5, Items: []platform.Object{{Name: "s1", Version: 3}}})).To(Succeed())
	return log, known
}

// Symptom: a server that lives is dropped after an outage of the store. Sequence: the
// outage begins and ends while this VM waits at another one; that VM finds the server's
// entry lapsed and tells so. Cause: this VM doesn't know of the outage, in which entries
// lapse that come back.
func TestAnOutageThatOnlyOthersNoticedIsLearnt(t *testing.T) {
	g := NewWithT(t)
	log, known := heard(t)
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
	g.Expect(known.broken()).To(Equal(1), "it is the same outage")
}

// Symptom: a VM whose way to the store is dead tells others for ever that nothing
// changes. Sequence: its watch is silent. Cause: its word has no age.
func TestAnOldProofIsNotBelieved(t *testing.T) {
	g := NewWithT(t)
	log, _ := heard(t)
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

// Guards against: a VM that still has a former history of the store keeps others there.
func TestAVMInAFormerHistoryIsNotBelieved(t *testing.T) {
	g := NewWithT(t)
	log, _ := heard(t)
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

func TestChangesThatAreForgottenBringEverything(t *testing.T) {
	g := NewWithT(t)
	log, _ := heard(t)
	follower := mirror.NewFollower(log, mirror.Options{})
	follower.Answered()
	service := &mirror.Service{Log: log}
	ask := func(known uint64) *entriesv1.ChangesResponse {
		answer, err := service.Changes(t.Context(), connect.NewRequest(&entriesv1.ChangesRequest{Known: known}))
		g.Expect(err).NotTo(HaveOccurred())
		return answer.Msg
	}
	g.Expect(ask(0).Whole).To(BeTrue())
	g.Expect(ask(4).Whole).To(BeTrue(), "changes before the list aren't known")
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
