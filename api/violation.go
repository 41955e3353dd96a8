package api

import (
	"fmt"
	"strings"
)

// Rule names a rule that records must meet.
type Rule string

// The rules.
const (
	RuleForm       Rule = "form"       // the record can't be read
	RuleUnknown    Rule = "unknown"    // a field that the schema version doesn't have
	RuleValue      Rule = "value"      // a field's value is out of its range
	RuleSize       Rule = "size"       // the record is too large
	RuleReference  Rule = "reference"  // a record referred to does not exist
	RuleHole       Rule = "layer_hole" // a layer is held by no server
	RuleOverlap    Rule = "overlap"    // ranges can't be joined into one pass through the layers
	RuleVersion    Rule = "version"    // versions of a model disagree
	RuleCapacity   Rule = "capacity"   // what is asked can't be served at all
	RuleClash      Rule = "clash"      // two records claim the same thing
	RuleDuplicates Rule = "duplicate"  // one API key in two accounts
	RuleHome       Rule = "home"       // an account's home was changed without naming the former one
)

// Violation is one thing that is wrong with a record or between records.
type Violation struct {
	// Rule is the rule that is broken.
	Rule Rule `json:"rule"`
	// Record is the record at fault, as "Kind/name".
	Record string `json:"record"`
	// Field is the path of the field at fault, for example "spec.layers.to".
	Field string `json:"field"`
	// Problem says what is wrong.
	Problem string `json:"problem"`
	// Remedy says what to do about it.
	Remedy string `json:"remedy"`
	// Related lists the other records that have a part in it.
	Related []string `json:"related,omitempty"`
}

// Error makes a violation an error.
func (v Violation) Error() string {
	return fmt.Sprintf("%s: %s: %s: %s", v.Record, v.Field, v.Problem, v.Remedy)
}

// Violations are all that is wrong, as one error.
type Violations []Violation

// Error lists the violations, one a line.
func (v Violations) Error() string {
	lines := make([]string, 0, len(v))
	for _, violation := range v {
		lines = append(lines, violation.Error())
	}
	return strings.Join(lines, "\n")
}
