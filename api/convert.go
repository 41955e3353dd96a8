package api

import (
	"encoding/json"
	"slices"

	"github.com/rotisserie/eris"
)

// move says that a field at the top of v1's spec stands at a path of another
// version. Conversion moves JSON subtrees and leaves everything else where it
// is: a field that this program doesn't know can't be dropped by it.
type move struct {
	field string
	path  []string
}

// ErrNotConvertible marks a record that has no lossless form in the version asked for.
var ErrNotConvertible = eris.New("record can't be converted without loss: correct the field named")

// Convert gives the record in another schema version of its kind. Fields that
// this program doesn't know are kept, and converting back gives the same record.
func Convert(document Document, version string) (Document, error) {
	from, err := findSchema(document.Header)
	if err != nil {
		return Document{}, err
	}
	target := document.Header
	target.SchemaVersion = version
	to, err := findSchema(target)
	if err != nil {
		return Document{}, err
	}
	if document.SchemaVersion == version {
		return document, nil
	}
	var tree map[string]json.RawMessage
	if err := json.Unmarshal(document.Spec, &tree); err != nil {
		return Document{}, eris.Wrapf(ErrMalformed, "%s: spec: %v", document.Key(), err)
	}
	for _, m := range from.moves {
		if err := m.up(tree); err != nil {
			return Document{}, eris.Wrap(err, document.Key())
		}
	}
	for _, m := range to.moves {
		if err := m.down(tree); err != nil {
			return Document{}, eris.Wrap(err, document.Key())
		}
	}
	document.Header = target
	document.Spec, err = json.Marshal(tree)
	return document, err
}

// group reads the object that holds the field in the other version.
func (m move) group(tree map[string]json.RawMessage) (inner map[string]json.RawMessage, there bool, err error) {
	outer, there := tree[m.path[0]]
	if !there {
		return map[string]json.RawMessage{}, false, nil
	}
	if json.Unmarshal(outer, &inner) != nil || inner == nil {
		return nil, true, eris.Wrapf(ErrNotConvertible, "spec.%s is not an object: correct it", m.path[0])
	}
	return inner, true, nil
}

// down moves the field from the top to its path. What stands there already would
// take on the field's meaning, so it is refused.
func (m move) down(tree map[string]json.RawMessage) error {
	inner, there, err := m.group(tree)
	if err != nil {
		return err
	}
	group, name := m.path[0], m.path[1]
	if _, taken := inner[name]; taken {
		return eris.Wrapf(ErrNotConvertible, "spec.%s.%s is in the way of spec.%s: remove it", group, name, m.field)
	}
	value, ok := tree[m.field]
	if !ok {
		return nil
	}
	if there && len(inner) == 0 {
		return eris.Wrapf(ErrNotConvertible, "spec.%s is empty and in the way of spec.%s: remove it", group, m.field)
	}
	inner[name] = value
	delete(tree, m.field)
	return put(tree, group, inner)
}

// up moves the field from its path to the top. A group that this empties goes.
func (m move) up(tree map[string]json.RawMessage) error {
	inner, _, err := m.group(tree)
	if err != nil {
		return err
	}
	group, name := m.path[0], m.path[1]
	if _, taken := tree[m.field]; taken {
		return eris.Wrapf(ErrNotConvertible, "spec.%s is in the way of spec.%s.%s: remove it", m.field, group, name)
	}
	value, ok := inner[name]
	if !ok {
		return nil
	}
	tree[m.field] = value
	delete(inner, name)
	if len(inner) == 0 {
		delete(tree, group)
		return nil
	}
	return put(tree, group, inner)
}

func put(tree map[string]json.RawMessage, name string, inner map[string]json.RawMessage) error {
	data, err := json.Marshal(inner)
	tree[name] = data
	return err
}

func findSchema(h Header) (schema, error) {
	versions, ok := schemas[h.Kind]
	if !ok {
		return schema{}, eris.Wrapf(ErrUnknownKind, "%q; kinds are %v", h.Kind, OperatorKinds())
	}
	found, ok := versions[h.SchemaVersion]
	if !ok {
		return schema{}, eris.Wrapf(ErrUnknownVersion, "%s %q; this program reads %v", h.Kind, h.SchemaVersion, Versions(h.Kind))
	}
	return found, nil
}

// CanRead says whether a program that reads the forms listed can read the record.
func CanRead(readable []string, h Header) bool { return slices.Contains(readable, h.Form()) }
