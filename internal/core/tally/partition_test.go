package tally_test

import (
	"testing"
	"time"
)

// membershipDelay is how long after the start of a partition the VMs beyond it don't count as live any more.
const membershipDelay = 3 * time.Second

// cut cuts a data centre off from the others, at a time after warmUp.
type cut struct {
	at, length time.Duration
	dataCentre string
}

// stray is a VM that can't reach its hub and reports to the VM ranked next, at a time after warmUp.
type stray struct {
	at, length time.Duration
	vm         int
}

func (s *simulation) within(at, length time.Duration) bool {
	return s.now >= warmUp+at && s.now < warmUp+at+length
}

// areApart reports whether two data centres are cut off from one another.
func (s *simulation) areApart(a, b string) bool {
	for _, c := range s.cuts {
		if s.within(c.at, c.length) && (a == c.dataCentre) != (b == c.dataCentre) {
			return true
		}
	}
	return false
}

// liveVMs returns how many VMs a VM counts as live.
func (s *simulation) liveVMs(vm *simulatedVM) int {
	live := 0
	for _, other := range s.vms {
		if !s.knownApart(vm.dataCentre, other.dataCentre) {
			live++
		}
	}
	return live
}

// knownApart reports whether two data centres have been apart for membershipDelay.
func (s *simulation) knownApart(a, b string) bool {
	for _, c := range s.cuts {
		if s.within(c.at+membershipDelay, c.length-membershipDelay) && (a == c.dataCentre) != (b == c.dataCentre) {
			return true
		}
	}
	return false
}

// hubUsedBy returns the VM that a VM reports to.
func (s *simulation) hubUsedBy(vm *simulatedVM) *simulatedVM {
	ranked := s.ranked(vm.dataCentre)
	for _, other := range s.strays {
		if s.vms[other.vm] == vm && s.within(other.at, other.length) && len(ranked) > 1 {
			return ranked[1]
		}
	}
	return ranked[0]
}

// Guards against each side of a partition using the budget of the requests that the other side got before it, and
// of which the other side uses it as well.
func TestRetriesKeepLimitWhileDataCentresAreCutOff(t *testing.T) {
	const second = time.Second
	for name, scenario := range map[string]struct {
		cuts         []cut
		losses       []loss
		failuresFrom time.Duration
	}{
		"one as requests begin to fail":        {cuts: []cut{{3 * second, 6 * second, "b"}}, failuresFrom: 3 * second},
		"one before":                           {cuts: []cut{{1 * second, 12 * second, "b"}}, failuresFrom: 3 * second},
		"one with the budget partly used":      {cuts: []cut{{3500 * time.Millisecond, 6 * second, "b"}}, failuresFrom: 3 * second},
		"one with the budget used up":          {cuts: []cut{{6 * second, 6 * second, "b"}}, failuresFrom: 3 * second},
		"one again and again":                  {cuts: []cut{{3 * second, 2 * second, "b"}, {6 * second, 2 * second, "c"}, {9 * second, 2 * second, "b"}}, failuresFrom: 3 * second},
		"all apart":                            {cuts: []cut{{3 * second, 6 * second, "b"}, {3 * second, 6 * second, "c"}}, failuresFrom: 3 * second},
		"one, most VMs killed meanwhile":       {cuts: []cut{{3 * second, 6 * second, "b"}}, losses: []loss{{4 * second, 0.6, false}}, failuresFrom: 3 * second},
		"one, most VMs killed before it":       {cuts: []cut{{5 * second, 6 * second, "c"}}, losses: []loss{{4 * second, 0.6, false}}, failuresFrom: 2 * second},
		"one, and failures only after its end": {cuts: []cut{{3 * second, 2 * second, "b"}}, failuresFrom: 5 * second},
	} {
		t.Run(name, func(t *testing.T) {
			expectLimitKept(t, scenario.losses, func(s *simulation) {
				s.cuts, s.failuresFrom = scenario.cuts, warmUp+scenario.failuresFrom
			})
		})
	}
}

// Guards against VMs that can't reach their hub, report to another VM and use the budget of the requests of all
// VMs of their data centre, as the others do.
func TestRetriesKeepLimitWhileVMsUseAnotherHub(t *testing.T) {
	expectLimitKept(t, nil, func(s *simulation) {
		for vm := simulatedCentres; vm < simulatedVMs; vm += 2 {
			s.strays = append(s.strays, stray{3 * time.Second, 6 * time.Second, vm})
		}
	})
}

// Guards against retries of killed VMs that no VM that lives on was told of: a data centre is cut off, and a second
// later most VMs are killed with all hubs.
func TestRetriesKeepLimitWhenHubsAreLostDuringACut(t *testing.T) {
	expectLimitKept(t, []loss{{4 * time.Second, 0.6, true}}, func(s *simulation) { s.cuts = []cut{{3 * time.Second, 6 * time.Second, "b"}} })
}
