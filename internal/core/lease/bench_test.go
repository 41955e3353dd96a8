package lease_test

import (
	"fmt"
	"testing"

	"oleandershunt.example/oleandershunt/internal/core/lease"
)

// BenchmarkRank ranks the VMs of a large deployment. Each VM does this about ten times
// a second.
func BenchmarkRank(b *testing.B) {
	var vms []lease.VM
	for i := range 195 {
		vms = append(vms, lease.VM{Name: fmt.Sprintf("vm-%d", i), DataCentre: fmt.Sprint(i % 5), Cores: 0.192})
	}
	b.ReportAllocs()
	for b.Loop() {
		lease.Rank("entries", "", vms)
	}
}
