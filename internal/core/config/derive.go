package config

import (
	"cmp"
	"slices"

	"oleandershunt.example/oleandershunt/api"
)

// deriveFrom fills the lookup structures and shares those that are unchanged with
// a former set.
func (s *Set) deriveFrom(former *Set) {
	edits := map[api.Kind][]edit{}
	for _, kind := range api.OperatorKinds() {
		edits[kind] = former.tables[kind].editsTo(s.tables[kind])
	}
	s.Models, s.Pipelines, s.Routes, s.keys = former.Models, former.Pipelines, former.Routes, former.keys
	s.deriveChanged(former, edits)
}

// editsTo returns the edits that turn t into another table. Pages that are in
// both are skipped.
func (t *table) editsTo(other *table) []edit {
	var edits []edit
	for _, p := range other.pages {
		if t.page(p.ref) == nil {
			edits = append(edits, t.editsInPage(p)...)
		}
	}
	for _, p := range t.pages {
		if other.page(p.ref) != nil {
			continue
		}
		for _, record := range p.records {
			if other.get(record.Name) == nil {
				edits = append(edits, edit{name: record.Name})
			}
		}
	}
	return edits
}

// editsInPage returns an edit for each record of p that t lacks or has in another
// version.
func (t *table) editsInPage(p *page) []edit {
	var edits []edit
	for _, record := range p.records {
		if former := t.get(record.Name); former == nil || !sameRecord(former, record) {
			edits = append(edits, edit{name: record.Name, record: record})
		}
	}
	return edits
}

func sameRecord(a, b *Record) bool { return a.Version == b.Version && slices.Equal(a.Raw, b.Raw) }

// Difference is a record that differs between two sets.
type Difference struct {
	Kind api.Kind
	Name string
	// Before and After are the record in the two sets; nil if the set lacks it.
	Before, After *Record
}

// Compare lists the records that differ between s and a later or earlier set,
// ordered by kind and name. The cost is proportional to the pages that differ.
func (s *Set) Compare(other *Set) []Difference {
	var differences []Difference
	for _, kind := range api.OperatorKinds() {
		edits := s.tables[kind].editsTo(other.tables[kind])
		slices.SortFunc(edits, func(a, b edit) int { return cmp.Compare(a.name, b.name) })
		for _, e := range edits {
			differences = append(differences, Difference{
				Kind: kind, Name: e.name, Before: s.Record(kind, e.name), After: e.record,
			})
		}
	}
	return differences
}
