package fleet

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Observers selects the VMs that observe an object, by rendezvous hashing: all VMs
// compute the same result without communication, and when a VM goes only the objects
// that it observed are reassigned. The result is sorted by rank, the highest first.
// vms may be in any order.
func Observers(watched string, vms []string, count int) []string {
	ranked := make([]rankedVM, 0, len(vms))
	for _, vm := range vms {
		ranked = append(ranked, rankOf(watched, vm))
	}
	slices.SortFunc(ranked, func(a, b rankedVM) int {
		return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.vm, b.vm))
	})
	chosen := make([]string, 0, count)
	for _, r := range ranked[:min(count, len(ranked))] {
		chosen = append(chosen, r.vm)
	}
	return chosen
}

// ranking is a VM's rendezvous hash for one object.
type rankedVM struct {
	vm   string
	rank uint64
}

func rankOf(watched, vm string) rankedVM {
	return rankedVM{vm: vm, rank: xxhash.Sum64String(watched + "\x00" + vm)}
}
