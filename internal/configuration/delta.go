package configuration

import (
	"encoding/json"
	"slices"

	"github.com/rotisserie/eris"

	"oleandershunt.example/oleandershunt/api"
	"oleandershunt.example/oleandershunt/internal/core/config"
	configv1 "oleandershunt.example/oleandershunt/internal/peer/gen/peer/config/v1"
)

const (
	// keptVersions is how many former releases a VM can answer with a delta
	// from. Sets share what did not change, so one costs little beside
	// the set in force.
	keptVersions = 8
	// maxDeltaRecords bounds the records of a delta, and how far two successive
	// releases may be apart for the former to be kept: it would share too little.
	maxDeltaRecords = 256
	// fieldPages is the field of a Release that follows from its records.
	fieldPages = "pages"
)

// remember keeps a release that is being replaced, for deltas from it. The
// caller holds the lock.
func (s *store) remember(former, next version) {
	if former.release.Sequence == 0 {
		return
	}
	if _, near := former.set.ChangesTo(next.set, maxDeltaRecords); !near {
		s.former = nil
		return
	}
	s.former = append(s.former, former)
	if len(s.former) > keptVersions {
		s.former = slices.Delete(s.former, 0, 1)
	}
}

// deltaTo gives what turns the release with a number and digest into another.
// It is nil when the VM doesn't know that release any more, or never did, and
// when the whole is better.
func (s *store) deltaTo(next version, sequence uint64, digest string) *configv1.ReleaseDelta {
	s.mu.Lock()
	former := slices.Clone(s.former)
	s.mu.Unlock()
	for _, base := range former {
		if base.release.Sequence == sequence && base.digest == digest {
			return deltaBetween(base, next)
		}
	}
	return nil
}

func deltaBetween(base, next version) *configv1.ReleaseDelta {
	changes, ok := base.set.ChangesTo(next.set, maxDeltaRecords)
	if !ok {
		return nil
	}
	fields, err := fieldsOf(next.value)
	if err != nil {
		return nil
	}
	delete(fields, fieldPages)
	header, err := json.Marshal(fields)
	if err != nil {
		return nil
	}
	delta := &configv1.ReleaseDelta{Header: header, Digest: next.digest}
	for _, change := range changes {
		delta.Records = append(delta.Records, &configv1.RecordChange{
			Kind: string(change.Kind), Name: change.Name, Version: change.Version, Document: change.Raw,
		})
	}
	return delta
}

// fieldsOf takes a release's JSON apart. Fields that this program doesn't know
// stay, so that it passes them on.
func fieldsOf(value []byte) (map[string]json.RawMessage, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(value, &fields); err != nil {
		return nil, err
	}
	if fields == nil {
		return nil, eris.Wrap(config.ErrDamagedDelta, "release is not an object")
	}
	return fields, nil
}

// rebuild makes a release and its set from the one that is in force and a
// delta. The pages, and so the release, follow from the records: their digest
// is right only if every record is. Without that check a VM would run a
// configuration that nobody accepted, and pass it on.
func rebuild(base version, delta *configv1.ReleaseDelta) (version, error) {
	fields, err := fieldsOf(delta.GetHeader())
	if err != nil {
		return version{}, eris.Wrap(config.ErrDamagedDelta, err.Error())
	}
	var header api.Release
	if err := json.Unmarshal(delta.GetHeader(), &header); err != nil {
		return version{}, eris.Wrap(config.ErrDamagedDelta, err.Error())
	}
	set, err := base.set.Apply(header.Sequence, changesOfDelta(delta))
	if err != nil {
		return version{}, err
	}
	header.Pages = set.References()
	if digest := header.Digest(); digest != delta.GetDigest() {
		return version{}, eris.Wrapf(config.ErrDamagedDelta, "release %d has digest %s, not %s", header.Sequence, digest, delta.GetDigest())
	}
	if fields[fieldPages], err = json.Marshal(header.Pages); err != nil {
		return version{}, err
	}
	value, err := json.Marshal(fields)
	if err != nil {
		return version{}, err
	}
	return version{release: header, value: value, set: set, digest: delta.GetDigest()}, nil
}

func changesOfDelta(delta *configv1.ReleaseDelta) []config.Change {
	changes := make([]config.Change, 0, len(delta.GetRecords()))
	for _, record := range delta.GetRecords() {
		changes = append(changes, config.Change{
			Kind: api.Kind(record.GetKind()), Name: record.GetName(),
			Version: record.GetVersion(), Raw: record.GetDocument(),
		})
	}
	return changes
}
