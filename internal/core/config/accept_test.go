package config

import (
	"encoding/json"
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/api"
)

// recordChange is the write of a record as the platform stores it.
func recordChange(kind api.Kind, name string, version uint64, schema, spec string) Change {
	raw := fmt.Sprintf(`{"kind":%q,"schemaVersion":%q,"name":%q,"spec":%s}`, kind, schema, name, spec)
	return Change{Kind: kind, Name: name, Version: version, Raw: json.RawMessage(raw)}
}

func serverChange(name string, version uint64, from, to int) Change {
	spec := fmt.Sprintf(`{"address":"10.0.%d.%d:%d","dataCentre":"bornova","model":"m","layers":{"from":%d,"to":%d}}`, from, to, 1000+version, from, to)
	return recordChange(api.KindBackendServer, name, version, "v1", spec)
}

// baseChanges make a valid configuration: one pipeline whose model is split over two
// servers, and one service.
func baseChanges() []Change {
	return []Change{
		recordChange(api.KindModel, "m", 1, "v1", `{"layers":24,"version":"w1"}`),
		recordChange(api.KindPipeline, "p", 2, "v1", `{"model":"m"}`),
		serverChange("first", 3, 0, 12),
		serverChange("last", 4, 12, 24),
		recordChange(api.KindBackendServer, "portal-1", 5, "v1", `{"address":"10.9.0.1:80","dataCentre":"bornova","service":"portal"}`),
		recordChange(api.KindRoute, "portal", 6, "v1", `{"pathPrefix":"/portal/","service":"portal"}`),
		recordChange(api.KindClientAccount, "hr", 7, "v1", fmt.Sprintf(`{"keySHA256":["%064x"],"pipelines":["p"]}`, 1)),
	}
}

// fixture accepts changes one batch after another, as the VMs of a deployment do.
type fixture struct {
	*WithT
	set     *Set
	release api.Release
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{WithT: NewWithT(t), set: Empty()}
	out := f.accept(baseChanges()...)
	f.Expect(states(out)).To(HaveEach(api.RecordAccepted))
	return f
}

func (f *fixture) input(changes ...Change) AcceptInput {
	seen := map[api.Kind]uint64{}
	for kind, version := range f.release.Seen {
		seen[kind] = version
	}
	for _, change := range changes {
		seen[change.Kind] = max(seen[change.Kind], change.Version)
	}
	return AcceptInput{InForce: f.set, Release: f.release, Changes: changes, Seen: seen, By: "vm-1"}
}

func (f *fixture) accept(changes ...Change) AcceptResult {
	out, err := Accept(f.input(changes...))
	f.Expect(err).NotTo(HaveOccurred())
	if out.Release != nil {
		f.set, f.release = out.Set, *out.Release
	}
	return out
}

func states(out AcceptResult) map[string]api.RecordState {
	got := map[string]api.RecordState{}
	for _, status := range out.Records {
		got[status.Record] = status.State
	}
	return got
}

func violations(out AcceptResult, record string) api.Violations {
	for _, status := range out.Records {
		if status.Record == record {
			return status.Violations
		}
	}
	return nil
}

// Two operators each write a route for the same path. Each route is valid on its
// own; if records were validated one by one, requests for the path would be
// divided between two services.
func TestRecordsThatClashOnlyTogether(t *testing.T) {
	f := newFixture(t)
	out := f.accept(
		recordChange(api.KindRoute, "early", 10, "v1", `{"pathPrefix":"/docs/","service":"portal"}`),
		recordChange(api.KindRoute, "late", 11, "v1", `{"pathPrefix":"/docs/","service":"portal","methods":["GET"]}`),
	)
	f.Expect(states(out)).To(Equal(map[string]api.RecordState{"Route/early": api.RecordAccepted, "Route/late": api.RecordRefused}))
	found := violations(out, "Route/late")
	f.Expect(found).To(HaveLen(1))
	f.Expect(found[0].Rule).To(Equal(api.RuleClash))
	f.Expect(found[0].Related).To(ConsistOf("Route/early"))
	f.Expect(f.set.Routes).To(HaveKey("early"))
	f.Expect(f.set.Routes).NotTo(HaveKey("late"))
}

// A VM that was paused while others accepted changes must not build a release from
// its old view, as this would revert those changes.
func TestAcceptingFromAStaleViewIsRefused(t *testing.T) {
	f := newFixture(t)
	paused := f.input(serverChange("extra", 10, 0, 12))
	f.accept(serverChange("spare", 11, 12, 24))
	_, err := Accept(paused)
	f.Expect(err).NotTo(HaveOccurred(), "the paused VM has not read the newer release; the conditional write will fail")
	paused.Release = f.release
	_, err = Accept(paused)
	f.Expect(err).To(MatchError(ErrStaleView))
	resumed := f.input(serverChange("extra", 12, 0, 12))
	resumed.InForce = paused.InForce
	_, err = Accept(resumed)
	f.Expect(err).To(MatchError(ErrStaleView), "all changes were observed, but the set is of an older release")
	paused.InForce = f.set
	paused.Seen = map[api.Kind]uint64{api.KindBackendServer: 10}
	_, err = Accept(paused)
	f.Expect(err).To(MatchError(ErrStaleView))
}

// A record in a schema version that some live VM can't read must stay pending.
// Otherwise the old VM would serve without fields that the operator set.
func TestRecordThatAnOldVMCannotReadStaysPending(t *testing.T) {
	f := newFixture(t)
	spec := `{"address":"10.0.0.1:7","dataCentre":"bornova","holds":{"model":"m","layers":{"from":0,"to":12}},"capacity":{"tokensPerSecond":80}}`
	input := f.input(recordChange(api.KindBackendServer, "first", 10, "v2", spec), serverChange("spare", 11, 12, 24))
	old := []string{"Model/v1", "Pipeline/v1", "BackendServer/v1", "Route/v1", "ClientAccount/v1"}
	input.Readable = map[string][]string{"vm-1": api.Readable(), "vm-2": old, "vm-3": old}
	out, err := Accept(input)
	f.Expect(err).NotTo(HaveOccurred())
	f.Expect(out.Records[0].State).To(Equal(api.RecordPending))
	f.Expect(out.Records[0].CannotRead).To(Equal([]string{"vm-2", "vm-3"}))
	f.Expect(out.Records[1].State).To(Equal(api.RecordAccepted), "other changes are not blocked")
	input.Readable = map[string][]string{"vm-2": old, "vm-3": old}
	out, err = Accept(input)
	f.Expect(err).NotTo(HaveOccurred())
	f.Expect(out.Records[0].State).To(Equal(api.RecordPending), "this VM can read the record even if the list of VMs lacks this VM")
	f.Expect(out.Set.Record(api.KindBackendServer, "first").Version).To(Equal(uint64(3)), "the previous version stays in force")

	input.Readable = map[string][]string{"vm-1": api.Readable()}
	out, err = Accept(input)
	f.Expect(err).NotTo(HaveOccurred())
	f.Expect(states(out)).To(HaveEach(api.RecordAccepted))
	first, _ := out.Set.Backend("first")
	f.Expect(first.TokensPerSecond).To(Equal(80.0))
	f.Expect(string(out.Set.Record(api.KindBackendServer, "first").Raw)).To(ContainSubstring(`"capacity":{"tokensPerSecond":80}`), "the document is preserved as written")
}

// Two VMs write releases at the same time, or the response to a successful write is
// lost and another release may follow. Which release was written must be
// determined from the platform's state, or both VMs or neither would report theirs
// as in force.
func TestReleaseWriteIsConfirmedFromPlatformState(t *testing.T) {
	f := newFixture(t)
	ours, err := Accept(f.input(serverChange("a", 10, 0, 12)))
	f.Expect(err).NotTo(HaveOccurred())
	other := f.input(serverChange("b", 11, 12, 24))
	other.By = "vm-2"
	theirs, err := Accept(other)
	f.Expect(err).NotTo(HaveOccurred())

	f.Expect(ConfirmWritten(*ours.Release, *ours.Release)).To(Succeed(), "lost response")
	f.set, f.release = ours.Set, *ours.Release
	next := f.accept(serverChange("c", 12, 0, 12))
	f.Expect(ConfirmWritten(*ours.Release, *next.Release)).To(Succeed(), "lost response, followed by another release")
	err = ConfirmWritten(*ours.Release, *theirs.Release)
	f.Expect(err).To(MatchError(ErrConflict))
	f.Expect(err.Error()).To(SatisfyAll(ContainSubstring("2 by vm-1"), ContainSubstring("2 by vm-2")))
	f.Expect(IsConflict(err)).To(BeTrue())
}

// An invalid record must not block valid changes of other operators in the same list.
func TestInvalidRecordDoesNotBlockOthers(t *testing.T) {
	f := newFixture(t)
	out := f.accept(
		recordChange(api.KindPipeline, "broken", 10, "v1", `{"model":"none"}`),
		recordChange(api.KindClientAccount, "needs-broken", 11, "v1", fmt.Sprintf(`{"keySHA256":["%064x"],"pipelines":["broken"]}`, 2)),
		Change{Kind: api.KindModel, Name: "garbage", Version: 12, Raw: json.RawMessage(`{"kind":`)},
		Change{Kind: api.KindModel, Name: "liar", Version: 13, Raw: json.RawMessage(`{"kind":"Model","schemaVersion":"v1","name":"m","spec":{"layers":1,"version":"x"}}`)},
		recordChange(api.KindModel, "future", 14, "v9", `{}`),
		serverChange("good", 15, 0, 12),
	)
	f.Expect(states(out)).To(Equal(map[string]api.RecordState{
		"Pipeline/broken": api.RecordRefused, "ClientAccount/needs-broken": api.RecordRefused, "Model/garbage": api.RecordRefused,
		"Model/liar": api.RecordRefused, "Model/future": api.RecordRefused, "BackendServer/good": api.RecordAccepted,
	}))
	f.Expect(violations(out, "Model/future")[0].Problem).To(ContainSubstring("[v1]"))
	_, ok := f.set.Backend("good")
	f.Expect(ok).To(BeTrue())
	f.Expect(f.set.Models["m"].Layers).To(Equal(24))
}

// invalidChanges are changes to baseChanges that must be refused, each with the
// refused record, the broken rule and a part of the expected problem text.
var invalidChanges = []struct {
	name    string
	changes []Change
	refused string
	rule    api.Rule
	problem string
}{
	{"hole", []Change{serverChange("first", 10, 0, 11)}, "BackendServer/first", api.RuleHole, "[11,12)"},
	{"hole by deletion", []Change{{Kind: api.KindBackendServer, Name: "last", Version: 10}}, "BackendServer/last", api.RuleHole, "[12,24)"},
	{"hole by leaving", []Change{recordChange(api.KindBackendServer, "last", 10, "v1", `{"address":"10.0.12.24:1004","dataCentre":"bornova","model":"m","layers":{"from":12,"to":24},"leaving":true}`)}, "BackendServer/last", api.RuleHole, "[12,24)"},
	{"overlap", []Change{serverChange("last", 10, 8, 24)}, "BackendServer/last", api.RuleOverlap, "up to layer 12"},
	{"range in no chain", []Change{serverChange("middle", 10, 6, 18)}, "BackendServer/middle", api.RuleOverlap, "[6,18)"},
	{"range beyond the model", []Change{serverChange("beyond", 10, 12, 30)}, "BackendServer/beyond", api.RuleOverlap, "[0,24)"},
	{"model shrunk", []Change{recordChange(api.KindModel, "m", 10, "v1", `{"layers":12,"version":"w1"}`)}, "Model/m", api.RuleOverlap, "[0,12)"},
	{"model deleted", []Change{{Kind: api.KindModel, Name: "m", Version: 10}}, "Model/m", api.RuleReference, "Model/m"},
	{"pipeline deleted", []Change{{Kind: api.KindPipeline, Name: "p", Version: 10}}, "Pipeline/p", api.RuleReference, "Pipeline/p"},
	{"service deleted", []Change{{Kind: api.KindBackendServer, Name: "portal-1", Version: 10}}, "BackendServer/portal-1", api.RuleReference, `"portal"`},
	{"unknown model", []Change{recordChange(api.KindPipeline, "q", 10, "v1", `{"model":"none"}`)}, "Pipeline/q", api.RuleReference, "Model/none"},
	{"unknown service", []Change{recordChange(api.KindRoute, "r", 10, "v1", `{"pathPrefix":"/r","service":"none"}`)}, "Route/r", api.RuleReference, `"none"`},
	{"unknown pipeline", []Change{recordChange(api.KindClientAccount, "a", 10, "v2", fmt.Sprintf(`{"keySHA256":["%064x"],"pipelines":["none"]}`, 2))}, "ClientAccount/a", api.RuleReference, "Pipeline/none"},
	{"version disagrees", []Change{recordChange(api.KindBackendServer, "s", 10, "v2", `{"address":"10.0.0.9:1","dataCentre":"bornova","holds":{"model":"m","version":"w2","layers":{"from":0,"to":12}}}`)}, "BackendServer/s", api.RuleVersion, `"w2"`},
	{"too slow", []Change{recordChange(api.KindPipeline, "q", 10, "v1", `{"model":"slow","maxTokens":1000,"deadlineSeconds":10}`), recordChange(api.KindModel, "slow", 11, "v1", `{"layers":2,"version":"w"}`), recordChange(api.KindBackendServer, "s", 12, "v1", `{"address":"10.0.0.9:1","dataCentre":"bornova","model":"slow","layers":{"from":0,"to":2},"tokensPerSecond":99}`)}, "Pipeline/q", api.RuleCapacity, "100.0"},
	{"same address", []Change{recordChange(api.KindBackendServer, "portal-2", 10, "v1", `{"address":"10.9.0.1:80","dataCentre":"bornova","service":"portal"}`)}, "BackendServer/portal-2", api.RuleClash, "BackendServer/portal-1"},
	{"same key", []Change{recordChange(api.KindClientAccount, "a", 10, "v1", fmt.Sprintf(`{"keySHA256":["%064X"]}`, 1))}, "ClientAccount/a", api.RuleDuplicates, "ClientAccount/hr"},
	{"same route", []Change{recordChange(api.KindRoute, "r", 10, "v1", `{"pathPrefix":"/portal/","service":"portal"}`)}, "Route/r", api.RuleClash, "Route/portal"},
	{"oversized", []Change{recordChange(api.KindModel, "big", 10, "v1", fmt.Sprintf(`{"layers":1,"version":"%065536d"}`, 0))}, "Model/big", api.RuleSize, "too large"},
	{"misspelt", []Change{recordChange(api.KindModel, "n", 10, "v1", `{"layer":1,"layers":1,"version":"w"}`)}, "Model/n", api.RuleUnknown, "no such field"},
}

// Each change would make a configuration that can't serve requests. It must be
// refused, and the set in force must stay valid.
func TestInvalidChangesAreRefused(t *testing.T) {
	for _, c := range invalidChanges {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			out := f.accept(c.changes...)
			f.Expect(states(out)).To(HaveKeyWithValue(c.refused, api.RecordRefused))
			found := violations(out, c.refused)
			f.Expect(found[0].Rule).To(Equal(c.rule))
			f.Expect(found[0].Problem).To(ContainSubstring(c.problem))
			f.Expect(found[0].Remedy).NotTo(BeEmpty())
			f.Expect(Validate(f.set)).To(BeEmpty())
			if len(c.changes) == 1 {
				f.Expect(out.Release).To(BeNil(), "no release without accepted changes")
			}
		})
	}
}

// Changes that are invalid without each other, such as new layer ranges of two
// servers, must be validated as one batch or they could never be accepted.
func TestChangesThatNeedEachOtherAreAcceptedTogether(t *testing.T) {
	f := newFixture(t)
	out := f.accept(serverChange("first", 10, 0, 8), serverChange("last", 11, 8, 24))
	f.Expect(states(out)).To(HaveEach(api.RecordAccepted))
	out = f.accept(
		Change{Kind: api.KindPipeline, Name: "p", Version: 20},
		recordChange(api.KindClientAccount, "hr", 21, "v1", fmt.Sprintf(`{"keySHA256":["%064x"]}`, 1)),
		Change{Kind: api.KindModel, Name: "m", Version: 22},
		Change{Kind: api.KindBackendServer, Name: "first", Version: 23},
		Change{Kind: api.KindBackendServer, Name: "last", Version: 24},
	)
	f.Expect(states(out)).To(HaveEach(api.RecordAccepted))
	f.Expect(Validate(f.set)).To(BeEmpty())
}

// Two operators each delete one of the last two servers of a layer range. Only the
// second deletion causes the hole and must be refused.
func TestFirstOfTwoRemovalsIsAccepted(t *testing.T) {
	f := newFixture(t)
	f.accept(serverChange("spare", 10, 12, 24))
	out := f.accept(
		Change{Kind: api.KindBackendServer, Name: "last", Version: 20},
		Change{Kind: api.KindBackendServer, Name: "spare", Version: 21},
	)
	f.Expect(states(out)).To(Equal(map[string]api.RecordState{
		"BackendServer/last": api.RecordAccepted, "BackendServer/spare": api.RecordRefused,
	}))
	f.Expect(violations(out, "BackendServer/spare")[0].Rule).To(Equal(api.RuleHole))
}

// After an upgrade the set in force may break a rule that the new program version
// added. Unrelated changes must still be accepted.
func TestPreexistingViolationsDoNotBlockChanges(t *testing.T) {
	f := newFixture(t)
	broken := map[api.Kind][]edit{api.KindModel: {{name: "m"}}}
	f.set = f.set.with(f.set.Release, broken)
	out := f.accept(recordChange(api.KindClientAccount, "new", 10, "v1", fmt.Sprintf(`{"keySHA256":["%064x"]}`, 2)),
		recordChange(api.KindRoute, "docs", 11, "v1", `{"pathPrefix":"/docs/","service":"portal"}`))
	f.Expect(states(out)).To(HaveEach(api.RecordAccepted))
	f.Expect(out.PreexistingViolations).NotTo(BeEmpty())
}
