package promise_test

import (
	"testing"
	"time"

	"oleandershunt.example/oleandershunt/internal/core/promise"
)

// BenchmarkRefusal is the forecast and the promise of a refusal where most buckets are taken.
func BenchmarkRefusal(b *testing.B) {
	for name, rate := range map[string]float64{"slow": 2, "fast": 200} {
		b.Run(name, func(b *testing.B) {
			c := promise.New()
			r := refused(0)
			r.Limit = 10 * time.Second
			promiseAll(c, r, rate)
			for i := range b.N {
				r.Key = promise.Key(1_000_000 + i)
				c.Forecast(t0, llm, 100, rate)
				c.Promise(t0, llm, r, rate, 0.5)
			}
		})
	}
}
