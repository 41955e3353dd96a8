package place

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkPlan measures a planning step that has nothing to do.
func BenchmarkPlan(b *testing.B) {
	for _, servers := range []int{30, 770} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			var configs []ServerConfig
			for i := range servers {
				configs = append(configs, engineConfig(i, i%2*12, i%2*12+12))
			}
			sim := newSimulation(scorerModels("v1"), configs...)
			sim.planner.SetLease(1, 0, time.Hour)
			for range servers/sim.planner.options.MaxReads + 2 {
				sim.step()
			}
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				sim.planner.Plan(sim.now)
			}
		})
	}
}
