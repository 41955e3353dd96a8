package gossip_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"oleandershunt.example/oleandershunt/internal/core/digest"
	"oleandershunt.example/oleandershunt/internal/core/fleet"
	"oleandershunt.example/oleandershunt/internal/peer/gossip"
	"oleandershunt.example/oleandershunt/internal/testutil"
)

// probesPerSecond and observers are the defaults of the probe settings, which
// determine how often a server's load is read.
const (
	probesPerSecond = 8
	observers       = 3
)

// BenchmarkRound runs rounds of gossip in one data centre, each VM behind a real
// HTTP/2 server on loopback, while loads change at the rate at which probes read
// them. The interval is one second. It reports per VM and round the bytes on the
// VM's connections in both directions and the CPU time of the whole process
// divided by the VMs, and per VM the memory in use.
func BenchmarkRound(b *testing.B) {
	for _, size := range []struct{ vms, servers int }{{16, 770}, {32, 770}, {63, 770}, {63, 385}, {63, 190}} {
		b.Run(fmt.Sprintf("vms=%d/servers=%d", size.vms, size.servers), func(b *testing.B) {
			benchmarkRound(b, size.vms, size.servers)
		})
	}
}

func benchmarkRound(b *testing.B, vms, servers int) {
	before := heap()
	c := newCluster(b)
	for i := range vms {
		c.start(fmt.Sprintf("bornova-vm-%02d", i), "bornova", 1, c.vms[:min(i, 3)]...)
	}
	holders := holdersOf(c, servers)
	c.rounds(30, c.vms...)
	for _, v := range c.vms {
		if known := len(v.directory.Members()); known != vms {
			b.Fatalf("%s knows %d of %d VMs", v.name, known, vms)
		}
	}
	loads := newLoads(holders, vms, servers)
	measure(b, c, vms, before, loads.change)
}

// measure runs rounds, each after a change, and reports their cost.
func measure(b *testing.B, c *cluster, vms int, before uint64, change func()) {
	bytes, cpu := c.bytes.Load(), testutil.CPUTime(b)
	b.ResetTimer()
	for range b.N {
		change()
		c.rounds(1, c.vms...)
	}
	b.StopTimer()
	perVM := float64(b.N * vms)
	// Each byte that a server counts is sent by one VM and received by another.
	b.ReportMetric(2*float64(c.bytes.Load()-bytes)/perVM, "wire-B/VM-round")
	b.ReportMetric(float64(testutil.CPUTime(b)-cpu)/float64(time.Microsecond)/perVM, "cpu-µs/VM-round")
	b.ReportMetric(float64(heap()-before)/float64(vms)/(1<<20), "heap-MB/VM")
}

// BenchmarkStateChange measures the cost of replicating State entries to each VM
// of a data centre: the difference between its cases divided by the number of
// changes. The cost is the same for entries that come from another data centre,
// whose VMs write a release each at a bounded rate, for example.
func BenchmarkStateChange(b *testing.B) {
	for _, changes := range []int{0, 25, 50} {
		b.Run(fmt.Sprintf("vms=63/changes=%d", changes), func(b *testing.B) {
			before := heap()
			c := newCluster(b)
			for i := range 63 {
				c.start(fmt.Sprintf("bornova-vm-%02d", i), "bornova", 1, c.vms[:min(i, 3)]...)
			}
			c.rounds(30, c.vms...)
			count := 0
			measure(b, c, 63, before, func() {
				for range changes {
					count++
					c.vms[count%63].Put("r2", []byte(fmt.Sprint(1_000_000+count)), false)
				}
			})
		})
	}
}

// BenchmarkOrigin measures the memory that a VM of another data centre takes in
// the store: its own entry and those of the twelve backend servers that it
// reports on.
func BenchmarkOrigin(b *testing.B) {
	const origins = 757
	for b.Loop() {
		before := heap()
		store := digest.NewStore(digest.Origin{Name: "self", DataCentre: "bornova", Incarnation: 1})
		for i := range origins {
			other := digest.NewStore(digest.Origin{Name: fmt.Sprintf("far-vm-%03d", i), DataCentre: fmt.Sprint("dc-", i%12), Incarnation: 1})
			other.Put("m", make([]byte, 200))
			for server := range 12 {
				other.Put("h/"+serverName(i*12+server), make([]byte, 100))
			}
			store.Merge(other.Deltas(fmt.Sprint("dc-", i%12), digest.State, nil, 1<<20))
		}
		b.ReportMetric(float64(heap()-before)/origins, "heap-B/origin")
		runtime.KeepAlive(store)
	}
}

// holdersOf makes the first observer of each server publish what the server
// holds, and returns that VM for each server.
func holdersOf(c *cluster, servers int) []*vm {
	names := make([]string, len(c.vms))
	byName := make(map[string]*vm)
	for i, v := range c.vms {
		names[i], byName[v.name] = v.name, v
	}
	holders := make([]*vm, servers)
	for i := range holders {
		name := serverName(i)
		holders[i] = byName[fleet.Observers(name, names, 1)[0]]
		holders[i].Put("h/"+name, []byte(`{"incarnation":1764700000,"model":"scorer-70b","version":"2026-11","layers":{"from":0,"to":12}}`), false)
	}
	return holders
}

func serverName(i int) string { return fmt.Sprintf("bornova-runner-%03d", i) }

// loads changes the loads of a random set of servers, as probes do in one round.
type loads struct {
	random  *rand.Rand
	holders []*vm
	chance  float64
}

func newLoads(holders []*vm, vms, servers int) *loads {
	interval := max(1, float64(servers*observers)/float64(vms*probesPerSecond))
	return &loads{random: rand.New(rand.NewPCG(1, 2)), holders: holders, chance: 1 / interval}
}

func (l *loads) change() {
	for i, holder := range l.holders {
		if l.random.Float64() < l.chance {
			holder.PutGauge(digest.KeyHash(serverName(i)), gossip.Pair(l.random.IntN(64), l.random.IntN(8)))
		}
	}
}

func heap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}

// BenchmarkUrgentNews measures how long a pushed entry takes to reach the last VM.
func BenchmarkUrgentNews(b *testing.B) {
	for _, vms := range []int{9, 63} {
		b.Run(fmt.Sprintf("vms=%d", vms), func(b *testing.B) {
			c := newCluster(b)
			for i := range vms {
				c.start(fmt.Sprintf("vm-%02d", i), "bornova", 1, c.vms[:min(i, 3)]...)
			}
			c.rounds(30, c.vms...)
			stop := make(chan struct{})
			defer close(stop)
			go runRounds(c, stop)
			worst := time.Duration(0)
			for n := range b.N {
				start := time.Now()
				value := fmt.Sprint(n)
				c.vms[n%vms].Put("s/runner", []byte(value), true)
				key := c.vms[n%vms].name + " on runner"
				for i, v := range c.vms {
					for i != n%vms && v.entry(key) != value {
						time.Sleep(200 * time.Microsecond)
					}
				}
				worst = max(worst, time.Since(start))
			}
			b.ReportMetric(float64(worst)/float64(time.Millisecond), "worst-ms")
		})
	}
}

// runRounds runs rounds in the background, which reach the VMs that no push
// reached.
func runRounds(c *cluster, stop <-chan struct{}) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			c.now.Add(int64(interval))
			for _, v := range c.vms {
				v.Round(context.Background())
			}
		case <-stop:
			return
		}
	}
}

// BenchmarkConfirm measures Confirm among nine VMs in three data centres over
// loopback, with a new entry each time.
func BenchmarkConfirm(b *testing.B) {
	c := newCluster(b)
	for i := range 9 {
		c.start(fmt.Sprintf("vm-%d", i), fmt.Sprint("dc-", i%3), 1, c.vms[:min(i, 1)]...)
	}
	c.rounds(15, c.vms...)
	i := 0
	for b.Loop() {
		i++
		c.vms[0].Put(fmt.Sprint("s/runner-", i%100), []byte(fmt.Sprint(i)), false)
		if missing := c.vms[0].Confirm(b.Context()); len(missing) > 0 {
			b.Fatal(missing)
		}
	}
}
