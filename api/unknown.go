package api

import (
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"

	"oleandershunt.example/oleandershunt/internal/spelling"
)

// UnknownFields lists the fields of a record that its schema version doesn't
// have. Most are slips of the pen, and one that is passed over does harm: a
// server marked "leavng" goes on getting work. Names are matched by case, which
// the decoder of the standard library doesn't do.
func UnknownFields(document Document) Violations {
	found, err := findSchema(document.Header)
	if err != nil {
		return nil
	}
	if len(document.Extra) == 0 && onlyKnownKeys(document.Spec, found.fields) {
		return nil
	}
	return walkUnknown(document, found)
}

func walkUnknown(document Document, found schema) Violations {
	w := &unknownWalk{header: document.Header}
	for _, name := range slices.Sorted(maps.Keys(document.Extra)) {
		w.report(name, name, documentFields)
	}
	w.walk("spec", document.Spec, found.fields)
	return w.found
}

// unknownWalk compares JSON with the fields of a type.
type unknownWalk struct {
	header Header
	found  Violations
}

func (w *unknownWalk) walk(path string, data []byte, known map[string]field) {
	var tree map[string]json.RawMessage
	if json.Unmarshal(data, &tree) != nil {
		return
	}
	names := slices.Sorted(maps.Keys(known))
	for _, name := range slices.Sorted(maps.Keys(tree)) {
		f, ok := known[name]
		if !ok {
			w.report(path+"."+name, name, names)
		}
		if f.inner != nil {
			w.walk(path+"."+name, tree[name], f.inner)
		}
	}
}

func (w *unknownWalk) report(path, name string, known []string) {
	remedy := "remove it; the fields are " + strings.Join(known, ", ")
	if near := spelling.Nearest(name, known); near != "" {
		remedy = fmt.Sprintf("write %q if that is meant, or remove it", near)
	}
	w.found = append(w.found, Violation{
		Rule: RuleUnknown, Record: w.header.Key(), Field: path,
		Problem: fmt.Sprintf("%s has no such field", w.header.Form()),
		Remedy:  remedy,
	})
}

// field is a field of a spec.
type field struct {
	kind reflect.Kind
	// inner are the fields of an object; nil for anything else.
	inner map[string]field
}

// fieldsOf gives the fields of a struct by their JSON names.
func fieldsOf(shape reflect.Type) map[string]field {
	fields := make(map[string]field, shape.NumField())
	for i := range shape.NumField() {
		name, _, _ := strings.Cut(shape.Field(i).Tag.Get("json"), ",")
		f := field{kind: shape.Field(i).Type.Kind()}
		if f.kind == reflect.Struct {
			f.inner = fieldsOf(shape.Field(i).Type)
		}
		fields[name] = f
	}
	return fields
}
