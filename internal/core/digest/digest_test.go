package digest_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"oleandershunt.example/oleandershunt/internal/core/digest"
)

const here = "bornova"

func origin(name string, incarnation uint64) digest.Origin {
	return digest.Origin{Name: name, DataCentre: here, Incarnation: incarnation}
}

// syncStores sends what one store has and the other lacks.
func syncStores(from, to *digest.Store, budget int) []digest.Delta {
	var sent []digest.Delta
	for _, stream := range []digest.Stream{digest.State, digest.Local} {
		sent = append(sent, from.Deltas(here, stream, to.Watermarks(here, stream), budget)...)
	}
	to.Merge(sent)
	return sent
}

// fleetModel is three VMs that write entries and exchange, lose and repeat messages,
// and the entries that each has written last.
type fleetModel struct {
	stores     []*digest.Store
	written    []map[string]string
	sent       []digest.Delta
	watermarks []map[digest.ID]uint64
}

func newFleetModel() *fleetModel {
	m := &fleetModel{}
	for i := range 3 {
		store := digest.NewStore(origin(fmt.Sprintf("vm-%d", i), 1))
		store.Put("m", []byte("here"))
		m.stores = append(m.stores, store)
		m.written = append(m.written, map[string]string{"m": "here"})
		m.watermarks = append(m.watermarks, make(map[digest.ID]uint64))
	}
	return m
}

func (m *fleetModel) actions() map[string]func(*rapid.T) {
	vm := rapid.IntRange(0, 2)
	return map[string]func(*rapid.T){
		"put": func(t *rapid.T) {
			i, key := vm.Draw(t, "vm"), rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")
			value := rapid.SampledFrom([]string{"", "1", "2", "3"}).Draw(t, "value")
			m.stores[i].Put(key, []byte(value))
			m.written[i][key] = value
		},
		"beat": func(t *rapid.T) { m.stores[vm.Draw(t, "vm")].Heartbeat() },
		"purge": func(t *rapid.T) {
			i := vm.Draw(t, "vm")
			m.stores[i].PurgeTombstones(m.stores[i].Version(digest.State))
		},
		"exchange": func(t *rapid.T) {
			from, to := m.stores[vm.Draw(t, "from")], m.stores[vm.Draw(t, "to")]
			m.sent = append(m.sent, syncStores(from, to, rapid.SampledFrom([]int{1, 40, 1 << 20}).Draw(t, "budget"))...)
		},
		"pushOne": func(t *rapid.T) {
			i := vm.Draw(t, "from")
			if delta, ok := m.stores[i].EntryDelta(fmt.Sprintf("vm-%d", i), rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")); ok {
				m.sent = append(m.sent, delta)
				m.stores[vm.Draw(t, "to")].Merge([]digest.Delta{delta})
			}
		},
		"repeatOld": func(t *rapid.T) {
			if len(m.sent) > 0 {
				m.stores[vm.Draw(t, "to")].Merge([]digest.Delta{rapid.SampledFrom(m.sent).Draw(t, "old")})
			}
		},
		"": func(t *rapid.T) { m.check(t) },
	}
}

// check fails if a watermark goes down.
func (m *fleetModel) check(t *rapid.T) {
	for i, store := range m.stores {
		for _, watermark := range store.Watermarks(here, digest.State) {
			if watermark.Version < m.watermarks[i][watermark.ID] {
				t.Fatalf("vm-%d: watermark of %d went from %d to %d", i, watermark.ID, m.watermarks[i][watermark.ID], watermark.Version)
			}
			m.watermarks[i][watermark.ID] = watermark.Version
		}
	}
}

func state(store *digest.Store, name string) map[string]string {
	values := make(map[string]string)
	for _, change := range store.Changes(name) {
		values[change.Key] = string(change.Value)
	}
	return values
}

// Writes, deletions, truncated exchanges, pushed single entries, repeated old
// messages and purged tombstones in any order must leave all VMs with the same
// state, without restoring deleted entries.
func TestAnyOrderOfMessagesConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newFleetModel()
		t.Repeat(m.actions())
		m.exchangeAll()
		for i := range m.stores {
			m.checkAgreement(t, i)
		}
	})
}

func (m *fleetModel) exchangeAll() {
	for range 4 {
		for i := range m.stores {
			for j := range m.stores {
				syncStores(m.stores[i], m.stores[j], 1<<20)
			}
		}
	}
}

// checkAgreement fails if a VM's copy of another VM's entries differs from what that
// VM wrote.
func (m *fleetModel) checkAgreement(t *rapid.T, i int) {
	maps.DeleteFunc(m.written[i], func(_, value string) bool { return value == "" })
	for j, store := range m.stores {
		if got := state(store, fmt.Sprintf("vm-%d", i)); !maps.Equal(got, m.written[i]) {
			t.Fatalf("vm-%d holds %v of vm-%d, which wrote %v", j, got, i, m.written[i])
		}
		if store.StateHash(here) != m.stores[0].StateHash(here) {
			t.Fatalf("equal states have different hashes")
		}
	}
}

// A tombstone spreads and is purged everywhere; then an old pushed copy of the entry
// arrives and must not restore it.
func TestALateCopyDoesNotRestoreAPurgedEntry(t *testing.T) {
	g := NewWithT(t)
	a, b := digest.NewStore(origin("a", 1)), digest.NewStore(origin("b", 1))
	b.Put("s/x", []byte("silent"))
	late, ok := b.EntryDelta("b", "s/x")
	g.Expect(ok).To(BeTrue())
	b.Put("s/x", nil)
	syncStores(b, a, 1<<20)
	b.PurgeTombstones(b.Version(digest.State))
	syncStores(b, a, 1<<20)
	g.Expect(a.Merge([]digest.Delta{late}).Changes).To(BeEmpty())
	g.Expect(state(a, "b")).To(BeEmpty())
}

// One VM forgets a dead process while another still sends its copy of it. The copy
// must not bring the process back.
func TestAForgottenProcessReturnsOnlyIfItsStateAdvanced(t *testing.T) {
	g := NewWithT(t)
	a, b, gone := digest.NewStore(origin("a", 1)), digest.NewStore(origin("b", 1)), digest.NewStore(origin("gone", 1))
	gone.Put("m", []byte("1"))
	syncStores(gone, a, 1<<20)
	syncStores(gone, b, 1<<20)
	a.Forget("gone")
	syncStores(b, a, 1<<20)
	g.Expect(a.DataCentre("gone")).To(BeEmpty())
	gone.Put("t", []byte("2"))
	syncStores(gone, b, 1<<20)
	syncStores(b, a, 1<<20)
	g.Expect(a.DataCentre("gone")).To(Equal(here), "the process is alive and was only partitioned")
}

// A VM is replaced under the same name and old deltas of the earlier process arrive
// late. They must not change the state of the new process.
func TestALateDeltaOfAnEarlierProcessIsIgnored(t *testing.T) {
	g := NewWithT(t)
	a, before, after := digest.NewStore(origin("a", 1)), digest.NewStore(origin("b", 1)), digest.NewStore(origin("b", 2))
	before.Put("s/x", []byte("old"))
	late := before.Deltas(here, digest.State, nil, 1<<20)
	after.Put("m", []byte("new"))
	merged := a.Merge(slices.Concat(late, after.Deltas(here, digest.State, nil, 1<<20)))
	g.Expect(merged.Replaced).To(ConsistOf(origin("b", 1)))
	g.Expect(a.Merge(late).Changes).To(BeEmpty())
	g.Expect(state(a, "b")).To(Equal(map[string]string{"m": "new"}))
}

func TestAProcessCannotBeImpersonatedByAnID(t *testing.T) {
	g := NewWithT(t)
	a := digest.NewStore(origin("a", 1))
	forged := digest.Delta{ID: origin("b", 1).ID(), Origin: origin("c", 1), Upto: 1}
	g.Expect(a.Merge([]digest.Delta{forged}).Joined).To(BeEmpty())
}

// localModel is three VMs that write Local entries and pass heartbeats by digests, and the entries
// that each has written last.
type localModel struct {
	stores  []*digest.Store
	written []map[string]string
}

func newLocalModel() *localModel {
	m := &localModel{}
	for i := range 3 {
		m.stores = append(m.stores, digest.NewStore(origin(fmt.Sprintf("vm-%d", i), 1)))
		m.stores[i].Put("m", []byte("here"))
		m.written = append(m.written, make(map[string]string))
	}
	for range 2 {
		m.exchangeAll(func(from, to *digest.Store) { syncStores(from, to, 1<<20) })
	}
	return m
}

func (m *localModel) exchangeAll(exchange func(from, to *digest.Store)) {
	for _, from := range m.stores {
		for _, to := range m.stores {
			exchange(from, to)
		}
	}
}

// passDigest applies the heartbeats that one VM's digest tells another.
func passDigest(from, to *digest.Store) {
	to.ApplyHeartbeats(to.NewerHeartbeats(from.Watermarks(here, digest.Local), from.RecentChanges(here)))
}

func (m *localModel) actions() map[string]func(*rapid.T) {
	vm := rapid.IntRange(0, 2)
	return map[string]func(*rapid.T){
		"put": func(t *rapid.T) {
			i, key, value := vm.Draw(t, "vm"), rapid.SampledFrom([]string{"a", "b"}).Draw(t, "key"), rapid.SampledFrom([]string{"1", "2"}).Draw(t, "value")
			m.stores[i].PutLocal(key, []byte(value))
			m.written[i][key] = value
		},
		"beats": func(t *rapid.T) {
			store := m.stores[vm.Draw(t, "vm")]
			for range rapid.SampledFrom([]int{1, 2, 31, 32, 33, 70}).Draw(t, "beats") {
				store.Heartbeat()
			}
		},
		"digest":   func(t *rapid.T) { passDigest(m.stores[vm.Draw(t, "from")], m.stores[vm.Draw(t, "to")]) },
		"exchange": func(t *rapid.T) { syncStores(m.stores[vm.Draw(t, "from")], m.stores[vm.Draw(t, "to")], 1<<20) },
	}
}

// check fails if a VM lacks an entry that another one has written.
func (m *localModel) check(t *rapid.T) {
	for i, entries := range m.written {
		for key, value := range entries {
			for j, store := range m.stores {
				if got, _ := store.Entry(fmt.Sprintf("vm-%d", i), digest.Local, key); string(got) != value {
					t.Fatalf("vm-%d has %q as %s of vm-%d, which wrote %q", j, got, key, i, value)
				}
			}
		}
	}
}

// Local entries change, heartbeats pass by digests alone, and messages are lost, in any order: a VM
// must never count as up to date while it lacks a change.
func TestHeartbeatsInDigestsHideNoChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newLocalModel()
		t.Repeat(m.actions())
		for range 3 {
			for _, store := range m.stores {
				store.Heartbeat()
			}
			m.exchangeAll(passDigest)
			m.exchangeAll(func(from, to *digest.Store) { syncStores(from, to, 1<<20) })
		}
		m.check(t)
	})
}
