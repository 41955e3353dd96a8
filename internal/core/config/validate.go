package config

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"oleandershunt.example/oleandershunt/api"
)

// finding is a violation between records of a set.
type finding struct {
	api.Violation
	// model or service is set if any change of its servers may be the cause,
	// including the deletion of a server.
	model   string
	service string
}

// Validate returns all violations in a set, of each record on its own and between
// records.
func Validate(set *Set) api.Violations {
	var found api.Violations
	for _, kind := range api.OperatorKinds() {
		for record := range set.Records(kind) {
			found = append(found, record.Violations...)
		}
	}
	for _, f := range append(validateServing(set), validateAccounts(set, set.Records(api.KindClientAccount))...) {
		found = append(found, f.Violation)
	}
	return found
}

// validateChanged reports the violations between records of latest that the edits
// from former to latest can have caused. For accounts the cost is proportional
// to the edits. For the other kinds, of which there are fewer records, it is
// proportional to the number of records.
func validateChanged(former, latest *Set, edits map[api.Kind][]edit) []finding {
	var found []finding
	for _, kind := range api.OperatorKinds() {
		if kind != api.KindClientAccount && len(edits[kind]) > 0 {
			found = validateServing(latest)
			break
		}
	}
	if pipelineRemoved(former, latest) {
		return append(found, validateAccounts(latest, latest.Records(api.KindClientAccount))...)
	}
	changed := func(yield func(*Record) bool) {
		for _, e := range edits[api.KindClientAccount] {
			if e.record != nil && !yield(e.record) {
				return
			}
		}
	}
	return append(found, validateAccounts(latest, changed)...)
}

func pipelineRemoved(former, latest *Set) bool {
	for name := range former.Pipelines {
		if _, ok := latest.Pipelines[name]; !ok {
			return true
		}
	}
	return false
}

// validateAccounts checks the given accounts against the set.
func validateAccounts(set *Set, accounts func(func(*Record) bool)) []finding {
	var found []finding
	for record := range accounts {
		spec := record.Spec().(*api.ClientAccountSpec)
		for i, pipeline := range spec.Pipelines {
			if _, ok := set.Pipelines[pipeline]; !ok {
				field := fmt.Sprintf("pipelines[%d]", i)
				found = append(found, missingReference(record, field, api.KindPipeline, pipeline))
			}
		}
		found = append(found, duplicateKeys(set, record, spec)...)
	}
	return found
}

// duplicateKeys reports API keys of an account that another account has too: a VM
// could not attribute a request or its response to one account.
func duplicateKeys(set *Set, record *Record, spec *api.ClientAccountSpec) []finding {
	var found []finding
	for i, text := range spec.KeySHA256 {
		sum, ok := parseKeySum(text)
		if !ok {
			continue
		}
		for _, owner := range set.keys.owners(sum) {
			other := set.Record(api.KindClientAccount, owner.account)
			if other == nil || other.Name == record.Name || !writtenAfter(record, other) {
				continue
			}
			found = append(found, finding{Violation: api.Violation{
				Rule: api.RuleDuplicates, Record: record.Key(), Field: api.FieldPath(record.Header, fmt.Sprintf("keySHA256[%d]", i)),
				Problem: "the API key is that of " + other.Key() + " too",
				Remedy:  "give each account a key of its own",
				Related: []string{other.Key()},
			}})
		}
	}
	return found
}

// writtenAfter reports whether a was written after b. Of two conflicting records,
// the later one is refused.
func writtenAfter(a, b *Record) bool {
	return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.Name, b.Name)) > 0
}

// missingReference reports a reference to a record that is not in the set.
func missingReference(record *Record, field string, kind api.Kind, name string) finding {
	target := api.Key(kind, name)
	return finding{Violation: api.Violation{
		Rule: api.RuleReference, Record: record.Key(), Field: api.FieldPath(record.Header, field),
		Problem: target + " does not exist or is not accepted",
		Remedy:  "write " + target + ", or take the name out here first",
		Related: []string{target},
	}}
}

// validateServing checks models, pipelines, backend servers and routes.
func validateServing(set *Set) []finding {
	v := &servingCheck{set: set, byModel: map[string][]*Record{}, services: map[string]bool{}, byAddress: map[string]*Record{}}
	for record := range set.Records(api.KindBackendServer) {
		v.checkServer(record)
	}
	for record := range set.Records(api.KindPipeline) {
		v.checkPipeline(record)
	}
	for _, name := range slices.Sorted(maps.Keys(v.servable)) {
		v.checkRanges(name)
	}
	v.checkRoutes()
	return v.found
}

// servingCheck is the state of one run of validateServing.
type servingCheck struct {
	set       *Set
	byModel   map[string][]*Record
	services  map[string]bool
	byAddress map[string]*Record
	servable  map[string]bool
	found     []finding
}

func (v *servingCheck) report(f finding) { v.found = append(v.found, f) }

func (v *servingCheck) checkServer(record *Record) {
	spec := record.Spec().(*api.BackendServerSpec)
	if other, ok := v.byAddress[spec.Address]; ok {
		v.reportSameAddress(record, other)
	}
	v.byAddress[spec.Address] = record
	if spec.Service != "" {
		v.services[spec.Service] = v.services[spec.Service] || !spec.Leaving
		return
	}
	model, ok := v.set.Models[spec.Model]
	if !ok {
		v.report(missingReference(record, "model", api.KindModel, spec.Model))
		return
	}
	related := []string{api.Key(api.KindModel, spec.Model)}
	valid := true
	if spec.Layers.To > model.Layers {
		valid = false
		v.report(finding{Violation: api.Violation{
			Rule: api.RuleOverlap, Record: record.Key(), Field: api.FieldPath(record.Header, "layers.to"),
			Problem: fmt.Sprintf("%v goes beyond the model's [0,%d)", spec.Layers, model.Layers),
			Remedy:  "correct the range here or the layers of the Model record", Related: related,
		}})
	}
	if spec.ModelVersion != "" && spec.ModelVersion != model.Version {
		valid = false
		v.report(finding{Violation: api.Violation{
			Rule: api.RuleVersion, Record: record.Key(), Field: api.FieldPath(record.Header, "modelVersion"),
			Problem: fmt.Sprintf("%q is not the model's version %q", spec.ModelVersion, model.Version),
			Remedy:  "change the Model record and all its servers in one apply, or leave the field out", Related: related,
		}})
	}
	if valid && !spec.Leaving {
		v.byModel[spec.Model] = append(v.byModel[spec.Model], record)
	}
}

func (v *servingCheck) reportSameAddress(a, b *Record) {
	if writtenAfter(b, a) {
		a, b = b, a
	}
	v.report(finding{Violation: api.Violation{
		Rule: api.RuleClash, Record: a.Key(), Field: api.FieldPath(a.Header, "address"),
		Problem: b.Key() + " has the same address", Remedy: "correct the address, or delete one of the two",
		Related: []string{b.Key()},
	}})
}

func (v *servingCheck) checkPipeline(record *Record) {
	spec := record.Spec().(*api.PipelineSpec)
	model, ok := v.set.Models[spec.Model]
	if !ok {
		v.report(missingReference(record, "model", api.KindModel, spec.Model))
		return
	}
	if v.servable == nil {
		v.servable = map[string]bool{}
	}
	c := newCoverage(model.Layers, v.byModel[spec.Model])
	v.servable[spec.Model] = v.servable[spec.Model] || c.complete()
	related := []string{api.Key(api.KindModel, spec.Model)}
	if violation, violated := c.check(record, spec, related); violated {
		v.report(finding{Violation: violation, model: spec.Model})
	}
}

// checkRanges reports servers of a model whose range is part of no complete chain
// through its layers: they would never receive work.
func (v *servingCheck) checkRanges(model string) {
	if !v.servable[model] {
		return
	}
	c := newCoverage(v.set.Models[model].Layers, v.byModel[model])
	for _, record := range v.byModel[model] {
		layers := record.Spec().(*api.BackendServerSpec).Layers
		if c.bestRate[layers.From] > 0 && c.reachesEnd[layers.To] {
			continue
		}
		v.report(finding{Violation: api.Violation{
			Rule: api.RuleOverlap, Record: record.Key(), Field: api.FieldPath(record.Header, "layers"),
			Problem: fmt.Sprintf("no ranges of other servers join %v to a pass through %v that runs each layer once", layers, api.Layers{To: v.set.Models[model].Layers}),
			Remedy:  "use a range that starts and ends where others do, or write the servers that complete it in the same apply",
		}})
	}
}
