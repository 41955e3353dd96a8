package fleet

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A fixed seed makes runs reproducible; -rapid.seed on the command line overrides it.
func init() { _ = flag.Set("rapid.seed", "20261203") }

// Contacts, refusals, reports, pauses and silence in any order: checking only the VMs whose
// evidence changed must give the same states, one tick later at most, as checking all VMs.
func TestTickChecksAllVMsWhoseStateChanges(t *testing.T) {
	options := VMDetectorOptions{Self: "vm-0", DataCentre: "a", HeartbeatInterval: time.Second, RemoteGoneAfter: time.Minute, ForgetAfter: 3 * time.Minute, PausedAfter: 3 * time.Second}
	rapid.Check(t, func(t *rapid.T) {
		tested, full := NewVMDetector(options), NewVMDetector(options)
		now := time.Second
		both := func(do func(v *VMDetector)) { do(tested); do(full) }
		tick := func() {
			tested.Tick(now)
			full.nextRemoteCheck = 0
			full.Tick(now)
			if a, b := tested.RemoveExpired(now), full.RemoveExpired(now); !slices.Equal(a, b) {
				t.Fatalf("removed %v, expected %v", a, b)
			}
		}
		vm := rapid.Custom(func(t *rapid.T) string { return fmt.Sprint("vm-", rapid.IntRange(1, 8).Draw(t, "vm")) })
		t.Repeat(map[string]func(*rapid.T){
			"add": func(t *rapid.T) {
				name := vm.Draw(t, "name")
				both(func(v *VMDetector) { v.Add(now, name, string("ab"[name[3]%2])) })
			},
			"contact": func(t *rapid.T) { name := vm.Draw(t, "name"); both(func(v *VMDetector) { v.RecordContact(now, name) }) },
			"refused": func(t *rapid.T) { name := vm.Draw(t, "name"); both(func(v *VMDetector) { v.ConnectionRefused(name) }) },
			"leaving": func(t *rapid.T) {
				name, left := vm.Draw(t, "name"), rapid.Bool().Draw(t, "left")
				both(func(v *VMDetector) { v.SetLeaving(name, true, left) })
			},
			"report": func(t *rapid.T) {
				name, witness, down := vm.Draw(t, "name"), vm.Draw(t, "witness"), rapid.Bool().Draw(t, "down")
				both(func(v *VMDetector) { v.SetDownReport(witness, name, down) })
			},
			"round": func(t *rapid.T) {
				now += time.Duration(rapid.IntRange(500, 2900).Draw(t, "ms")) * time.Millisecond
				tick()
			},
			"pause": func(t *rapid.T) {
				now += time.Duration(rapid.IntRange(3, 80).Draw(t, "s")) * time.Second
				tick()
			},
		})
		tick()
		now += time.Millisecond
		tick()
		if a, b := tested.Statuses(), full.Statuses(); !slices.EqualFunc(a, b, func(a, b VMStatus) bool { return a.Name == b.Name && a.State == b.State }) {
			t.Fatalf("states %v, expected %v", a, b)
		}
	})
}
