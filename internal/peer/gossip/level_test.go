package gossip_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/peer/gossip"
)

func TestLevelIsMonotonicAndWithinAnEighth(t *testing.T) {
	g := NewWithT(t)
	previous := uint32(0)
	for count := range 100_000 {
		level := gossip.Level(count)
		decoded := gossip.Count(level)
		if level < previous || decoded > count || (count-decoded)*8 > count {
			g.Expect(decoded).To(Equal(count), "count %d level %d", count, level)
		}
		previous = level
	}
	running, waiting := gossip.Counts(gossip.Pair(7, 3))
	g.Expect([]int{running, waiting}).To(Equal([]int{7, 3}))
	g.Expect(gossip.Count(1<<31)).To(BeNumerically(">", 0), "an out-of-range level must not overflow")
}
