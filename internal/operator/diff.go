// Package operator is what the command line does with records: reading them
// from files, comparing them with the platform, writing them on condition of
// what was read, and telling how things stand.
package operator

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// Difference is one field of a record that two versions disagree on.
type Difference struct {
	// Field is the path of the field, for example "spec.layers.from".
	Field string `json:"field"`
	// Before and After are JSON; empty when the field is absent.
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// Diff lists the fields in which two JSON values differ, in order of path. An
// empty value has no fields.
func Diff(before, after json.RawMessage) ([]Difference, error) {
	old, err := flatten(before)
	if err != nil {
		return nil, err
	}
	next, err := flatten(after)
	if err != nil {
		return nil, err
	}
	fields := maps.Clone(old)
	maps.Copy(fields, next)
	var differences []Difference
	for _, field := range slices.Sorted(maps.Keys(fields)) {
		if old[field] != next[field] {
			differences = append(differences, Difference{Field: field, Before: old[field], After: next[field]})
		}
	}
	return differences, nil
}

// flatten gives each leaf of a JSON value under its path.
func flatten(data json.RawMessage) (map[string]string, error) {
	leaves := make(map[string]string)
	if len(data) == 0 {
		return leaves, nil
	}
	var value any
	if err := json.Unmarshal(data, &value); err != nil {
		return nil, err
	}
	return leaves, collect("", value, leaves)
}

func collect(path string, value any, leaves map[string]string) error {
	fields, ok := value.(map[string]any)
	if !ok || len(fields) == 0 {
		leaf, err := json.Marshal(value)
		leaves[path] = string(leaf)
		return err
	}
	for name, field := range fields {
		if err := collect(join(path, name), field, leaves); err != nil {
			return err
		}
	}
	return nil
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return fmt.Sprintf("%s.%s", path, name)
}
