package config

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/rotisserie/eris"

	"oleandershunt.example/oleandershunt/api"
)

// ErrStaleView reports that Accept was called with a view older than the release
// in force. A VM that resumes after a pause has such a view; a release built from
// it would revert changes accepted in the meantime.
var ErrStaleView = eris.New("view is older than the release in force: list the records and the release again")

// AcceptInput is the input of Accept: the state known to the VM that runs it.
type AcceptInput struct {
	// InForce is the configuration of Release.
	InForce *Set
	// Release is the newest release read from the platform.
	Release api.Release
	// Changes and Seen come from the methods of View with these names.
	Changes []Change
	Seen    map[api.Kind]uint64
	// Readable lists, for each live VM, the kinds and schema versions that it can
	// read (see api.Readable).
	Readable map[string][]string
	// By and At are copied into the release: the VM that made it and the time.
	By string
	At string
}

// AcceptResult is the result of Accept.
type AcceptResult struct {
	// Records is the status of each changed record, in the order of the changes.
	Records []api.RecordStatus
	// Release is the next release. It must be written with a conditional update
	// that fails if the platform no longer has the release it is based on. Nil
	// when no change can be accepted.
	Release *api.Release
	// Set is the configuration of Release. It comes in force once the release is written.
	Set *Set
	// NewPages are the pages and indexes to write before the release.
	NewPages []api.PageRef
	// PreexistingViolations lists violations in the set that no change caused. They don't
	// block changes.
	PreexistingViolations api.Violations
}

// Accept validates changes and builds the next release from the valid ones. An
// invalid change is refused and does not block the others, so one operator's
// mistake does not delay another operator. The error is ErrStaleView.
func Accept(input AcceptInput) (AcceptResult, error) {
	if err := input.checkView(); err != nil {
		return AcceptResult{}, err
	}
	e := newEvaluation(input)
	e.checkCandidates()
	e.selectCandidates()
	return e.result(), nil
}

// checkView returns ErrStaleView unless the set and the view are at least as new as
// the release.
func (a AcceptInput) checkView() error {
	if a.InForce.Release != a.Release.Sequence {
		return eris.Wrapf(ErrStaleView, "set is of release %d, release is %d", a.InForce.Release, a.Release.Sequence)
	}
	for _, kind := range slices.Sorted(maps.Keys(a.Release.Seen)) {
		if a.Seen[kind] < a.Release.Seen[kind] {
			return eris.Wrapf(ErrStaleView, "%s seen up to %d, release made at %d", kind, a.Seen[kind], a.Release.Seen[kind])
		}
	}
	return nil
}

// candidate is a change under evaluation.
type candidate struct {
	*Change
	record     *Record
	former     *Record
	cannotRead []string
	violations api.Violations
	excluded   bool
}

// evaluation is the state of one run of Accept.
type evaluation struct {
	input      AcceptInput
	candidates []*candidate
	// byKey indexes the candidates by record key. It is built on the first finding.
	byKey       map[string]*candidate
	preexisting api.Violations
	set         *Set
}

func newEvaluation(input AcceptInput) *evaluation {
	e := &evaluation{input: input}
	for i := range input.Changes {
		change := &input.Changes[i]
		former := input.InForce.Record(change.Kind, change.Name)
		if change.matches(former) || former != nil && change.Version < former.Version {
			continue
		}
		e.candidates = append(e.candidates, &candidate{Change: change, former: former})
	}
	return e
}

// checkCandidates validates each change on its own.
func (e *evaluation) checkCandidates() {
	readable := maps.Clone(e.input.Readable)
	if readable == nil {
		readable = map[string][]string{}
	}
	// This VM validates the whole set, so it must be able to read it even if the
	// list of live VMs lacks this VM.
	readable[e.input.By] = api.Readable()
	for _, c := range e.candidates {
		if len(c.Raw) > 0 {
			c.check(readable)
		}
	}
}

// check validates the record on its own. A record that this VM can read but some
// other live VM can't is excluded and stays pending.
func (c *candidate) check(readable map[string][]string) {
	document, err := api.Decode(c.Raw)
	if err == nil && (document.Kind != c.Kind || document.Name != c.Name) {
		err = eris.Wrapf(api.ErrMalformed, "it says that it is %s", document.Key())
	}
	if err != nil {
		c.refuse(api.FormViolation(c.Key(), err))
		return
	}
	for _, vm := range slices.Sorted(maps.Keys(readable)) {
		if !api.CanRead(readable[vm], document.Header) {
			c.cannotRead = append(c.cannotRead, vm)
		}
	}
	if len(c.cannotRead) > 0 && len(c.cannotRead) < len(readable) {
		c.excluded = true
		return
	}
	c.cannotRead = nil
	record, err := newRecord(c.Version, document, c.Raw)
	if err != nil {
		c.refuse(api.FormViolation(c.Key(), err))
		return
	}
	c.record = record
	c.checkHomeChange()
	if len(record.Violations) > 0 {
		c.refuse(record.Violations...)
	}
}

func (c *candidate) refuse(found ...api.Violation) {
	c.excluded = true
	c.violations = append(c.violations, found...)
}

// selectCandidates finds changes that are valid together. It excludes offending
// changes until the rest is valid, then re-adds the excluded ones one at a time
// wherever the set stays valid, since some were excluded because of another
// change only.
func (e *evaluation) selectCandidates() {
	var excluded []*candidate
	for {
		offenders := e.excludeOffenders()
		if len(offenders) == 0 {
			break
		}
		excluded = append(excluded, offenders...)
	}
	for _, c := range excluded[:min(len(excluded), maxReconsidered)] {
		violations := c.violations
		c.excluded, c.violations = false, nil
		if lastValid := e.set; !e.valid() {
			c.excluded, c.violations = true, violations
			e.set = lastValid
		}
	}
}

// maxReconsidered limits how many excluded changes selectCandidates tries to
// re-add in one run. The rest are reconsidered in a later run, once the others
// have been decided.
const maxReconsidered = 64

func (e *evaluation) valid() bool {
	for _, f := range e.findings() {
		if len(e.offenders(f)) > 0 {
			return false
		}
	}
	return true
}

// excludeOffenders excludes the changes that cause violations in the resulting
// set, and returns them. Violations that no change causes become preexisting.
func (e *evaluation) excludeOffenders() []*candidate {
	var excluded []*candidate
	e.preexisting = nil
	for _, f := range e.findings() {
		offenders := e.offenders(f)
		if len(offenders) == 0 {
			e.preexisting = append(e.preexisting, f.Violation)
		}
		for _, c := range offenders {
			if !slices.Contains(excluded, c) {
				excluded = append(excluded, c)
			}
			c.violations = append(c.violations, f.Violation)
		}
	}
	for _, c := range excluded {
		c.excluded = true
	}
	return excluded
}

// offenders returns the changes that cause a finding: the change of the record
// that the finding names, if there is one, otherwise the changes of related records.
func (e *evaluation) offenders(f finding) []*candidate {
	if e.byKey == nil {
		e.byKey = make(map[string]*candidate, len(e.candidates))
		for _, c := range e.candidates {
			e.byKey[c.Key()] = c
		}
	}
	if c, ok := e.byKey[f.Record]; ok && !c.excluded {
		return []*candidate{c}
	}
	var related []*candidate
	for _, c := range e.candidates {
		if !c.excluded && (slices.Contains(f.Related, c.Key()) || c.contributesTo(f)) {
			related = append(related, c)
		}
	}
	return related
}

// contributesTo reports whether the change is of a backend server that has, or had
// before the change, the model or service that the finding is about.
func (c *candidate) contributesTo(f finding) bool {
	return f.involves(c.former) || f.involves(c.record)
}

// involves reports whether a record is a backend server with the model or service
// that the finding is about.
func (f finding) involves(record *Record) bool {
	if record == nil || record.Kind != api.KindBackendServer {
		return false
	}
	spec := record.Spec().(*api.BackendServerSpec)
	return (f.model != "" && spec.Model == f.model || f.service != "" && spec.Service == f.service)
}

func (e *evaluation) edits() map[api.Kind][]edit {
	edits := map[api.Kind][]edit{}
	for _, c := range e.candidates {
		if !c.excluded {
			edits[c.Kind] = append(edits[c.Kind], edit{name: c.Name, record: c.record})
		}
	}
	return edits
}

// findings builds the set with the candidates that are not excluded, stores it in
// e.set and validates it.
func (e *evaluation) findings() []finding {
	edits := e.edits()
	e.set = e.input.InForce
	if len(edits) > 0 {
		e.set = e.input.InForce.with(e.input.Release.Sequence+1, edits)
	}
	return validateChanged(e.input.InForce, e.set, edits)
}

func (e *evaluation) result() AcceptResult {
	out := AcceptResult{PreexistingViolations: e.preexisting}
	for _, c := range e.candidates {
		out.Records = append(out.Records, c.status(e.input.Release.Sequence+1))
	}
	if e.set == e.input.InForce {
		return out
	}
	out.Set = e.set
	out.Release = &api.Release{
		Sequence: e.set.Release,
		Previous: e.input.Release.Digest(),
		Pages:    e.set.References(),
		Seen:     maps.Clone(e.input.Seen),
		By:       e.input.By,
		At:       e.input.At,
	}
	out.NewPages = e.set.unwrittenRefs(e.input.InForce, e.input.Release, *out.Release)
	return out
}

func (c *candidate) status(next uint64) api.RecordStatus {
	status := api.RecordStatus{Record: c.Key(), Version: c.Version, State: api.RecordAccepted, Release: next}
	if len(c.cannotRead) > 0 {
		return api.RecordStatus{Record: c.Key(), Version: c.Version, State: api.RecordPending, CannotRead: c.cannotRead}
	}
	if c.excluded {
		return api.RecordStatus{Record: c.Key(), Version: c.Version, State: api.RecordRefused, Violations: c.violations}
	}
	return status
}

// ErrConflict reports that another VM's release was written first. Errors that
// wrap it name both releases.
var ErrConflict = eris.New("another VM's release was written first: nothing is lost, the changes are decided on again")

// ConfirmWritten determines whether a release was written after its write was refused or
// the response was lost. current is the platform's newest release. It returns
// nil if ours was written, and ErrConflict otherwise.
func ConfirmWritten(ours, current api.Release) error {
	if current.Digest() == ours.Digest() || current.Previous == ours.Digest() {
		return nil
	}
	return eris.Wrap(ErrConflict, fmt.Sprintf("ours is %d by %s, the platform has %d by %s", ours.Sequence, ours.By, current.Sequence, current.By))
}

// IsConflict reports whether an error is ErrConflict or ErrStaleView, after which
// the VM rereads the platform's state and retries.
func IsConflict(err error) bool { return errors.Is(err, ErrConflict) || errors.Is(err, ErrStaleView) }
