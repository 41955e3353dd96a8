package config

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"testing"

	"pgregory.net/rapid"

	"oleandershunt.example/oleandershunt/api"
)

// TestMain sets a fixed seed for property tests, so that every run has the same
// result. Flags on the command line override it.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "200", "rapid.steps": "80"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// store simulates the platform's records and Release object. It keeps its history,
// so that delayed lists and events can be simulated.
type store struct {
	version  uint64
	records  map[string]Change
	history  []map[string]Change
	events   []Change
	releases []api.Release
	sets     []*Set
}

func (s *store) write(name, raw string) {
	s.version++
	change := Change{Kind: api.KindModel, Name: name, Version: s.version}
	delete(s.records, name)
	if raw != "" {
		change = recordChange(api.KindModel, name, s.version, "v1", raw)
		s.records[name] = change
	}
	s.events = append(s.events, change)
	s.history = append(s.history, maps.Clone(s.records))
}

func (s *store) latest() int { return len(s.releases) - 1 }

// vm is the configuration state of one VM.
type vm struct {
	view    *View
	set     *Set
	release api.Release
}

// offer offers release i of the store to the VM, which decides whether to adopt it.
func (v *vm) offer(t *rapid.T, s *store, i int, source Source) {
	before := v.release.Sequence
	if DecideRelease(v.release, s.releases[i], source) == Adopt {
		values := map[string][]byte{}
		missing, err := v.set.Missing(s.releases[i], nil)
		if err != nil {
			t.Fatalf("listing missing pages: %v", err)
		}
		for _, ref := range missing {
			values[ref.Hash], _ = s.sets[i].PageValue(ref)
		}
		next, err := v.set.Load(s.releases[i], values)
		if err != nil {
			t.Fatalf("loading the release: %v", err)
		}
		v.view.Rebase(v.set, next)
		v.set, v.release = next, s.releases[i]
	}
	if v.release.Sequence < before || v.set.Release != v.release.Sequence {
		t.Fatalf("release in force went from %d to %d", before, v.release.Sequence)
	}
}

// accept builds the next release from the VM's view and the release that it knows,
// and writes it if the store's newest release is still that one.
func (v *vm) accept(t *rapid.T, s *store) {
	out, err := Accept(AcceptInput{InForce: v.set, Release: v.release, Changes: v.view.Changes(), Seen: v.view.Seen(), By: "vm"})
	if err != nil && !IsConflict(err) {
		t.Fatalf("accept: %v", err)
	}
	if err != nil || out.Release == nil || s.releases[s.latest()].Digest() != v.release.Digest() {
		return
	}
	checkNothingLost(t, s.sets[s.latest()], out.Set, s)
	s.releases = append(s.releases, *out.Release)
	s.sets = append(s.sets, out.Set)
}

// checkNothingLost compares a release with the previous one: a record may only
// change to a later version, or be removed if the store deleted it after that
// version.
func checkNothingLost(t *rapid.T, before, after *Set, s *store) {
	for _, d := range before.Compare(after) {
		if d.Before == nil || d.After != nil && d.After.Version > d.Before.Version {
			continue
		}
		deleted := false
		for _, change := range s.events {
			deleted = deleted || change.Name == d.Name && len(change.Raw) == 0 && change.Version > d.Before.Version
		}
		if d.After != nil || !deleted {
			t.Fatalf("%s was accepted at version %d and is reverted to %+v", d.Name, d.Before.Version, d.After)
		}
	}
}

// Two or three VMs receive lists and watch events late, twice or from before a
// pause, adopt releases from each other in any order, and accept changes from what
// they know. No accepted change may be lost, no deleted record may return and no
// VM's release in force may regress. In the end all VMs must converge to the store.
func TestReleasesNeverGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &store{records: map[string]Change{}, history: []map[string]Change{{}}, releases: []api.Release{{}}, sets: []*Set{Empty()}}
		vms := make([]*vm, rapid.IntRange(2, 3).Draw(t, "vms"))
		for i := range vms {
			vms[i] = &vm{view: NewView(), set: Empty()}
		}
		pick := func(t *rapid.T) *vm { return rapid.SampledFrom(vms).Draw(t, "vm") }
		recent := func(t *rapid.T, n int, label string) int { return rapid.IntRange(max(0, n-6), n).Draw(t, label) }
		t.Repeat(map[string]func(*rapid.T){
			"write": func(t *rapid.T) {
				spec := fmt.Sprintf(`{"layers":%d,"version":"w"}`, rapid.IntRange(0, 9).Draw(t, "layers"))
				s.write(rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "name"), spec)
			},
			"delete": func(t *rapid.T) { s.write(rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "name"), "") },
			"list": func(t *rapid.T) {
				v, at := pick(t), recent(t, len(s.history)-1, "list")
				v.list(s, at)
			},
			"watch": func(t *rapid.T) {
				v := pick(t)
				// Events arrive in order from the VM's position, or are repeated.
				from := recent(t, int(v.view.seen[api.KindModel]), "from")
				to := rapid.IntRange(from, len(s.events)).Draw(t, "to")
				for _, change := range s.events[from:to] {
					v.view.ApplyEvent(change, v.set)
				}
			},
			"accept": func(t *rapid.T) { pick(t).accept(t, s) },
			"offer": func(t *rapid.T) {
				source := rapid.SampledFrom([]Source{FromPlatform, FromPeer}).Draw(t, "source")
				pick(t).offer(t, s, recent(t, s.latest(), "release"), source)
			},
		})
		checkConvergence(t, s, vms)
	})
}

func (v *vm) list(s *store, at int) {
	var items []Change
	for _, change := range s.history[at] {
		items = append(items, change)
	}
	v.view.ApplyList(api.KindModel, uint64(at), items, v.set)
}

// checkConvergence gives every VM the newest release and list, and checks that every
// record of the store is in force or was refused.
func checkConvergence(t *rapid.T, s *store, vms []*vm) {
	first := vms[0]
	first.offer(t, s, s.latest(), FromPlatform)
	first.list(s, len(s.history)-1)
	first.accept(t, s)
	for _, v := range vms {
		v.offer(t, s, s.latest(), FromPlatform)
		v.list(s, len(s.history)-1)
		for _, change := range v.view.Changes() {
			if len(change.Raw) == 0 || len(modelViolations(change)) == 0 {
				t.Fatalf("%s at version %d is neither in force nor refused", change.Name, change.Version)
			}
		}
	}
}

func modelViolations(change Change) api.Violations {
	document, err := api.Decode(change.Raw)
	if err != nil {
		return api.Violations{api.FormViolation(change.Key(), err)}
	}
	return api.Validate(document)
}
