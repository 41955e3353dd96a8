package edge

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Symptom: answers that pass through small VMs come late, the more VMs there are.
// Sequence: each VM tells all others its loads at an interval of its own. Cause: what a VM
// hears grows with the number of VMs.
func TestWhatAVMHearsDoesNotGrowWithTheVMs(t *testing.T) {
	g := NewWithT(t)
	for _, vms := range []int{1, 6, 9, 12, 30, 82, 300, 820} {
		perSecond := float64(vms) / paceFor(vms).Seconds()
		g.Expect(perSecond).To(BeNumerically("<=", 31), "%d VMs", vms)
	}
	g.Expect(paceFor(6)).To(Equal(300*time.Millisecond), "few VMs know one another's loads at once")
}
