package config

import (
	"bytes"

	"github.com/rotisserie/eris"

	"oleandershunt.example/oleandershunt/api"
)

// ErrDamagedDelta reports a delta that does not produce the release it claims to.
var ErrDamagedDelta = eris.New("delta of a release is damaged: read the whole release")

// ChangesTo returns the record changes that turn s into another set, ordered by
// kind and name. ok is false if there are more than limit. The cost is
// proportional to the pages that differ.
func (s *Set) ChangesTo(other *Set, limit int) (changes []Change, ok bool) {
	differences := s.Compare(other)
	if len(differences) > limit {
		return nil, false
	}
	for _, d := range differences {
		change := Change{Kind: d.Kind, Name: d.Name}
		if d.After != nil {
			change.Version, change.Raw = d.After.Version, d.After.Raw
		}
		changes = append(changes, change)
	}
	return changes, true
}

// Apply builds the set of a release by applying changes to s. The changes come
// from another VM, so the caller must compare the result with the release's
// digest, which covers every page.
func (s *Set) Apply(release uint64, changes []Change) (*Set, error) {
	edits := make(map[api.Kind][]edit)
	for _, change := range changes {
		if _, known := s.tables[change.Kind]; !known {
			return nil, eris.Wrapf(api.ErrUnknownKind, "%q", change.Kind)
		}
		e, err := change.edit()
		if err != nil {
			return nil, err
		}
		edits[change.Kind] = append(edits[change.Kind], e)
	}
	return s.with(release, edits), nil
}

// edit decodes the change and checks that its content is the record it names.
func (c Change) edit() (edit, error) {
	if len(bytes.TrimSpace(c.Raw)) == 0 {
		return edit{name: c.Name}, nil
	}
	record, err := NewRecord(c.Version, c.Raw)
	if err != nil {
		return edit{}, eris.Wrap(err, c.Key())
	}
	if record.Kind != c.Kind || record.Name != c.Name {
		return edit{}, eris.Wrapf(ErrDamagedDelta, "%s holds %s", c.Key(), record.Key())
	}
	return edit{name: c.Name, record: record}, nil
}
