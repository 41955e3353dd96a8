package config

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"oleandershunt.example/oleandershunt/api"
	"oleandershunt.example/oleandershunt/internal/testutil"
)

// manyAccounts are writes of n client accounts like those of a large deployment.
func manyAccounts(n int) []Change {
	changes := make([]Change, 0, n)
	for i := range n {
		changes = append(changes, oneAccount(i, uint64(i+100)))
	}
	return changes
}

func oneAccount(i int, version uint64) Change {
	spec := fmt.Sprintf(`{"keySHA256":[%q],"pipelines":["p"],"weight":1,"requestsPerSecond":%d,"burst":%d,"homeDataCentre":"bornova"}`,
		apiKeySum(i), i%50+1, i%7)
	return recordChange(api.KindClientAccount, fmt.Sprintf("account-%05d", i), version, "v1", spec)
}

// apiKeySum is the SHA-256 sum of an account's API key, uniformly distributed like
// real ones.
func apiKeySum(i int) string {
	return fmt.Sprintf("%x", sha256.Sum256([]byte(fmt.Sprintf("key-%d", i))))
}

// manyServers are writes of n backend servers. Each group of four covers all layers.
func manyServers(n int) []Change {
	changes := make([]Change, 0, n)
	for i := range n {
		spec := fmt.Sprintf(`{"address":"10.%d.%d.%d:8000","dataCentre":"bornova","accelerator":"fast","model":"m","layers":{"from":%d,"to":%d},"tokensPerSecond":2000}`,
			i>>16, i>>8&255, i&255, i%4*6, i%4*6+6)
		changes = append(changes, recordChange(api.KindBackendServer, fmt.Sprintf("server-%05d", i), uint64(i+100), "v1", spec))
	}
	return changes
}

func acceptAll(b *testing.B, changes []Change) (*Set, api.Release) {
	out, err := Accept(AcceptInput{InForce: Empty(), Changes: append(baseChanges(), changes...), By: "vm"})
	if err != nil || out.Release == nil {
		b.Fatalf("not accepted: %v", err)
	}
	return out.Set, *out.Release
}

func pageValues(set *Set, refs []api.PageRef) map[string][]byte {
	values := make(map[string][]byte, len(refs))
	for _, ref := range refs {
		values[ref.Hash], _ = set.PageValue(ref)
	}
	return values
}

// BenchmarkLoadAndValidate loads every page of a release and validates the set, as a
// VM does when it starts. B-held is the heap size of the loaded set in bytes.
func BenchmarkLoadAndValidate(b *testing.B) {
	for _, n := range []int{10, 1_000, 31_000} {
		b.Run(fmt.Sprintf("accounts=%d", n), func(b *testing.B) {
			set, release := acceptAll(b, manyAccounts(n))
			pages := len(set.Pages())
			values := pageValues(set, append(set.Pages(), release.Pages...))
			set = nil
			before := testutil.Heap()
			used := testutil.CPUTime(b)
			var loaded *Set
			for b.Loop() {
				loaded = nil
				var err error
				if loaded, err = Empty().Load(release, values); err != nil {
					b.Fatal(err)
				}
				if found := Validate(loaded); len(found) > 0 {
					b.Fatal(found)
				}
			}
			b.ReportMetric(float64(testutil.CPUTime(b)-used)/float64(b.N), "cpu-ns/op")
			b.ReportMetric(float64(testutil.Heap())-float64(before), "B-held")
			b.ReportMetric(float64(pages), "pages")
			runtime.KeepAlive(loaded)
			runtime.KeepAlive(values)
		})
	}
}

// BenchmarkAcceptAll accepts all accounts in one release, as after the first apply.
func BenchmarkAcceptAll(b *testing.B) {
	changes := append(baseChanges(), manyAccounts(31_000)...)
	for b.Loop() {
		out, err := Accept(AcceptInput{InForce: Empty(), Changes: changes, By: "vm"})
		if err != nil || out.Set.Count(api.KindClientAccount) != 31_001 {
			b.Fatal(err)
		}
	}
}

// benchmarkOneChange accepts one change of a set, and loads the new release as the
// other VMs do.
func benchmarkOneChange(b *testing.B, base []Change, change Change) {
	set, release := acceptAll(b, base)
	seen := map[api.Kind]uint64{change.Kind: change.Version}
	var out AcceptResult
	b.Run("accept", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			var err error
			out, err = Accept(AcceptInput{InForce: set, Release: release, Changes: []Change{change}, Seen: seen, By: "vm"})
			if err != nil || out.Release == nil {
				b.Fatal(err, out.Records)
			}
		}
		size := 0
		for _, value := range pageValues(out.Set, out.NewPages) {
			size += len(value)
		}
		encoded, _ := json.Marshal(out.Release)
		b.ReportMetric(float64(size), "B-pages")
		b.ReportMetric(float64(len(encoded)), "B-release")
	})
	b.Run("load", func(b *testing.B) {
		b.ReportAllocs()
		values := pageValues(out.Set, out.NewPages)
		for b.Loop() {
			if _, err := set.Load(*out.Release, values); err != nil {
				b.Fatal(err)
			}
		}
	})
}

func BenchmarkChangeOneAccount(b *testing.B) {
	for _, n := range []int{1_000, 10_000, 31_000, 100_000} {
		b.Run(fmt.Sprintf("accounts=%d", n), func(b *testing.B) {
			benchmarkOneChange(b, manyAccounts(n), oneAccount(n/2, uint64(n+1000)))
		})
	}
}

func BenchmarkChangeOneServer(b *testing.B) {
	for _, n := range []int{40, 800, 10_000} {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			change := manyServers(n/2 + 1)[n/2]
			change.Version = uint64(n + 1000)
			benchmarkOneChange(b, manyServers(n), change)
		})
	}
}

func BenchmarkAccountByKey(b *testing.B) {
	for _, n := range []int{10, 31_000} {
		b.Run(fmt.Sprintf("accounts=%d", n), func(b *testing.B) {
			set, _ := acceptAll(b, manyAccounts(n))
			sum := apiKeySum(n / 2)
			for b.Loop() {
				name, ok := set.AccountByKey(sum)
				if !ok {
					b.Fatal("not found")
				}
				if _, ok := set.Account(name); !ok {
					b.Fatal("no account")
				}
			}
		})
	}
}
