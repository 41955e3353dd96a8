package core

import (
	"encoding/json"
	"go/ast"
	"go/parser"
	"go/token"
	"maps"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/api"
	"oleandershunt.example/oleandershunt/internal/core/config"
)

// Guards against a recorded trace that can't be replayed ("message name is not
// known") because a new event or action type was not registered.
func TestEveryMessageIsRegistered(t *testing.T) {
	g := NewWithT(t)
	declared := declaredMessages(t)
	g.Expect(declared["EventName"]).NotTo(BeEmpty())
	g.Expect(declared["ActionName"]).NotTo(BeEmpty())
	g.Expect(registeredNames(eventTypes)).To(ConsistOf(declared["EventName"]), "registerEvents")
	g.Expect(registeredNames(actionTypes)).To(ConsistOf(declared["ActionName"]), "registerActions")
}

// declaredMessages returns the names of this package's types with methods, by
// method name.
func declaredMessages(t *testing.T) map[string][]string {
	g := NewWithT(t)
	files, err := filepath.Glob("*.go")
	g.Expect(err).NotTo(HaveOccurred())
	declared := make(map[string][]string)
	for _, path := range files {
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		g.Expect(err).NotTo(HaveOccurred())
		if strings.HasSuffix(path, "_test.go") {
			continue
		}
		for _, declaration := range file.Decls {
			function, ok := declaration.(*ast.FuncDecl)
			if !ok || function.Recv == nil {
				continue
			}
			if receiver, ok := function.Recv.List[0].Type.(*ast.Ident); ok {
				declared[function.Name.Name] = append(declared[function.Name.Name], receiver.Name)
			}
		}
	}
	return declared
}

func registeredNames(types map[string]reflect.Type) []string {
	var names []string
	for message := range maps.Values(types) {
		names = append(names, message.Name())
	}
	return names
}

// Guards against a replay that reaches other decisions because a field of a
// message is lost in JSON: unexported, without a tag, or with a duplicate tag.
func TestEveryMessageRoundTripsThroughJSON(t *testing.T) {
	for name, message := range eventTypes {
		t.Run(name, func(t *testing.T) {
			want := filled(message)
			body, err := json.Marshal(want.Interface())
			g := NewWithT(t)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(DecodeEvent(name, body)).To(Equal(want.Interface()))
		})
	}
	for name, message := range actionTypes {
		t.Run(name, func(t *testing.T) {
			want := filled(message)
			body, err := json.Marshal(want.Interface())
			g := NewWithT(t)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(DecodeAction(name, body)).To(Equal(want.Interface()))
		})
	}
}

// filled returns a value of a type with every exported field non-zero.
func filled(of reflect.Type) reflect.Value {
	value := reflect.New(of).Elem()
	fill(value, 1)
	return value
}

// filledSet returns a config.Set with a record of every kind. It is built rather
// than filled, since its lookup indexes are derived from its records.
func filledSet() *config.Set {
	specs := map[api.Kind]any{
		api.KindModel:         api.ModelSpec{},
		api.KindPipeline:      api.PipelineSpec{},
		api.KindBackendServer: api.BackendServerSpec{},
		api.KindRoute:         api.RouteSpec{},
		api.KindClientAccount: api.ClientAccountSpec{},
	}
	var documents []api.Document
	for _, kind := range api.OperatorKinds() {
		spec, err := json.Marshal(filled(reflect.TypeOf(specs[kind])).Interface())
		if err != nil {
			panic(err)
		}
		header := api.Header{Kind: kind, SchemaVersion: api.SchemaV1, Name: "filled"}
		documents = append(documents, api.Document{Header: header, Spec: spec})
	}
	set, err := config.Build(7, documents)
	if err != nil {
		panic(err)
	}
	return set
}

func fill(value reflect.Value, number int64) {
	if value.Type() == reflect.TypeFor[*config.Set]() {
		value.Set(reflect.ValueOf(filledSet()))
		return
	}
	switch value.Kind() {
	case reflect.Pointer:
		value.Set(reflect.New(value.Type().Elem()))
		fill(value.Elem(), number)
	case reflect.Struct:
		for i := range value.NumField() {
			if value.Type().Field(i).IsExported() {
				fill(value.Field(i), number+int64(i))
			}
		}
	case reflect.Slice:
		if value.Type() == reflect.TypeFor[json.RawMessage]() {
			value.SetBytes([]byte(`{"a":1}`))
			return
		}
		value.Set(reflect.MakeSlice(value.Type(), 2, 2))
		fill(value.Index(0), number)
		fill(value.Index(1), number+1)
	case reflect.Map:
		key := reflect.New(value.Type().Key()).Elem()
		element := reflect.New(value.Type().Elem()).Elem()
		fill(key, number)
		fill(element, number)
		value.Set(reflect.MakeMap(value.Type()))
		value.SetMapIndex(key, element)
	case reflect.String:
		value.SetString(strings.Repeat("x", int(number%7)+1))
	case reflect.Bool:
		value.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		value.SetInt(number)
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		value.SetUint(uint64(number))
	case reflect.Float32, reflect.Float64:
		value.SetFloat(float64(number) + 0.5)
	}
}

func TestInvalidMessageIsRejected(t *testing.T) {
	g := NewWithT(t)
	_, err := DecodeEvent("no_such_event", []byte("{}"))
	g.Expect(err).To(MatchError(ErrUnknownMessage))
	_, err = DecodeEvent("caller_gone", []byte(`{"request":"r","extra":1}`))
	g.Expect(err).To(MatchError(ErrMessageBody))
	_, err = DecodeAction("refuse", []byte(`{"request":7}`))
	g.Expect(err).To(MatchError(ErrMessageBody))
}
