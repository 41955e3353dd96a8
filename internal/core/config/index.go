package config

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"oleandershunt.example/oleandershunt/api"
)

const (
	// maxIndexRefs is the largest number of pages in one index, and in a release
	// that lists its pages without indexes. A change writes one index and the
	// list of indexes; both stay short if an index has about as many pages as
	// there are indexes.
	maxIndexRefs = 64
)

// ReadRounds is the number of rounds of listing and reading missing pages that
// load a whole release: indexes are read before the pages that they list.
const ReadRounds = 2

// References returns the references that a release of the set lists: its pages,
// or indexes of them if there are more than maxIndexRefs. Like the pages, the
// result depends on the records only, not on their history.
func (s *Set) References() []api.PageRef {
	pages := s.Pages()
	if len(pages) <= maxIndexRefs {
		return pages
	}
	var refs []api.PageRef
	for _, kind := range api.OperatorKinds() {
		refs = append(refs, indexRefs(kind, "", s.tables[kind].refs())...)
	}
	return refs
}

func (t *table) refs() []api.PageRef {
	refs := make([]api.PageRef, 0, len(t.pages))
	for _, p := range t.pages {
		refs = append(refs, p.ref)
	}
	return refs
}

// indexRefs groups the pages of a shard, which must be in order, into indexes. It
// splits the shard until each index has at most maxIndexRefs pages. A single page
// is referenced directly.
func indexRefs(kind api.Kind, shard string, pages []api.PageRef) []api.PageRef {
	switch {
	case len(pages) <= 1:
		return pages
	case len(pages) <= maxIndexRefs:
		value := indexValue(kind, shard, pages)
		return []api.PageRef{{Kind: kind, Shard: shard, Hash: contentHash(value), Index: true}}
	}
	right := slices.IndexFunc(pages, func(ref api.PageRef) bool { return strings.HasPrefix(ref.Shard, shard+"1") })
	if right < 0 {
		right = len(pages)
	}
	return append(indexRefs(kind, shard+"0", pages[:right]), indexRefs(kind, shard+"1", pages[right:])...)
}

func indexValue(kind api.Kind, shard string, pages []api.PageRef) []byte {
	value, err := json.Marshal(api.PageIndex{Kind: kind, Shard: shard, Pages: pages})
	if err != nil {
		// Every field of an index can be encoded as JSON.
		panic(err)
	}
	return value
}

// indexValue returns the JSON of the index that ref names, built from the set's
// own pages. It returns false if its content hash differs.
func (s *Set) indexValue(ref api.PageRef) ([]byte, bool) {
	t, ok := s.tables[ref.Kind]
	if !ok {
		return nil, false
	}
	value := indexValue(ref.Kind, ref.Shard, t.refsWithin(ref.Shard))
	return value, contentHash(value) == ref.Hash
}

// refsWithin lists the pages whose shards lie within the given one.
func (t *table) refsWithin(shard string) []api.PageRef {
	var refs []api.PageRef
	for _, p := range t.pages[t.firstPageFrom(shard):] {
		if !strings.HasPrefix(p.ref.Shard, shard) {
			break
		}
		refs = append(refs, p.ref)
	}
	return refs
}

// ReadIndex decodes an index. It returns ErrDamagedPage if the content does not
// match the hash byte for byte or if the index lists pages outside its shard.
func ReadIndex(ref api.PageRef, value []byte) ([]api.PageRef, error) {
	var content api.PageIndex
	if err := json.Unmarshal(value, &content); err != nil {
		return nil, eris.Wrapf(ErrDamagedPage, "index %s/%s: %v", ref.Kind, ref.Shard, err)
	}
	if contentHash(indexValue(content.Kind, content.Shard, content.Pages)) != ref.Hash {
		return nil, eris.Wrapf(ErrDamagedPage, "index %s/%s: content hash is not %s", ref.Kind, ref.Shard, ref.Hash)
	}
	for _, page := range content.Pages {
		if page.Index || page.Kind != ref.Kind || !strings.HasPrefix(page.Shard, ref.Shard) {
			return nil, eris.Wrapf(ErrDamagedPage, "index %s/%s lists %s/%s", ref.Kind, ref.Shard, page.Kind, page.Shard)
		}
	}
	return content.Pages, nil
}

// expand lists the pages of a release. It resolves indexes from the set's own
// pages or from values, which is keyed by content hash; the others are returned
// in missing.
func (s *Set) expand(release api.Release, values map[string][]byte) (pages, missing []api.PageRef, err error) {
	for _, ref := range release.Pages {
		if !ref.Index {
			pages = append(pages, ref)
			continue
		}
		if _, own := s.indexValue(ref); own {
			pages = append(pages, s.tables[ref.Kind].refsWithin(ref.Shard)...)
			continue
		}
		value, given := values[ref.Hash]
		if !given {
			missing = append(missing, ref)
			continue
		}
		listed, err := ReadIndex(ref, value)
		if err != nil {
			return nil, nil, err
		}
		pages = append(pages, listed...)
	}
	return pages, missing, nil
}

// unwrittenRefs lists the pages and indexes to write before the next release: the
// pages that the former set lacks and the indexes that the former release does not
// list. The former set can produce indexes that were never written, because a
// program version without indexes may have written its release.
func (s *Set) unwrittenRefs(former *Set, release, next api.Release) []api.PageRef {
	var refs []api.PageRef
	for _, ref := range s.Pages() {
		if former.page(ref) == nil {
			refs = append(refs, ref)
		}
	}
	for _, ref := range next.Pages {
		if ref.Index && !slices.Contains(release.Pages, ref) {
			refs = append(refs, ref)
		}
	}
	return refs
}
