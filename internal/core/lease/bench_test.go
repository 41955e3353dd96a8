package lease_test

import (
	"fmt"
	"testing"

	"oleandershunt.example/oleandershunt/internal/core/lease"
)

// BenchmarkRank ranks the VMs of large deployments. Each VM does this for each role when the
// membership changes.
func BenchmarkRank(b *testing.B) {
	for _, count := range []int{195, 984, 2000} {
		b.Run(fmt.Sprint("vms=", count), func(b *testing.B) {
			var vms []lease.VM
			for i := range count {
				vms = append(vms, lease.VM{Name: fmt.Sprintf("vm-%d", i), DataCentre: fmt.Sprint(i % 5), Cores: 0.192})
			}
			b.ReportAllocs()
			for b.Loop() {
				lease.Rank("entries", "", vms)
			}
		})
	}
}
