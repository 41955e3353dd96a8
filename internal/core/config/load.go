package config

import (
	"slices"

	"github.com/rotisserie/eris"

	"oleandershunt.example/oleandershunt/api"
)

// Loader builds the set of a release from the pages of another set and pages that
// are added. Pages are decoded as they are added: the JSON of a release takes as
// much memory as its set, so it is never kept as a whole.
type Loader struct {
	base    *Set
	release api.Release
	// requested are the references last returned by Missing, by content hash.
	requested map[string][]api.PageRef
	indexes   map[string][]byte
	pages     map[api.PageRef]*page
	// pageRefs are the pages of the release that are listed directly or in an
	// available index; missingIndexes are the other indexes. Both are valid while
	// resolved is set, and recomputed after an index is added.
	pageRefs, missingIndexes []api.PageRef
	resolved                 bool
}

// NewLoader returns a loader for a release that reuses the pages of s.
func (s *Set) NewLoader(release api.Release) *Loader {
	return &Loader{
		base:      s,
		release:   release,
		requested: map[string][]api.PageRef{},
		indexes:   map[string][]byte{},
		pages:     map[api.PageRef]*page{},
	}
}

// Missing lists the pages and indexes that have not been added yet. Pages listed
// in an index that is itself missing are not included; calling Missing and adding
// the result ReadRounds times finds them all.
func (l *Loader) Missing() ([]api.PageRef, error) {
	if err := l.resolve(); err != nil {
		return nil, err
	}
	missing := slices.Clone(l.missingIndexes)
	for _, ref := range l.pageRefs {
		if l.page(ref) == nil {
			missing = append(missing, ref)
		}
	}
	clear(l.requested)
	for _, ref := range missing {
		l.requested[ref.Hash] = append(l.requested[ref.Hash], ref)
	}
	return missing, nil
}

// resolve computes pageRefs and missingIndexes unless they are valid.
func (l *Loader) resolve() error {
	if l.resolved {
		return nil
	}
	var err error
	l.pageRefs, l.missingIndexes, err = l.base.expand(l.release, l.indexes)
	l.resolved = err == nil
	return err
}

// IsMissing reports whether content that Missing listed has not been added since.
func (l *Loader) IsMissing(hash string) bool { return len(l.requested[hash]) > 0 }

// Add decodes an index or a page. Content that Missing did not list is ignored.
func (l *Loader) Add(hash string, value []byte) error {
	for _, ref := range l.requested[hash] {
		if err := l.add(ref, value); err != nil {
			return err
		}
	}
	delete(l.requested, hash)
	return nil
}

func (l *Loader) add(ref api.PageRef, value []byte) error {
	if ref.Index {
		// A damaged index must not be stored: loading would then fail whatever
		// source the pages are read from.
		if _, err := ReadIndex(ref, value); err != nil {
			return err
		}
		l.indexes[ref.Hash] = value
		l.resolved = false
		return nil
	}
	p, err := readPage(ref, value)
	if err != nil {
		return err
	}
	l.pages[ref] = p
	return nil
}

// page returns an added page or one of the base set, or nil.
func (l *Loader) page(ref api.PageRef) *page {
	if p := l.pages[ref]; p != nil {
		return p
	}
	return l.base.page(ref)
}

// Set builds the set. It returns ErrMissingPages while pages or indexes are missing.
func (l *Loader) Set() (*Set, error) {
	next := &Set{Release: l.release.Sequence, tables: map[api.Kind]*table{}}
	for _, kind := range api.OperatorKinds() {
		next.tables[kind] = &table{kind: kind}
	}
	if err := l.resolve(); err != nil {
		return nil, err
	}
	missing := make([]string, 0, len(l.missingIndexes))
	for _, ref := range l.missingIndexes {
		missing = append(missing, ref.Hash)
	}
	for _, ref := range l.pageRefs {
		t, ok := next.tables[ref.Kind]
		if !ok {
			return nil, eris.Wrapf(api.ErrUnknownKind, "%q", ref.Kind)
		}
		p := l.page(ref)
		if p == nil {
			missing = append(missing, ref.Hash)
			continue
		}
		if !t.canAppend(ref.Shard) {
			return nil, eris.Wrapf(ErrDamagedPage, "%s/%s is out of order", ref.Kind, ref.Shard)
		}
		t.pages = append(t.pages, p)
		t.count += len(p.records)
	}
	if len(missing) > 0 {
		return nil, eris.Wrapf(ErrMissingPages, "%v", missing)
	}
	next.deriveFrom(l.base)
	return next, nil
}

// Load builds the set of a release from the pages of s and from values, which is
// keyed by content hash. Only pages that s lacks are decoded.
func (s *Set) Load(release api.Release, values map[string][]byte) (*Set, error) {
	l := s.NewLoader(release)
	for _, ref := range release.Pages {
		if value, given := values[ref.Hash]; ref.Index && given {
			l.indexes[ref.Hash] = value
		}
	}
	missing, err := l.Missing()
	if err != nil {
		return nil, err
	}
	for _, ref := range missing {
		value, given := values[ref.Hash]
		if !given {
			continue
		}
		if err := l.Add(ref.Hash, value); err != nil {
			return nil, err
		}
	}
	return l.Set()
}
