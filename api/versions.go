package api

import (
	"encoding/json"
	"reflect"
	"slices"
)

// Spec is a record's own part in the form that the program works with: one of
// *ModelSpec, *PipelineSpec, *BackendServerSpec, *RouteSpec, *ClientAccountSpec.
type Spec any

// schema is one version of one kind.
type schema struct {
	// shape is the Go type whose JSON form is the version's.
	shape reflect.Type
	// fields are those of shape.
	fields map[string]field
	// decode reads the version's JSON.
	decode func([]byte) (Spec, error)
	// moves turn v1 into this version. Empty for v1 itself.
	moves []move
}

// schemas lists every version that this program reads. The fields of a version
// that has been published never change; a new field needs a new version, so
// that a VM knows from the version alone whether it understands a record.
var schemas = map[Kind]map[string]schema{
	KindModel:    {SchemaV1: plain[ModelSpec]()},
	KindPipeline: {SchemaV1: plain[PipelineSpec]()},
	KindBackendServer: {
		SchemaV1: plain[BackendServerSpec](),
		SchemaV2: through(BackendServerV2.Spec, []move{
			{"model", []string{"holds", "model"}},
			{"modelVersion", []string{"holds", "version"}},
			{"layers", []string{"holds", "layers"}},
			{"tokensPerSecond", []string{"capacity", "tokensPerSecond"}},
		}),
	},
	KindRoute: {SchemaV1: plain[RouteSpec]()},
	KindClientAccount: {
		SchemaV1: plain[ClientAccountSpec](),
		SchemaV2: through(ClientAccountV2.Spec, []move{
			{"weight", []string{"limits", "weight"}},
			{"requestsPerSecond", []string{"limits", "requestsPerSecond"}},
			{"burst", []string{"limits", "burst"}},
		}),
	},
}

// plain is a version whose JSON form is that of the program's own type.
func plain[T any]() schema {
	return schema{
		shape:  reflect.TypeFor[T](),
		fields: fieldsOf(reflect.TypeFor[T]()),
		decode: func(data []byte) (Spec, error) {
			spec := new(T)
			return spec, json.Unmarshal(data, spec)
		},
	}
}

// through is a version that is decoded by its own type and then converted.
func through[W, T any](convert func(W) T, moves []move) schema {
	return schema{
		shape:  reflect.TypeFor[W](),
		fields: fieldsOf(reflect.TypeFor[W]()),
		decode: func(data []byte) (Spec, error) {
			var wire W
			if err := json.Unmarshal(data, &wire); err != nil {
				return nil, err
			}
			spec := convert(wire)
			return &spec, nil
		},
		moves: moves,
	}
}

// Versions lists the schema versions of a kind that this program reads, oldest first.
func Versions(kind Kind) []string {
	var versions []string
	for version := range schemas[kind] {
		versions = append(versions, version)
	}
	slices.Sort(versions)
	return versions
}

// Readable lists every kind and schema version that this program reads, as
// "Kind/version", in order. Each VM publishes it, so that a record in a version
// that some VM can't read is not put in force.
func Readable() []string {
	var readable []string
	for _, kind := range OperatorKinds() {
		for _, version := range Versions(kind) {
			readable = append(readable, string(kind)+"/"+version)
		}
	}
	slices.Sort(readable)
	return readable
}

// Form is the record's kind and schema version as Readable lists them.
func (h Header) Form() string { return string(h.Kind) + "/" + h.SchemaVersion }
