package edge

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"oleandershunt.example/oleandershunt/internal/core/backends"
	"oleandershunt.example/oleandershunt/internal/core/budget"
	"oleandershunt.example/oleandershunt/internal/core/ratelimit"
	"oleandershunt.example/oleandershunt/internal/core/tally"
	tallyv1 "oleandershunt.example/oleandershunt/internal/peer/gen/peer/tally/v1"
)

// FuzzTally holds that whatever another VM tells, loads and counts are not below zero, and
// come back as they were when they are told on.
func FuzzTally(f *testing.F) {
	for _, told := range []tally.Tally{
		{},
		{VMs: 3, Loads: map[string]backends.Usage{"s1": {Memory: 4 * loadUnit, Running: 3}}, Counts: map[string]budget.Count{"app": {Requests: 9, Retries: 2}}, Rates: map[string]ratelimit.Report{"s1": {PerSecond: 6.5, ObservedAt: -time.Second}}},
	} {
		data, err := proto.Marshal(wireTally(told, 0))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte{0x12, 0x01, 'a', 0x12, 0x01, 'b'})
	f.Fuzz(func(t *testing.T, data []byte) {
		g := NewWithT(t)
		var wire tallyv1.Tally
		if proto.Unmarshal(data, &wire) != nil {
			return
		}
		read := readTally(&wire, 0)
		g.Expect(read.VMs).To(BeNumerically(">=", 0))
		for id, load := range read.Loads {
			g.Expect(load.Memory).To(BeNumerically(">=", 0), id)
			g.Expect(load.Running).To(BeNumerically(">=", 0), id)
		}
		for service, count := range read.Counts {
			g.Expect(count.Requests).To(BeNumerically(">=", 0), service)
			g.Expect(count.Retries).To(BeNumerically(">=", 0), service)
		}
		for id, word := range read.Rates {
			g.Expect(word.PerSecond).To(BeNumerically(">=", 0), id)
			g.Expect(word.ObservedAt).To(BeNumerically("<=", 0), id)
		}
		again := readTally(wireTally(read, 0), 0)
		g.Expect(again.VMs).To(Equal(read.VMs))
		g.Expect(again.Counts).To(Equal(read.Counts))
		g.Expect(again.Rates).To(Equal(read.Rates))
		for id, load := range again.Loads {
			g.Expect(load).To(Equal(read.Loads[id]))
		}
	})
}
