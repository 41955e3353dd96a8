package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"github.com/rotisserie/eris"

	"oleandershunt.example/oleandershunt/api"
	"oleandershunt.example/oleandershunt/internal/core/history"
	"oleandershunt.example/oleandershunt/internal/platform"
)

// Action is what a change does to a record.
type Action string

// The actions.
const (
	ActionCreate    Action = "create"
	ActionUpdate    Action = "update"
	ActionDelete    Action = "delete"
	ActionUnchanged Action = "unchanged"
)

// Change is one record as it is to be written, compared with what was read.
type Change struct {
	Record string `json:"record"`
	Action Action `json:"action"`
	// Version is the version that was read, on which the write depends; 0 when
	// there was none.
	Version     history.Version `json:"version,omitempty"`
	Differences []Difference    `json:"differences,omitempty"`

	kind   api.Kind
	name   string
	before json.RawMessage
	after  json.RawMessage
}

// ErrInvalid marks records that break a rule by themselves.
var ErrInvalid = eris.New("records are invalid: correct them")

// Invalid is every violation found, as one error.
type Invalid struct {
	Violations api.Violations
}

// Error implements error.
func (e *Invalid) Error() string { return e.Violations.Error() }

// Is makes the error an ErrInvalid.
func (e *Invalid) Is(target error) bool { return target == ErrInvalid }

// CheckEach reports what is wrong with each record by itself.
func CheckEach(documents []api.Document) error {
	var found api.Violations
	for _, document := range documents {
		found = append(found, api.Validate(document)...)
	}
	if len(found) > 0 {
		return &Invalid{Violations: found}
	}
	return nil
}

// Plan compares records with those in the platform. Changes are in an order in
// which references hold.
func (c *Client) Plan(ctx context.Context, documents []api.Document) ([]Change, error) {
	if err := CheckEach(documents); err != nil {
		return nil, err
	}
	changes := make([]Change, 0, len(documents))
	for _, document := range documents {
		after, err := json.Marshal(document)
		if err != nil {
			return nil, err
		}
		change := Change{Record: document.Key(), Action: ActionCreate, kind: document.Kind, name: document.Name, after: after}
		if err := c.compare(ctx, &change); err != nil {
			return nil, err
		}
		changes = append(changes, change)
	}
	sortChanges(changes)
	return changes, nil
}

// compare reads what stands in the platform and fills in the differences.
func (c *Client) compare(ctx context.Context, change *Change) error {
	object, err := c.platform.Get(ctx, string(change.kind), change.name)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return eris.Wrap(err, change.Record)
	}
	if err == nil {
		change.Version = object.Version
		change.before = object.Value
		change.Action = ActionUpdate
	}
	if change.Differences, err = Diff(change.before, change.after); err != nil {
		return err
	}
	if change.before != nil && len(change.Differences) == 0 {
		change.Action = ActionUnchanged
	}
	return nil
}

// PlanDelete reads the record that is to be deleted.
func (c *Client) PlanDelete(ctx context.Context, kind api.Kind, name string) (Change, error) {
	object, err := c.platform.Get(ctx, string(kind), name)
	if err != nil {
		return Change{}, eris.Wrap(err, api.Key(kind, name))
	}
	change := Change{Record: api.Key(kind, name), Action: ActionDelete, Version: object.Version, kind: kind, name: name, before: object.Value}
	change.Differences, err = Diff(object.Value, nil)
	return change, err
}

// sortChanges puts what is referred to before what refers to it; deletions go
// last, and the other way round.
func sortChanges(changes []Change) {
	place := func(c Change) int {
		i := slices.Index(api.OperatorKinds(), c.kind)
		if c.Action == ActionDelete {
			return 2*len(api.OperatorKinds()) - i
		}
		return i
	}
	slices.SortStableFunc(changes, func(a, b Change) int { return place(a) - place(b) })
}

// Conflict says that a record was changed by somebody else after it was read.
type Conflict struct {
	Record string `json:"record"`
	// Ours is what was to be written, and Theirs what stands there now, each
	// against what was read.
	Ours   []Difference `json:"ours"`
	Theirs []Difference `json:"theirs"`
}

// ErrConflict marks a Conflict.
var ErrConflict = eris.New("record was changed by another operator: look at both changes, then apply again")

// Error implements error.
func (e *Conflict) Error() string {
	var text bytes.Buffer
	fmt.Fprintf(&text, "%s was changed by another operator after it was read: look at both changes, then apply again", e.Record)
	for _, d := range e.Theirs {
		fmt.Fprintf(&text, "\n  theirs  %s: %s -> %s", d.Field, orAbsent(d.Before), orAbsent(d.After))
	}
	for _, d := range e.Ours {
		fmt.Fprintf(&text, "\n  yours   %s: %s -> %s", d.Field, orAbsent(d.Before), orAbsent(d.After))
	}
	return text.String()
}

// Is makes the error an ErrConflict.
func (e *Conflict) Is(target error) bool { return target == ErrConflict }

func orAbsent(value string) string {
	if value == "" {
		return "(absent)"
	}
	return value
}
