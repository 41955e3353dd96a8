package mirror

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/core/lease"
	entriesv1 "oleandershunt.example/oleandershunt/internal/peer/gen/peer/entries/v1"
)

// dataCentre returns the VMs of a data centre in the order in which they become readers.
func dataCentre(large, small int) []lease.VM {
	var vms []lease.VM
	for i := range large + small {
		vm := lease.VM{Name: fmt.Sprint("vm-", i), DataCentre: "a", Cores: 0.192}
		if i < large {
			vm.Cores = 1.6
		}
		vms = append(vms, vm)
	}
	return lease.Rank("entries", "", vms)
}

func assignmentOf(self string, vms []lease.VM, firstStart bool) assignment {
	list := func() []lease.VM { return vms }
	remote := []lease.VM{{Name: "far-1", DataCentre: "b", Cores: 8}, {Name: "far-2", DataCentre: "c", Cores: 8}}
	return NewFollower(nil, Options{
		Self: self, MembershipSettled: func() bool { return true }, FirstStart: firstStart,
		AllVMs: func() []lease.VM { return append(remote, vms...) }, LocalVMs: list,
	}).assignment()
}

// Guards against two VMs that serve their whole data centre: with 200 VMs each would send
// and compress the list of all servers a hundred times within a second.
func TestServingIsSharedInALargeDataCentre(t *testing.T) {
	for _, size := range []struct{ large, small, limit int }{{10, 197, fetchersPerSource}, {20, 394, fetchersPerSource}, {0, 207, fetchersPerSource}, {1, 39, 20}, {2, 5, 4}} {
		t.Run(fmt.Sprintf("large=%d/small=%d", size.large, size.small), func(t *testing.T) {
			g := NewWithT(t)
			vms := dataCentre(size.large, size.small)
			fetchers := make(map[string]int)
			for _, vm := range vms {
				a := assignmentOf(vm.Name, vms, false)
				g.Expect(a.reads).To(BeFalse())
				g.Expect(len(a.sources)).To(BeNumerically("<=", 2*ReaderCount+backupReaders))
				g.Expect(a.sources).NotTo(ContainElement(vm.Name))
				fetchers[a.sources[0]]++
			}
			for source, count := range fetchers {
				if source != "far-1" && source != "far-2" {
					// Names spread by their hashes, which differ from an even spread.
					g.Expect(count).To(BeNumerically("<=", 2*size.limit), source)
				}
			}
		})
	}
}

// Guards against all VMs of a data centre that read the whole list at once when their
// sources are lost and they have no objects yet: 200 lists of 900 kB take the platform's link two seconds.
func TestFallbackReadsAreSpread(t *testing.T) {
	g := NewWithT(t)
	vms := dataCentre(10, 197)
	reads := make(map[int]int)
	for _, vm := range vms {
		now := time.Minute
		f := NewFollower(nil, Options{Self: vm.Name, Now: func() time.Duration { return now }})
		spacing := time.Duration(lease.Position(vms, vm.Name)) * fallbackSpacing
		for ; now < time.Minute+10*time.Second; now += 100 * time.Millisecond {
			if f.mayReadDirectly(assignment{spacing: spacing}, 0) {
				reads[int((now-time.Minute)/time.Second)]++
			}
		}
	}
	for second, count := range reads {
		g.Expect(count).To(BeNumerically("<=", 110), "second %d", second)
	}
}

// Guards against hundreds of VMs that restart together, get no answer of a seed within 0.1 s and
// read the whole list from the platform at once, again and again: none got it for 18 s.
func TestRestartedVMAsksSeedsBeforeThePlatform(t *testing.T) {
	g := NewWithT(t)
	now, asked := time.Minute, make(map[string]int)
	f := NewFollower(NewLog(discard{}, func() time.Duration { return now }), Options{
		Self: "vm-9", MembershipSettled: func() bool { return false }, Seeds: []string{"vm-1", "vm-2", "vm-3"},
		Now: func() time.Duration { return now },
		Fetch: func(_ context.Context, vm string, _ *entriesv1.ChangesRequest) (*entriesv1.ChangesResponse, error) {
			asked[vm]++
			now += startRetryInterval
			return nil, errors.New("refused")
		},
	})
	_, ok := f.Next(t.Context(), 0)
	g.Expect(ok).To(BeFalse(), "it reads the platform in the end")
	g.Expect(now - time.Minute).To(BeNumerically(">=", seedsOnlyTime))
	g.Expect(now - time.Minute).To(BeNumerically("<", 2*seedsOnlyTime))
	g.Expect(asked).To(HaveLen(3))
}

// Guards against hundreds of VMs that start for the first time and all ask the few seeds for the
// list, or read it from the platform, before they know one another.
func TestFirstStartWaitsForTheMembership(t *testing.T) {
	g := NewWithT(t)
	now, checks := time.Minute, 0
	var asked []string
	vms := dataCentre(10, 197)
	f := NewFollower(NewLog(discard{}, func() time.Duration { return now }), Options{
		Self: vms[206].Name, FirstStart: true, Seeds: []string{"seed-1", "seed-2"},
		MembershipSettled: func() bool { checks++; return checks > 4 },
		AllVMs:            func() []lease.VM { return vms },
		LocalVMs:          func() []lease.VM { return vms },
		Now:               func() time.Duration { return now },
		Fetch: func(_ context.Context, vm string, _ *entriesv1.ChangesRequest) (*entriesv1.ChangesResponse, error) {
			asked = append(asked, vm)
			now += time.Second
			return nil, errors.New("refused")
		},
	})
	_, ok := f.Next(t.Context(), 0)
	g.Expect(ok).To(BeFalse())
	g.Expect(asked).NotTo(BeEmpty())
	for _, vm := range asked {
		g.Expect(vm).NotTo(HavePrefix("seed-"))
	}
}
