package admit_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"oleandershunt.example/oleandershunt/internal/core/admit"
	"oleandershunt.example/oleandershunt/internal/core/request"
	"oleandershunt.example/oleandershunt/internal/testutil"
)

// BenchmarkAdmit offers and ends one request at a time, from alternating
// accounts, while the pool and its queue are full.
func BenchmarkAdmit(b *testing.B) {
	for _, accounts := range []int{10, 1000, 31000} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			const limit = 1024
			c := admit.New(admit.Options{PerServer: limit, FloorPerServer: limit, MaxLimit: limit})
			c.SetServers(pool, 1)
			names := make([]string, accounts)
			for i := range names {
				names[i] = fmt.Sprint("account-", i)
			}
			now := time.Duration(0)
			offer := func(i int, id request.ID) bool {
				now += time.Millisecond
				item := admit.Item{ID: id, Account: names[i%accounts], Pool: pool, Deadline: now + time.Hour}
				return c.Offer(now, item, admit.Limits{PerSecond: 1e6}).Start
			}
			var running []request.ID
			for i := range limit + 4096 {
				if id := request.ID(fmt.Sprint("r", i)); offer(i, id) {
					running = append(running, id)
				}
			}
			ids := make([]request.ID, b.N)
			for i := range ids {
				ids[i] = request.ID(fmt.Sprint("n", i))
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				c.Done(now, running[0], 20, true)
				running = append(running[1:], c.StartQueued(now, pool)...)
				offer(i, ids[i])
			}
		})
	}
}

// BenchmarkAccountMemory reports the memory per account with recent requests.
func BenchmarkAccountMemory(b *testing.B) {
	const accounts = 31000
	for range b.N {
		before := testutil.Heap()
		c := admit.New(admit.Options{PerServer: 2 * accounts, MaxLimit: 2 * accounts})
		for i := range accounts {
			id := request.ID(fmt.Sprint(i))
			c.Offer(0, admit.Item{ID: id, Account: fmt.Sprint("account-", i), Pool: pool, Deadline: time.Hour}, admit.Limits{PerSecond: 5})
			if i > 0 {
				c.Done(0, id, 20, false)
			}
		}
		b.ReportMetric(float64(testutil.Heap()-before)/accounts, "bytes/account")
		runtime.KeepAlive(c)
	}
}
