package fleet_test

import (
	"fmt"
	"math/bits"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/core/fleet"
)

// mixedDataCentre simulates the heartbeats of a data centre in which some VMs are of the previous
// build: these exchange with a random VM in each interval, the others with a random partner in
// each intervalsPerRound-th one.
type mixedDataCentre struct {
	random            *rand.Rand
	intervalsPerRound int
	previous          []bool
	partners          [][]int
	// versions are the heartbeats that each VM knows of each, and advanced the intervals in
	// which it last learnt a newer one.
	versions, advanced [][]int
}

func newMixedDataCentre(vms, ofPreviousBuild, intervalsPerRound int) *mixedDataCentre {
	m := &mixedDataCentre{random: rand.New(rand.NewPCG(1, 1)), intervalsPerRound: intervalsPerRound, previous: make([]bool, vms), partners: make([][]int, vms)}
	names, position := vmNames(vms), make(map[string]int)
	for i, name := range names {
		position[name] = i
		m.previous[i] = i < ofPreviousBuild
		m.versions, m.advanced = append(m.versions, make([]int, vms)), append(m.advanced, make([]int, vms))
	}
	for i, name := range names {
		others := append(append([]string{}, names[:i]...), names[i+1:]...)
		for _, partner := range fleet.Partners(name, others) {
			m.partners[i] = append(m.partners[i], position[partner])
		}
	}
	return m
}

// step simulates an interval.
func (m *mixedDataCentre) step(interval int) {
	for i := range m.previous {
		switch {
		case m.previous[i]:
			m.versions[i][i]++
			m.exchange(interval, i, m.random.IntN(len(m.previous)))
		case (interval+i)%m.intervalsPerRound == 0:
			m.versions[i][i]++
			m.exchange(interval, i, m.partners[i][m.random.IntN(len(m.partners[i]))])
		}
	}
}

func (m *mixedDataCentre) exchange(interval, a, b int) {
	for of := range m.previous {
		newest := max(m.versions[a][of], m.versions[b][of])
		for _, vm := range []int{a, b} {
			if m.versions[vm][of] < newest {
				m.versions[vm][of], m.advanced[vm][of] = newest, interval
			}
		}
	}
}

// longestSilence returns the maximum number of intervals for which a VM of the previous build
// received no newer heartbeat of another VM.
func (m *mixedDataCentre) longestSilence(intervals int) int {
	longest := 0
	for interval := range intervals {
		m.step(interval)
		for vm := range m.previous {
			for of := range m.previous {
				if vm != of && m.previous[vm] && interval > intervals/4 {
					longest = max(longest, interval-m.advanced[vm][of])
				}
			}
		}
	}
	return longest
}

// Guards against VMs of the previous build that suspect those of this one, whose rounds are rarer
// in a large data centre, while an operator replaces them.
func TestPreviousBuildDoesNotSuspectVMsWithRarerRounds(t *testing.T) {
	for _, size := range []struct{ vms, ofPreviousBuild, intervalsPerRound int }{
		{187, 186, 2}, {187, 90, 2}, {187, 1, 2}, {220, 110, 2}, {220, 3, 2}, {255, 10, 2}, {414, 400, 3}, {414, 207, 3}, {414, 3, 3},
	} {
		t.Run(fmt.Sprintf("vms=%d/previous=%d", size.vms, size.ofPreviousBuild), func(t *testing.T) {
			suspectAfter := 3 + 2*bits.Len(uint(size.vms-1))
			longest := newMixedDataCentre(size.vms, size.ofPreviousBuild, size.intervalsPerRound).longestSilence(120)
			t.Logf("%d of %d intervals", longest, suspectAfter)
			NewWithT(t).Expect(longest).To(BeNumerically("<", suspectAfter))
		})
	}
}
