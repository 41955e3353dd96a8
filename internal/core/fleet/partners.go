package fleet

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxFullMesh is the maximum number of other VMs that are all partners of a VM.
const maxFullMesh = 16

// Partners selects the VMs that a VM gossips with. In a large data centre they are those
// at the distances 1, 2, 4, 8 and so on in a ring of all VMs ordered by hash. A change
// reaches n VMs over these links in about log2 n rounds, as with targets chosen from all
// VMs, but a VM keeps connections to log2 n others instead of n.
//
// others are the other VMs in any order, without duplicates; they are not modified. The
// result is sorted by distance.
func Partners(self string, others []string) []string {
	if len(others) <= maxFullMesh {
		return slices.Clone(others)
	}
	ring := make([]rankedVM, 0, len(others)+1)
	for _, vm := range append([]string{self}, others...) {
		ring = append(ring, rankedVM{vm: vm, rank: xxhash.Sum64String(vm)})
	}
	slices.SortFunc(ring, func(a, b rankedVM) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.vm, b.vm))
	})
	at := slices.IndexFunc(ring, func(r rankedVM) bool { return r.vm == self })
	var partners []string
	for distance := 1; distance < len(ring); distance *= 2 {
		partners = append(partners, ring[(at+distance)%len(ring)].vm)
	}
	return partners
}
