package config

import (
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"oleandershunt.example/oleandershunt/api"
)

// Applying the changes between two sets to the older one must yield the same pages
// as the newer one, also when pages are split or merged.
func TestChangesLeadToTheSamePages(t *testing.T) {
	pageCounts := map[int]bool{}
	rapid.Check(t, func(t *rapid.T) {
		before := randomSet(t, Empty(), 1, "before")
		after := randomSet(t, before, 2, "after")
		changes, ok := before.ChangesTo(after, 1_000)
		if !ok {
			t.Fatal("too many changes")
		}
		rebuilt, err := before.Apply(2, changes)
		if err != nil {
			t.Fatal(err)
		}
		if !slices.Equal(rebuilt.Pages(), after.Pages()) || rebuilt.Release != 2 {
			t.Fatalf("rebuilt pages are %v, want %v", rebuilt.Pages(), after.Pages())
		}
		pageCounts[len(after.Pages())] = true
		if remaining, _ := rebuilt.ChangesTo(after, 0); len(remaining) > 0 {
			t.Fatalf("rebuilt set still differs: %v", remaining)
		}
	})
	if len(pageCounts) < 4 {
		t.Fatalf("only %d different page counts occurred", len(pageCounts))
	}
}

// randomSet returns set after random writes and deletions of some of 300 accounts,
// which fill several pages.
func randomSet(t *rapid.T, set *Set, release uint64, label string) *Set {
	random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, label), release))
	editRatio, deleteRatio := random.Float64(), random.Float64()
	edits := map[api.Kind][]edit{}
	for i := range 300 {
		if random.Float64() > editRatio {
			continue
		}
		change := oneAccount(i, release)
		e := edit{name: change.Name}
		if random.Float64() > deleteRatio {
			record, err := NewRecord(change.Version, change.Raw)
			if err != nil {
				t.Fatal(err)
			}
			e.record = record
		}
		edits[change.Kind] = append(edits[change.Kind], e)
	}
	return set.with(release, edits)
}
