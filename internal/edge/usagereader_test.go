package edge

import (
	"os"
	"os/exec"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// usageProcess is set in the environment of the process that measures itself.
const usageProcess = "EDGE_TEST_USAGE_PROCESS"

// Guards against a measurement of the process that shows nothing, so that no VM is ever saturated.
func TestUsageOfProcessIsMeasured(t *testing.T) {
	g := NewWithT(t)
	if os.Getenv(usageProcess) == "" { // other tests open and close descriptors in this process
		own := exec.Command(os.Args[0], "-test.run=^TestUsageOfProcessIsMeasured$", "-test.v")
		own.Env = append(os.Environ(), usageProcess+"=1")
		output, err := own.CombinedOutput()
		g.Expect(err).NotTo(HaveOccurred(), string(output))
		g.Expect(string(output)).To(ContainSubstring("--- PASS: TestUsageOfProcessIsMeasured"))
		return
	}
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
