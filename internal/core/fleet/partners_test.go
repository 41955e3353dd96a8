package fleet_test

import (
	"fmt"
	"math/bits"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/core/fleet"
)

func vmNames(count int) []string {
	names := make([]string, count)
	for i := range names {
		names[i] = fmt.Sprintf("vm-%03d", i)
	}
	return names
}

// spreadRounds returns the number of rounds until a change on the first VM has reached all VMs, if
// each exchanges with a random partner in each round. VMs that are down don't answer, and are not
// yet known to be down.
func spreadRounds(vms []string, down map[string]bool, random *rand.Rand) (rounds int) {
	partners := make(map[string][]string)
	for _, vm := range vms {
		var others []string
		for _, other := range vms {
			if other != vm {
				others = append(others, other)
			}
		}
		partners[vm] = fleet.Partners(vm, others)
	}
	knowing := map[string]bool{vms[0]: true}
	for ; len(knowing) < len(vms)-len(down) && rounds < 100; rounds++ {
		for _, vm := range vms {
			partner := partners[vm][random.IntN(len(partners[vm]))]
			if !down[vm] && !down[partner] && (knowing[vm] || knowing[partner]) {
				knowing[vm], knowing[partner] = true, true
			}
		}
	}
	return rounds
}

// Guards against heartbeats that take longer to reach all VMs than the failure detection
// waits, also while a third of the VMs is down.
func TestChangesReachAllVMsBeforeTheyAreSuspected(t *testing.T) {
	for _, count := range []int{18, 40, 200, 400} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			g := NewWithT(t)
			vms, random := vmNames(count), rand.New(rand.NewPCG(1, 1))
			g.Expect(len(fleet.Partners(vms[0], vms[1:]))).To(BeNumerically("<=", bits.Len(uint(count))))
			suspectRounds := 3 + 2*bits.Len(uint(count-1))
			for range 5 {
				g.Expect(spreadRounds(vms, nil, random)).To(BeNumerically("<", suspectRounds))
				down := make(map[string]bool)
				for _, i := range random.Perm(count - 1)[:count/3] {
					down[vms[i+1]] = true
				}
				g.Expect(spreadRounds(vms, down, random)).To(BeNumerically("<", 2*suspectRounds), "a third is down")
			}
		})
	}
}

func TestVMsOfASmallDataCentreAreAllPartners(t *testing.T) {
	g := NewWithT(t)
	vms := vmNames(12)
	g.Expect(fleet.Partners(vms[3], append(vms[:3:3], vms[4:]...))).To(ConsistOf(append(vms[:3:3], vms[4:]...)))
	g.Expect(fleet.Partners("vm-000", nil)).To(BeEmpty())
}
