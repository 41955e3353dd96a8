// Package api defines the records which operators write and read: their kinds,
// their schema versions, the conversions between versions and the rules that a
// record must meet by itself. The rules that a whole set of records must meet
// are in internal/core/config.
package api

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Kind names a type of record.
type Kind string

// The kinds that operators write.
const (
	KindModel         Kind = "Model"
	KindPipeline      Kind = "Pipeline"
	KindBackendServer Kind = "BackendServer"
	KindRoute         Kind = "Route"
	KindClientAccount Kind = "ClientAccount"
)

// The kinds that the system writes and operators read.
const (
	KindRelease Kind = "Release"
	KindPage    Kind = "Page"
	KindStatus  Kind = "Status"
)

// OperatorKinds lists the kinds that operators write, in the order in which
// references point: a record refers only to kinds before its own, so that
// references can't form a cycle.
func OperatorKinds() []Kind {
	return []Kind{KindModel, KindPipeline, KindBackendServer, KindRoute, KindClientAccount}
}

// The schema versions.
const (
	SchemaV1 = "v1"
	SchemaV2 = "v2"
)

// Header identifies a record. Every record carries it.
type Header struct {
	// Kind is the type of the record.
	Kind Kind `json:"kind"`
	// SchemaVersion says how Spec is to be read, for example "v1".
	SchemaVersion string `json:"schemaVersion"`
	// Name is unique within the kind.
	Name string `json:"name"`
}

// Key is the identity of a record, as "Kind/name".
func (h Header) Key() string { return Key(h.Kind, h.Name) }

// Key is the identity of a record, as "Kind/name".
func Key(kind Kind, name string) string { return string(kind) + "/" + name }

// Document is a record whose spec has not been decoded yet. Decoding and
// encoding keeps every field, known or not.
type Document struct {
	Header
	// Annotations are the operators' own notes. The system ignores them.
	Annotations map[string]string `json:"annotations,omitempty"`
	// Spec is the kind's own part, as JSON.
	Spec json.RawMessage `json:"spec"`
	// Extra holds the fields outside of Spec which this program doesn't know.
	Extra map[string]json.RawMessage `json:"-"`
}

// plainDocument has a Document's fields without its methods.
type plainDocument Document

// documentFields are the fields of a document that this program knows.
var documentFields = []string{"kind", "schemaVersion", "name", "annotations", "spec"}

// documentKeys are documentFields for a scan of keys; what is inside them is not looked at.
var documentKeys = map[string]field{"kind": {}, "schemaVersion": {}, "name": {}, "annotations": {}, "spec": {}}

// UnmarshalJSON keeps unknown fields in Extra.
func (d *Document) UnmarshalJSON(data []byte) error {
	*d = Document{}
	if err := json.Unmarshal(data, (*plainDocument)(d)); err != nil {
		return plainError(err)
	}
	if onlyKnownKeys(data, documentKeys) {
		return nil
	}
	if err := json.Unmarshal(data, &d.Extra); err != nil {
		return err
	}
	for _, known := range documentFields {
		delete(d.Extra, known)
	}
	return nil
}

// MarshalJSON writes the known fields, then the unknown ones in order of name.
func (d Document) MarshalJSON() ([]byte, error) {
	data, err := json.Marshal(plainDocument(d))
	if err != nil || len(d.Extra) == 0 {
		return data, err
	}
	data = data[:len(data)-1]
	for _, name := range slices.Sorted(maps.Keys(d.Extra)) {
		field, err := json.Marshal(name)
		if err != nil {
			return nil, err
		}
		data = fmt.Appendf(data, ",%s:%s", field, d.Extra[name])
	}
	return append(data, '}'), nil
}

// plainError tells a reader of records which field has the wrong type, without
// the names of Go types.
func plainError(err error) error {
	var wrong *json.UnmarshalTypeError
	if !errors.As(err, &wrong) {
		return err
	}
	if wrong.Field == "" {
		return fmt.Errorf("it is a %s, not an object", wrong.Value)
	}
	return fmt.Errorf("%s is a %s", strings.TrimPrefix(wrong.Field, "Header."), wrong.Value)
}
