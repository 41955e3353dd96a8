// Package config holds the configuration in force on a VM. It validates changes of
// records, builds releases from the accepted ones, and decides which release comes
// in force. It does no I/O.
package config

import (
	"cmp"
	"iter"
	"slices"

	"oleandershunt.example/oleandershunt/api"
)

// Set is a complete configuration. It is immutable; the next one shares its
// unchanged parts and costs in proportion to the changes.
type Set struct {
	// Release is the set's place in the sequence of releases; higher is newer.
	Release uint64
	// Models, Pipelines and Routes are keyed by record name. They must not be modified.
	Models    map[string]api.ModelSpec
	Pipelines map[string]api.PipelineSpec
	Routes    map[string]api.RouteSpec

	tables map[api.Kind]*table
	keys   *keyIndex
}

// Empty returns the set that is in force before the first release.
func Empty() *Set { return newSet(0, nil) }

// Server is a backend server with its record's name.
type Server struct {
	Name string
	api.BackendServerSpec
	// Version is the model version that the server is expected to hold.
	Version string
}

func newSet(release uint64, records []*Record) *Set {
	byKind := map[api.Kind][]*Record{}
	for _, record := range records {
		byKind[record.Kind] = append(byKind[record.Kind], record)
	}
	set := &Set{Release: release, tables: map[api.Kind]*table{}}
	for _, kind := range api.OperatorKinds() {
		set.tables[kind] = newTable(kind, byKind[kind])
	}
	set.derive()
	return set
}

// derive builds the lookup structures from the tables.
func (s *Set) derive() {
	s.Models = specMap[api.ModelSpec](s.tables[api.KindModel])
	s.Pipelines = specMap[api.PipelineSpec](s.tables[api.KindPipeline])
	s.Routes = specMap[api.RouteSpec](s.tables[api.KindRoute])
	s.keys = newKeyIndex(s.tables[api.KindClientAccount])
}

func specMap[T any](t *table) map[string]T {
	specs := make(map[string]T, t.count)
	for record := range t.all() {
		specs[record.Name] = *record.Spec().(*T)
	}
	return specs
}

// Account returns a client account by its record's name.
func (s *Set) Account(name string) (api.ClientAccountSpec, bool) {
	return lookup[api.ClientAccountSpec](s.tables[api.KindClientAccount], name)
}

// Backend returns a backend server by its record's name.
func (s *Set) Backend(name string) (api.BackendServerSpec, bool) {
	return lookup[api.BackendServerSpec](s.tables[api.KindBackendServer], name)
}

func lookup[T any](t *table, name string) (T, bool) {
	record := t.get(name)
	if record == nil {
		var none T
		return none, false
	}
	return *record.Spec().(*T), true
}

// Record returns a record by kind and name, or nil.
func (s *Set) Record(kind api.Kind, name string) *Record {
	if t, ok := s.tables[kind]; ok {
		return t.get(name)
	}
	return nil
}

// Records returns the records of a kind in an order that depends only on their names.
func (s *Set) Records(kind api.Kind) iter.Seq[*Record] {
	if t, ok := s.tables[kind]; ok {
		return t.all()
	}
	return func(func(*Record) bool) {}
}

// Count returns the number of records of a kind.
func (s *Set) Count(kind api.Kind) int {
	if t, ok := s.tables[kind]; ok {
		return t.count
	}
	return 0
}

// Servers returns the backend servers ordered by name.
func (s *Set) Servers() []Server {
	servers := make([]Server, 0, s.Count(api.KindBackendServer))
	for record := range s.Records(api.KindBackendServer) {
		spec := *record.Spec().(*api.BackendServerSpec)
		version := cmp.Or(spec.ModelVersion, s.Models[spec.Model].Version)
		servers = append(servers, Server{Name: record.Name, BackendServerSpec: spec, Version: version})
	}
	slices.SortFunc(servers, func(a, b Server) int { return cmp.Compare(a.Name, b.Name) })
	return servers
}

// AccountByKey returns the name of the account that owns the API key with the given
// SHA-256 sum in hex.
func (s *Set) AccountByKey(sum string) (string, bool) {
	key, ok := parseKeySum(sum)
	if !ok {
		return "", false
	}
	owners := s.keys.owners(key)
	if len(owners) == 0 {
		return "", false
	}
	return owners[0].account, true
}
