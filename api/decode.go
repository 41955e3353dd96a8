package api

import (
	"encoding/json"
	"unicode/utf8"

	"github.com/rotisserie/eris"
)

// MaxRecordBytes bounds one record's JSON. It is well under the platform's
// limit of a megabyte a value, since records share pages.
const MaxRecordBytes = 64 << 10

// The kinds of error of decoding.
var (
	// ErrMalformed: the bytes are not a record.
	ErrMalformed = eris.New("not a record: write a JSON or TOML object with kind, schemaVersion, name and spec")
	// ErrUnknownKind: the kind is not one that operators write.
	ErrUnknownKind = eris.New("unknown kind: use one of the kinds listed")
	// ErrUnknownVersion: this program doesn't read the schema version.
	ErrUnknownVersion = eris.New("unknown schema version: use one of those listed, or upgrade this program")
	// ErrOversized: the record is longer than MaxRecordBytes.
	ErrOversized = eris.New("record is larger than 65536 bytes: split it or shorten its lists")
)

// Decode reads one record from JSON. It doesn't look into the spec.
func Decode(data []byte) (Document, error) {
	if len(data) > MaxRecordBytes {
		return Document{}, eris.Wrapf(ErrOversized, "%d bytes", len(data))
	}
	if !utf8.Valid(data) {
		return Document{}, eris.Wrap(ErrMalformed, "the text is not UTF-8")
	}
	var document Document
	if err := document.UnmarshalJSON(data); err != nil {
		return Document{}, eris.Wrap(ErrMalformed, err.Error())
	}
	if document.Kind == "" || document.Name == "" || document.SchemaVersion == "" || len(document.Spec) == 0 {
		return Document{}, eris.Wrap(ErrMalformed, "kind, schemaVersion, name or spec is missing")
	}
	document.intern()
	return document, nil
}

// intern replaces strings that every record has by constants, so that tens of
// thousands of records don't each hold a copy.
func (d *Document) intern() {
	for kind := range schemas {
		if kind == d.Kind {
			d.Kind = kind
		}
	}
	for version := range schemas[d.Kind] {
		if version == d.SchemaVersion {
			d.SchemaVersion = version
		}
	}
}

// DecodeSpec reads a record's spec in the form that the program works with,
// whatever the schema version that it is written in. Fields that this program
// doesn't know are passed over; UnknownFields lists them.
func DecodeSpec(document Document) (Spec, error) {
	found, err := findSchema(document.Header)
	if err != nil {
		return nil, err
	}
	if len(document.Spec) == 0 {
		return nil, eris.Wrapf(ErrMalformed, "%s: spec is missing", document.Key())
	}
	spec, err := found.decode(document.Spec)
	if err != nil {
		return nil, eris.Wrapf(ErrMalformed, "%s: spec: %v", document.Key(), err)
	}
	return spec, nil
}

// NewDocument makes a v1 record of one of the spec types.
func NewDocument(kind Kind, name string, spec any) (Document, error) {
	data, err := json.Marshal(spec)
	return Document{Header: Header{Kind: kind, SchemaVersion: SchemaV1, Name: name}, Spec: data}, err
}
