package config

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"oleandershunt.example/oleandershunt/api"
)

// paddedRecord returns an account's record with padding bytes of annotation, so that
// a few records fill a page.
func paddedRecord(t fataler, name string, version uint64, padding int) *Record {
	sum := fmt.Sprintf("%064x", nameHash(name))
	raw := fmt.Sprintf(`{"kind":"ClientAccount","schemaVersion":"v1","name":%q,"annotations":{"pad":"%0*d"},"spec":{"keySHA256":[%q]}}`, name, padding, 0, sum)
	record, err := NewRecord(version, []byte(raw))
	if err != nil {
		t.Fatalf("record: %v", err)
	}
	return record
}

// fataler is implemented by *testing.T and *rapid.T.
type fataler interface {
	Fatalf(format string, args ...any)
}

// The page layout must depend on the records only, not on the history of changes.
// Otherwise two VMs with the same records would disagree about a release and read
// pages that they have.
func TestPagesDependOnRecordsOnly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := map[string]*Record{}
		incremental := newTable(api.KindClientAccount, nil)
		steps := rapid.IntRange(1, 60).Draw(t, "steps")
		for version := range uint64(steps) {
			var edits []edit
			for range rapid.IntRange(1, 4).Draw(t, "edits") {
				name := fmt.Sprintf("a%d", rapid.IntRange(0, 40).Draw(t, "name"))
				if rapid.IntRange(0, 2).Draw(t, "delete") == 0 {
					delete(records, name)
					edits = append(edits, edit{name: name})
					continue
				}
				records[name] = paddedRecord(t, name, version+1, rapid.IntRange(10, 9000).Draw(t, "bytes"))
				edits = append(edits, edit{name: name, record: records[name]})
			}
			before := refsOf(incremental)
			next := incremental.with(edits)
			if !slices.Equal(before, refsOf(incremental)) {
				t.Fatalf("with modified the original table")
			}
			incremental = next
		}
		rebuilt := newTable(api.KindClientAccount, slices.Collect(maps.Values(records)))
		if !slices.Equal(refsOf(incremental), refsOf(rebuilt)) || incremental.count != rebuilt.count {
			t.Fatalf("pages after incremental changes are %v, built in one go %v", refsOf(incremental), refsOf(rebuilt))
		}
		for name, record := range records {
			if incremental.get(name) != record {
				t.Fatalf("%s is not found", name)
			}
		}
	})
}

func refsOf(t *table) []api.PageRef {
	refs := []api.PageRef{}
	for _, p := range t.pages {
		refs = append(refs, p.ref)
	}
	return refs
}

// A page that is corrupt, has another kind, or is listed twice must be refused.
// Otherwise a VM would run records that were never accepted.
func TestDamagedPagesAreRefused(t *testing.T) {
	g := NewWithT(t)
	set := newSet(3, []*Record{paddedRecord(t, "a", 1, 10), paddedRecord(t, "b", 2, 10)})
	release := api.Release{Sequence: 3, Pages: set.Pages()}
	ref := release.Pages[0]
	value, ok := set.PageValue(ref)
	g.Expect(ok).To(BeTrue())

	loaded, err := Empty().Load(release, map[string][]byte{ref.Hash: value})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(loaded.Pages()).To(Equal(set.Pages()))
	owner, ok := loaded.AccountByKey(fmt.Sprintf("%064x", nameHash("b")))
	g.Expect(ok).To(BeTrue())
	g.Expect(owner).To(Equal("b"))

	damaged := slices.Clone(value)
	damaged[len(damaged)/2] ^= 1
	for name, given := range map[string][]byte{"changed": damaged, "cut": value[:len(value)-2], "empty": {}} {
		_, err = Empty().Load(release, map[string][]byte{ref.Hash: given})
		g.Expect(err).To(MatchError(ErrDamagedPage), name)
	}
	_, err = Empty().Load(release, nil)
	g.Expect(err).To(MatchError(ErrMissingPages))
	wrongKind := api.PageRef{Kind: api.KindRoute, Hash: ref.Hash}
	_, err = Empty().Load(api.Release{Sequence: 3, Pages: []api.PageRef{wrongKind}}, map[string][]byte{ref.Hash: value})
	g.Expect(err).To(MatchError(ErrDamagedPage))
	twice := api.Release{Sequence: 3, Pages: []api.PageRef{ref, ref}}
	_, err = Empty().Load(twice, map[string][]byte{ref.Hash: value})
	g.Expect(err).To(MatchError(ErrDamagedPage))
}
