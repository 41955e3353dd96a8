package config

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/api"
)

// setWithManyPages returns a set with more pages than a release lists without indexes.
func setWithManyPages(t *testing.T) *Set {
	records := make([]*Record, 0, 4*maxIndexRefs)
	for i := range 4 * maxIndexRefs {
		records = append(records, paddedRecord(t, fmt.Sprintf("account-%04d", i), 1, pageBytes*2/3))
	}
	return newSet(3, records)
}

// readAll reads what base lacks of a release from source, as a VM does.
func readAll(g *WithT, base, source *Set, release api.Release) (values map[string][]byte, reads int) {
	values = map[string][]byte{}
	for range ReadRounds {
		missing, err := base.Missing(release, values)
		g.Expect(err).NotTo(HaveOccurred())
		for _, ref := range missing {
			value, ok := source.PageValue(ref)
			g.Expect(ok).To(BeTrue())
			values[ref.Hash] = value
			reads++
		}
	}
	return values, reads
}

func TestManyPagesAreListedInIndexes(t *testing.T) {
	g := NewWithT(t)
	set := setWithManyPages(t)
	release := api.Release{Sequence: 3, Pages: set.References()}
	g.Expect(len(set.Pages())).To(BeNumerically(">", 2*maxIndexRefs))
	g.Expect(len(release.Pages)).To(BeNumerically("<", maxIndexRefs))
	values, _ := readAll(g, Empty(), set, release)
	loaded, err := Empty().Load(release, values)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(loaded.Pages()).To(Equal(set.Pages()))
	g.Expect(loaded.References()).To(Equal(release.Pages))

	next := set.with(4, map[api.Kind][]edit{api.KindClientAccount: {{name: "account-0007"}}})
	release.Pages = next.References()
	values, reads := readAll(g, loaded, next, release)
	g.Expect(reads).To(BeNumerically("<=", 3), "an index and the pages that replace one page")
	loaded, err = loaded.Load(release, values)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(loaded.Pages()).To(Equal(next.Pages()))
}

// An index that is corrupt, lists pages of another shard or kind, or is missing must
// be detected. Otherwise a VM would run records that were never accepted, or lack
// some.
func TestDamagedIndexesAreRefused(t *testing.T) {
	g := NewWithT(t)
	set := setWithManyPages(t)
	release := api.Release{Sequence: 3, Pages: set.References()}
	values, _ := readAll(g, Empty(), set, release)
	at := slices.IndexFunc(release.Pages, func(ref api.PageRef) bool { return ref.Index })
	ref := release.Pages[at]
	intact := values[ref.Hash]
	for name, given := range map[string]string{
		"cut":     string(intact[:len(intact)-2]),
		"changed": strings.Replace(string(intact), `"shard":"`, `"shard":"1`, 1),
		"shorter": strings.Replace(string(intact), `"pages":["`, `"pages":[],"was":["`, 1),
	} {
		values[ref.Hash] = []byte(given)
		_, err := Empty().Load(release, values)
		g.Expect(err).To(MatchError(ErrDamagedPage), name)
	}
	delete(values, ref.Hash)
	_, err := Empty().Load(release, values)
	g.Expect(err).To(MatchError(ErrMissingPages))

	// An intact index whose shard or kind is not the one that the release lists.
	values[ref.Hash] = intact
	misplaced := slices.Clone(release.Pages)
	misplaced[at].Shard += "1111"
	_, err = Empty().Load(api.Release{Sequence: 3, Pages: misplaced}, values)
	g.Expect(err).To(MatchError(ErrDamagedPage))
	misplaced[at] = api.PageRef{Kind: api.KindRoute, Shard: ref.Shard, Hash: ref.Hash, Index: true}
	_, err = Empty().Load(api.Release{Sequence: 3, Pages: misplaced}, values)
	g.Expect(err).To(MatchError(ErrDamagedPage))
}

// A program version without indexes wrote the release in force; a version with
// indexes then changes a record. It must write all indexes of its release, also
// those of unchanged pages, which its set can produce but the platform lacks.
func TestIndexesThatTheFormerReleaseLacksAreWritten(t *testing.T) {
	g := NewWithT(t)
	set := setWithManyPages(t)
	former := api.Release{Sequence: 3, Pages: set.Pages()}
	write := func(version uint64) Change {
		record := paddedRecord(t, "account-0007", version, pageBytes*2/3)
		return Change{Kind: record.Kind, Name: record.Name, Version: version, Raw: record.Raw}
	}
	out, err := Accept(AcceptInput{InForce: set, Release: former, Changes: []Change{write(9)}, By: "vm"})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(out.Release).NotTo(BeNil())
	for _, ref := range out.Release.Pages {
		if ref.Index {
			g.Expect(out.NewPages).To(ContainElement(ref))
		}
	}
	again, err := Accept(AcceptInput{InForce: out.Set, Release: *out.Release, Changes: []Change{write(10)}, By: "vm"})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(again.NewPages).To(HaveLen(2), "a page and its index")
}

// A program version without indexes must refuse a release that has them instead of
// reading it as one with fewer pages. The reference of an index therefore starts
// with a kind that the older version does not know.
func TestIndexRefDiffersFromPageRef(t *testing.T) {
	g := NewWithT(t)
	index := api.PageRef{Kind: api.KindRoute, Shard: "01", Hash: "ab", Index: true}
	text, err := json.Marshal(index)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(text)).To(Equal(`"Index:Route/01/ab"`))
	var read api.PageRef
	g.Expect(json.Unmarshal(text, &read)).To(Succeed())
	g.Expect(read).To(Equal(index))
	g.Expect(json.Unmarshal([]byte(`"Index:/01/ab"`), &read)).NotTo(Succeed())
}
