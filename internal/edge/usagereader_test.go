package edge

import (
	"os"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a measurement of the process that shows nothing, so that no VM is ever saturated.
func TestUsageOfProcessIsMeasured(t *testing.T) {
	g := NewWithT(t)
	reader := newUsageReader()
	before := reader.read()
	const files, processor, bytes = 20, 50 * time.Millisecond, 32 << 20
	for range files {
		file, err := os.Open(os.DevNull)
		g.Expect(err).NotTo(HaveOccurred())
		defer file.Close()
	}
	held := make([]byte, bytes)
	for i := range held {
		held[i] = byte(i)
	}
	for processorTime() < before.ProcessorTime+processor {
		held[0]++
	}
	after := reader.read()
	g.Expect(held).To(HaveLen(bytes))
	g.Expect(after.ProcessorTime).To(BeNumerically(">=", before.ProcessorTime+processor))
	g.Expect(after.MemoryMB).To(BeNumerically(">", before.MemoryMB+bytes/(1<<20)/2))
	if before.Descriptors >= 0 { // kernels before 6.2 don't tell it
		g.Expect(after.Descriptors).To(BeNumerically(">=", before.Descriptors+files))
	}
}

// The measurement runs ten times a second on small VMs.
func BenchmarkUsageReader(b *testing.B) {
	reader := newUsageReader()
	for range b.N {
		reader.read()
	}
}
