package config

import (
	"encoding/json"
	"errors"
	"testing"

	"oleandershunt.example/oleandershunt/api"
)

// FuzzPage loads arbitrary bytes as a page with a matching content hash. A page that
// is accepted must be encoded again into a page that loads.
func FuzzPage(f *testing.F) {
	f.Fuzz(func(t *testing.T, kind, shard string, value []byte) {
		ref := api.PageRef{Kind: api.Kind(kind), Shard: shard, Hash: contentHash(value)}
		release := api.Release{Sequence: 1, Pages: []api.PageRef{ref}}
		set, err := Empty().Load(release, map[string][]byte{ref.Hash: value})
		if err != nil {
			return
		}
		again, ok := set.PageValue(ref)
		if !ok {
			t.Fatalf("loaded set lacks page %v", ref)
		}
		if _, err := Empty().Load(release, map[string][]byte{ref.Hash: again}); err != nil {
			t.Fatalf("%s is encoded again as %s, which does not load: %v", value, again, err)
		}
	})
}

// FuzzChange accepts an arbitrary record from the platform. An accepted one must
// make a valid set that survives JSON encoding.
func FuzzChange(f *testing.F) {
	f.Fuzz(func(t *testing.T, kind, name string, raw []byte) {
		change := Change{Kind: api.Kind(kind), Name: name, Version: 1, Raw: raw}
		out, err := Accept(AcceptInput{InForce: Empty(), Changes: []Change{change}, By: "vm"})
		if err != nil {
			t.Fatal(err)
		}
		if out.Release == nil {
			return
		}
		if found := Validate(out.Set); len(found) > 0 {
			t.Fatalf("%s was accepted despite violations: %v", raw, found)
		}
		data, err := json.Marshal(out.Set)
		if err != nil {
			t.Fatal(err)
		}
		var again Set
		if err := json.Unmarshal(data, &again); err != nil {
			t.Fatalf("%s: %v", data, err)
		}
	})
}

// FuzzSet decodes a set from the JSON of a trace recording.
func FuzzSet(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		var set Set
		if err := json.Unmarshal(data, &set); err != nil {
			return
		}
		Validate(&set)
		if _, err := json.Marshal(&set); err != nil && !errors.Is(err, api.ErrMalformed) {
			t.Fatal(err)
		}
	})
}
