package config

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/rotisserie/eris"

	"oleandershunt.example/oleandershunt/api"
)

// Record is one version of one record. It is immutable.
type Record struct {
	api.Header
	// Version is the platform's version of the record's object.
	Version uint64
	// Raw is the record as the operator wrote it, in canonical JSON. Pages contain
	// Raw, so that a VM preserves fields that it doesn't know.
	Raw json.RawMessage
	// Violations are the rules that the record breaks on its own, without regard to
	// other records. A record is validated once, when it is decoded.
	Violations api.Violations
	// decoded is the decoded spec. It is nil for kinds that are decoded on demand.
	decoded api.Spec
	// specStart and specEnd are the byte range of the spec in Raw.
	specStart, specEnd uint32
}

// Spec returns the decoded spec, whatever schema version the record is written in.
// The result must not be modified. The spec of a client account is decoded on
// each call: there are tens of thousands of accounts, most of them without
// requests on this VM, and their decoded specs would take as much memory as Raw.
func (r *Record) Spec() api.Spec {
	if r.decoded != nil {
		return r.decoded
	}
	spec, err := api.DecodeSpec(api.Document{Header: r.Header, Spec: r.Raw[r.specStart:r.specEnd]})
	if err != nil {
		// newRecord decoded the same bytes without an error. Returning an empty
		// spec here could remove an account's limits.
		panic(fmt.Sprintf("%s: decoding the spec failed although it succeeded before: %v", r.Key(), err))
	}
	return spec
}

// decodedOnDemand reports whether records of a kind are stored without their
// decoded specs.
func decodedOnDemand(kind api.Kind) bool { return kind == api.KindClientAccount }

// NewRecord decodes and validates a record. The record may keep raw, which must not
// be modified afterwards.
func NewRecord(version uint64, raw []byte) (*Record, error) {
	document, err := api.Decode(raw)
	if err != nil {
		return nil, err
	}
	return newRecord(version, document, raw)
}

func newRecord(version uint64, document api.Document, raw []byte) (*Record, error) {
	spec, err := api.DecodeSpec(document)
	if err != nil {
		return nil, err
	}
	canonical, err := canonicalJSON(raw)
	if err != nil {
		return nil, eris.Wrap(api.ErrMalformed, err.Error())
	}
	record := &Record{
		Header:     document.Header,
		Version:    version,
		Raw:        canonical,
		Violations: api.ValidateSpec(document, spec),
	}
	if !decodedOnDemand(record.Kind) {
		record.decoded = spec
		return record, nil
	}
	return record, record.locateSpec(document)
}

// locateSpec sets the byte range of the spec in Raw. If the record was not written
// in canonical form, the bytes of its spec may not occur in Raw, and Raw is
// decoded instead.
func (r *Record) locateSpec(document api.Document) error {
	from := bytes.Index(r.Raw, document.Spec)
	if from < 0 {
		canonical, err := api.Decode(r.Raw)
		if err != nil {
			return err
		}
		document = canonical
		from = bytes.Index(r.Raw, document.Spec)
	}
	r.specStart = uint32(from)
	r.specEnd = uint32(from + len(document.Spec))
	return nil
}

// canonicalJSON returns JSON compacted and escaped as encoding/json does. The
// platform and its client may each compact and escape JSON that passes through
// them, which would change a page's content hash between its writer and its reader.
func canonicalJSON(raw []byte) (json.RawMessage, error) {
	if isCanonical(raw) {
		return raw, nil
	}
	return json.Marshal(json.RawMessage(raw))
}

// isCanonical reports whether valid JSON is certain to be in canonical form: no
// whitespace outside of strings and no characters that would be escaped. It may
// return false for JSON in canonical form.
func isCanonical(raw []byte) bool {
	quoted := false
	for i := 0; i < len(raw); i++ {
		switch c := raw[i]; {
		case c == '<' || c == '>' || c == '&' || c >= 0x80:
			return false
		case quoted && c == '\\':
			i++
		case c == '"':
			quoted = !quoted
		case !quoted && c <= ' ':
			return false
		}
	}
	return true
}
