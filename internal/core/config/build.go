package config

import (
	"encoding/json"
	"fmt"

	"github.com/rotisserie/eris"

	"oleandershunt.example/oleandershunt/api"
)

// ErrMissingPages reports that pages or indexes of a release have not been read yet.
var ErrMissingPages = eris.New("pages of the release are missing: read them from the platform or another VM")

// Build makes a set directly from documents, without pages of a release. It
// returns an error for the first document that can't be decoded. It does not
// validate the records.
func Build(release uint64, documents []api.Document) (*Set, error) {
	records := make([]*Record, 0, len(documents))
	for _, document := range documents {
		raw, err := json.Marshal(document)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", document.Key(), err)
		}
		record, err := newRecord(0, document, raw)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", document.Key(), err)
		}
		records = append(records, record)
	}
	return newSet(release, records), nil
}

// Change is the write or deletion of a record in the platform.
type Change struct {
	Kind api.Kind
	Name string
	// Version is the platform's version of the write or deletion.
	Version uint64
	// Raw is the record's JSON. It is empty if the record was deleted.
	Raw json.RawMessage
}

// Key is the identity of the record, as "Kind/name".
func (c Change) Key() string { return api.Key(c.Kind, c.Name) }

// with returns a new set with the edits applied. Unchanged tables and pages are
// shared with s.
func (s *Set) with(release uint64, edits map[api.Kind][]edit) *Set {
	next := &Set{
		Release: release, Models: s.Models, Pipelines: s.Pipelines, Routes: s.Routes,
		tables: make(map[api.Kind]*table, len(s.tables)), keys: s.keys,
	}
	for kind, t := range s.tables {
		next.tables[kind] = t
		if len(edits[kind]) > 0 {
			next.tables[kind] = t.with(edits[kind])
		}
	}
	next.deriveChanged(s, edits)
	return next
}

// deriveChanged rebuilds the lookup structures that the edits affect. The key
// index is rebuilt from scratch if more than half of the accounts changed.
func (s *Set) deriveChanged(former *Set, edits map[api.Kind][]edit) {
	if len(edits[api.KindModel]) > 0 {
		s.Models = specMap[api.ModelSpec](s.tables[api.KindModel])
	}
	if len(edits[api.KindPipeline]) > 0 {
		s.Pipelines = specMap[api.PipelineSpec](s.tables[api.KindPipeline])
	}
	if len(edits[api.KindRoute]) > 0 {
		s.Routes = specMap[api.RouteSpec](s.tables[api.KindRoute])
	}
	accounts := edits[api.KindClientAccount]
	if len(accounts) > s.Count(api.KindClientAccount)/2 {
		s.keys = newKeyIndex(s.tables[api.KindClientAccount])
		return
	}
	var before, after []*Record
	for _, e := range accounts {
		before = append(before, former.Record(api.KindClientAccount, e.name))
		after = append(after, e.record)
	}
	if len(accounts) > 0 {
		s.keys = former.keys.with(before, after)
	}
}

// Pages lists the pages of the set, ordered by kind and shard.
func (s *Set) Pages() []api.PageRef {
	count := 0
	for _, t := range s.tables {
		count += len(t.pages)
	}
	refs := make([]api.PageRef, 0, count)
	for _, kind := range api.OperatorKinds() {
		for _, p := range s.tables[kind].pages {
			refs = append(refs, p.ref)
		}
	}
	return refs
}

// PageValue returns the JSON of the page or index that ref names, if the set has
// it with this content hash.
func (s *Set) PageValue(ref api.PageRef) ([]byte, bool) {
	if ref.Index {
		return s.indexValue(ref)
	}
	if p := s.page(ref); p != nil {
		return p.value(), true
	}
	return nil, false
}

func (s *Set) page(ref api.PageRef) *page {
	if t, ok := s.tables[ref.Kind]; ok {
		return t.page(ref)
	}
	return nil
}

// Missing lists the pages and indexes that must be read to load a release: those
// that are neither in the set nor in values, which is keyed by content hash.
// Pages listed in an index that is itself missing are not included; calling
// Missing and reading the result ReadRounds times finds them all.
func (s *Set) Missing(release api.Release, values map[string][]byte) ([]api.PageRef, error) {
	pages, missing, err := s.expand(release, values)
	if err != nil {
		return nil, err
	}
	for _, ref := range pages {
		if _, given := values[ref.Hash]; !given && s.page(ref) == nil {
			missing = append(missing, ref)
		}
	}
	return missing, nil
}
