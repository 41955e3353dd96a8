package fleet

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// detectorPair is a detector and one that checks all VMs in each tick.
type detectorPair struct {
	tested, full *VMDetector
	now          time.Duration
}

func (p *detectorPair) both(do func(v *VMDetector)) {
	do(p.tested)
	do(p.full)
}

func (p *detectorPair) tick(t *rapid.T) {
	p.tested.Tick(p.now)
	p.full.nextRemoteCheck = 0
	p.full.Tick(p.now)
	if a, b := p.tested.RemoveExpired(p.now), p.full.RemoveExpired(p.now); !slices.Equal(a, b) {
		t.Fatalf("removed %v, expected %v", a, b)
	}
}

func (p *detectorPair) actions() map[string]func(*rapid.T) {
	vm := rapid.Custom(func(t *rapid.T) string { return fmt.Sprint("vm-", rapid.IntRange(1, 8).Draw(t, "vm")) })
	return map[string]func(*rapid.T){
		"add": func(t *rapid.T) {
			name := vm.Draw(t, "name")
			p.both(func(v *VMDetector) { v.Add(p.now, name, string("ab"[name[3]%2])) })
		},
		"contact": func(t *rapid.T) {
			name := vm.Draw(t, "name")
			p.both(func(v *VMDetector) { v.RecordContact(p.now, name) })
		},
		"timeout": func(t *rapid.T) { name := vm.Draw(t, "name"); p.both(func(v *VMDetector) { v.CallTimedOut(name) }) },
		"refused": func(t *rapid.T) {
			name := vm.Draw(t, "name")
			p.both(func(v *VMDetector) { v.ConnectionRefused(name) })
		},
		"leaving": func(t *rapid.T) {
			name, left := vm.Draw(t, "name"), rapid.Bool().Draw(t, "left")
			p.both(func(v *VMDetector) { v.SetLeaving(name, true, left) })
		},
		"report": func(t *rapid.T) {
			name, witness, down := vm.Draw(t, "name"), vm.Draw(t, "witness"), rapid.Bool().Draw(t, "down")
			p.both(func(v *VMDetector) { v.SetDownReport(witness, name, down) })
		},
		"round": func(t *rapid.T) {
			p.now += time.Duration(rapid.IntRange(500, 2900).Draw(t, "ms")) * time.Millisecond
			p.tick(t)
		},
		"pause": func(t *rapid.T) {
			p.now += time.Duration(rapid.IntRange(3, 80).Draw(t, "s")) * time.Second
			p.tick(t)
		},
	}
}

// Contacts, refusals, reports, pauses and silence in any order: checking only the VMs whose
// records changed must give the same states, one tick later at most, as checking all VMs.
func TestTickChecksAllVMsWhoseStateChanges(t *testing.T) {
	options := VMDetectorOptions{Self: "vm-0", DataCentre: "a", HeartbeatInterval: time.Second, RemoteGoneAfter: time.Minute, ForgetAfter: 3 * time.Minute, PausedAfter: 3 * time.Second}
	rapid.Check(t, func(t *rapid.T) {
		p := &detectorPair{tested: NewVMDetector(options), full: NewVMDetector(options), now: time.Second}
		t.Repeat(p.actions())
		p.tick(t)
		p.now += time.Millisecond
		p.tick(t)
		if a, b := p.tested.Statuses(), p.full.Statuses(); !slices.EqualFunc(a, b, func(a, b VMStatus) bool { return a.Name == b.Name && a.State == b.State }) {
			t.Fatalf("states %v, expected %v", a, b)
		}
	})
}

// largeDataCentre returns the detector of one of 200 VMs, all of which have just been in contact.
func largeDataCentre(now time.Duration) *VMDetector {
	v := NewVMDetector(VMDetectorOptions{Self: "vm-0", DataCentre: "a", HeartbeatInterval: time.Second, RemoteGoneAfter: time.Hour, ForgetAfter: time.Hour, PausedAfter: 3 * time.Second})
	for i := range 200 {
		v.Add(now, fmt.Sprint("vm-", i), "a")
	}
	v.Tick(now)
	return v
}

// Guards against failures that are noticed later because a large data centre exchanges more
// rarely: two VMs that called a VM in vain are enough, but not while its heartbeats come.
func TestReportsOfPartnersReplaceSilenceInALargeDataCentre(t *testing.T) {
	now := time.Minute
	v := largeDataCentre(now)
	if v.IntervalsPerRound() != 2 {
		t.Fatalf("%d intervals per round", v.IntervalsPerRound())
	}
	half := v.suspectAfter() / 2
	v.SetDownReport("vm-1", "vm-9", true)
	v.SetDownReport("vm-2", "vm-9", true)
	state := func(until time.Duration) State {
		for ; now < until; now += time.Second {
			for i := range 200 {
				if i != 9 {
					v.RecordContact(now, fmt.Sprint("vm-", i))
				}
			}
			v.Tick(now)
		}
		return v.State("vm-9")
	}
	silentUntil := now + half
	if got := state(silentUntil); got != Live {
		t.Fatalf("%s although its heartbeats are newer than that", got)
	}
	if got := state(silentUntil + time.Second); got != Gone {
		t.Fatalf("%s after two reports and silence", got)
	}
	v.RecordContact(now, "vm-9")
	if got := state(now + time.Second); got != Live {
		t.Fatalf("%s although it is back", got)
	}
}

func TestLargeDataCentresHaveFewerRounds(t *testing.T) {
	v := NewVMDetector(VMDetectorOptions{Self: "vm-0", DataCentre: "a"})
	intervals := make(map[int]int)
	for i := 1; i <= 600; i++ {
		v.Add(0, fmt.Sprint("vm-", i), "a")
		v.Add(0, fmt.Sprint("far-", i), "b")
		intervals[i] = v.IntervalsPerRound()
	}
	for vms, expected := range map[int]int{1: 1, 127: 1, 128: 2, 255: 2, 256: 3, 512: 4} {
		if intervals[vms] != expected {
			t.Fatalf("%d VMs: %d intervals per round, expected %d", vms, intervals[vms], expected)
		}
	}
}
