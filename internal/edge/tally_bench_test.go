package edge

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"oleandershunt.example/oleandershunt/internal/core/backends"
	"oleandershunt.example/oleandershunt/internal/core/budget"
	"oleandershunt.example/oleandershunt/internal/core/demand"
	"oleandershunt.example/oleandershunt/internal/core/tally"
	tallyv1 "oleandershunt.example/oleandershunt/internal/peer/gen/peer/tally/v1"
)

// BenchmarkHub plays the hub of one of five data centres for a second: each VM reports 30 loads
// four times with two of them changed, as with a request each three seconds on paths of twelve
// servers, and the other data centres' hubs report their sums. It reports the processor time and
// the bytes of the answers, which are to stay below half of what a large VM has.
func BenchmarkHub(b *testing.B) {
	for _, size := range []struct{ vms, servers int }{{7, 100}, {63, 900}, {207, 3000}, {414, 6000}} {
		b.Run(fmt.Sprintf("vms=%d/servers=%d", size.vms, size.servers), func(b *testing.B) {
			h := newHubLoad(size.vms, size.servers)
			for b.Loop() {
				for round := range 4 {
					h.playRound(b, round)
				}
			}
			b.ReportMetric(float64(h.bytes)/float64(b.N)*8/1e6, "Mbit/s")
			b.ReportMetric(b.Elapsed().Seconds()/float64(b.N)*100, "%core")
		})
	}
}

// hubLoad is a hub with what its VMs and the other hubs report.
type hubLoad struct {
	hub     *tallyExchanger
	random  *rand.Rand
	servers int
	reports []tally.Tally
	known   []*tallyv1.Known
	remote  tally.Tally
	now     time.Duration
	// bytes counts those of the answers.
	bytes int
}

func newHubLoad(vms, servers int) *hubLoad {
	isLocal := func(server string) bool { return server[len(server)-1] < '2' } // a fifth
	h := &hubLoad{
		hub:    &tallyExchanger{self: "vm-0", dataCentre: "a", hub: tally.NewHub("a", 1, isLocal), proof: newProofTracker(), reachability: newReachabilityTracker()},
		random: rand.New(rand.NewPCG(1, 1)), servers: servers, now: time.Second,
		reports: make([]tally.Tally, vms), known: make([]*tallyv1.Known, vms),
		remote: tally.Tally{VMs: vms, Loads: make(map[string]backends.Usage)},
	}
	for i := range h.reports {
		counts := map[string]budget.History{"llm": {}, "app": {}}
		for service, history := range counts {
			for age := range history {
				history[age] = budget.Count{Requests: 2 + i%3, Retries: age % 2}
			}
			counts[service] = history
		}
		h.reports[i], h.known[i] = tally.Tally{VMs: 1, Loads: make(map[string]backends.Usage), Counts: counts}, &tallyv1.Known{}
	}
	return h
}

func (h *hubLoad) server() string {
	return fmt.Sprintf("i-%010x%d", h.random.IntN(h.servers/10), h.random.IntN(10))
}

// playRound lets the other hubs and all VMs report once.
func (h *hubLoad) playRound(b *testing.B, round int) {
	h.now += 250 * time.Millisecond
	for _, dataCentre := range []string{"b", "c", "d", "e"} {
		for range 2 * len(h.reports) {
			id := h.server()
			h.remote.Loads[id] = backends.Usage{Memory: max(h.remote.Loads[id].Memory+float64(h.random.IntN(17)-8)*tally.LoadUnit, 0)}
		}
		h.hub.hub.ReportRemote(h.now, dataCentre, decodeTally(encodeTally(h.remote, h.now), h.now))
	}
	for i := range h.reports {
		changeLoads(h.reports[i].Loads, h.server, h.random)
		request := &tallyv1.TellRequest{Vm: fmt.Sprint("vm-", i), Process: 1, Tally: encodeTally(h.reports[i], h.now), Known: h.known[i], Elsewhere: (round+i)%elsewhereRounds == 0}
		for service, history := range h.reports[i].Counts {
			request.Tally.Counts[service] = encodeCount(history)
		}
		answer := h.hub.answer(h.now, request, decodeTally(request.Tally, h.now))
		h.known[i] = answer.Known
		data, err := proto.Marshal(answer)
		if err != nil {
			b.Fatal(err)
		}
		h.bytes += len(data)
	}
}

// changeLoads replaces two loads, and fills up to thirty.
func changeLoads(loads map[string]backends.Usage, server func() string, random *rand.Rand) {
	ended := 0
	for id := range loads {
		if ended++; ended > 2 {
			break
		}
		delete(loads, id)
	}
	for len(loads) < 30 {
		loads[server()] = backends.Usage{Memory: float64(random.IntN(60)) * tally.LoadUnit, Running: random.IntN(2)}
	}
}

// demandSize is a deployment with so many VMs in one data centre of five, and accounts.
type demandSize struct{ vms, accounts, services, short int }

// BenchmarkHubDemand plays the demand that a hub adds up for a second: each VM reports four times what
// 34 requests of random accounts ask of random services, and four other data centres report their
// sums. Requests wait for some services. It reports the bytes of one report's and one answer's demand,
// and the accounts and summaries that the hub holds.
func BenchmarkHubDemand(b *testing.B) {
	for _, size := range []demandSize{{197, 31_000, 35, 0}, {197, 31_000, 35, 4}, {197, 31_000, 35, 35}, {400, 31_000, 35, 0}, {400, 31_000, 35, 4}, {400, 31_000, 35, 35}} {
		b.Run(fmt.Sprintf("vms=%d/accounts=%d/short=%d", size.vms, size.accounts, size.short), func(b *testing.B) {
			h := newDemandLoad(size)
			h.playRound(b)
			before, held := h.bytes, heapBytes()
			for b.Loop() {
				h.playRound(b)
			}
			reports := float64(b.N) * float64(size.vms)
			b.ReportMetric(b.Elapsed().Seconds()/reports*1e6, "µs/report")
			b.ReportMetric(float64(h.bytes.report-before.report)/reports, "B/report")
			b.ReportMetric(float64(h.bytes.answer-before.answer)/reports, "B/answer")
			b.ReportMetric(float64(held)/1e6, "MB/heap")
		})
	}
}

// demandLoad is a hub with the demand that its VMs and the other hubs report.
type demandLoad struct {
	demandSize
	hub    *tallyExchanger
	random *rand.Rand
	now    time.Duration
	known  []*tallyv1.Known
	// vmReports and remoteReports are those of three rounds, made before the measurement.
	vmReports     [][]*tallyv1.Tally
	remoteReports [][]*tallyv1.Tally
	round         int
	bytes         struct{ report, answer int }
}

const demandRounds = 3

func newDemandLoad(size demandSize) *demandLoad {
	h := &demandLoad{
		demandSize: size, random: rand.New(rand.NewPCG(1, 1)), now: time.Second, known: make([]*tallyv1.Known, size.vms),
		hub: &tallyExchanger{self: "vm-0", dataCentre: "a", hub: tally.NewHub("a", 1, func(string) bool { return true }), proof: newProofTracker(), reachability: newReachabilityTracker()},
	}
	for i := range h.known {
		h.known[i] = &tallyv1.Known{}
	}
	for range demandRounds {
		vms, remote := make([]*tallyv1.Tally, size.vms), make([]*tallyv1.Tally, 4)
		for i := range vms {
			vms[i] = encodeTally(tally.Tally{VMs: 1, Demand: h.report()}, 0)
		}
		for i := range remote {
			sums := demand.NewSums()
			for range size.vms {
				sums.Replace(demand.Report{}, h.report())
			}
			remote[i] = encodeTally(tally.Tally{VMs: size.vms, Demand: sums.Report()}, 0)
		}
		h.vmReports, h.remoteReports = append(h.vmReports, vms), append(h.remoteReports, remote)
	}
	return h
}

// report returns the demand of a VM that got 34 requests in the last second.
func (h *demandLoad) report() demand.Report {
	counter := demand.NewCounter()
	for range 34 {
		service := h.random.IntN(h.services)
		key := demand.Key{Service: fmt.Sprint("service-", service), Priority: h.random.IntN(3)}
		work := 50 + 1000*h.random.Float64()
		counter.Offered(0, key, fmt.Sprint("account-", h.random.IntN(h.accounts)), work)
		if service < h.short {
			counter.Refused(0, key, work)
		} else {
			counter.Started(0, key, work)
		}
	}
	return counter.Report(0)
}

// playRound lets the other hubs and all VMs report once.
func (h *demandLoad) playRound(b *testing.B) {
	h.now += tallyInterval
	round := h.round % demandRounds
	h.round++
	for i, report := range h.remoteReports[round] {
		h.hub.hub.ReportRemote(h.now, fmt.Sprint("data-centre-", i), decodeTally(report, h.now))
	}
	for i, report := range h.vmReports[round] {
		request := &tallyv1.TellRequest{Vm: fmt.Sprint("vm-", i), Process: 1, Tally: report, Known: h.known[i], Elsewhere: (h.round+i)%elsewhereRounds == 0}
		answer := h.hub.answer(h.now, request, decodeTally(report, h.now))
		h.known[i] = answer.Known
		data, err := proto.Marshal(&tallyv1.TellResponse{Demand: answer.Demand, DemandByDataCentre: answer.DemandByDataCentre, HeavyHitters: answer.HeavyHitters})
		if err != nil {
			b.Fatal(err)
		}
		h.bytes.report += proto.Size(&tallyv1.Tally{Demand: report.Demand, HeavyHitters: report.HeavyHitters})
		h.bytes.answer += len(data)
	}
}

// heapBytes returns the bytes in use on the heap.
func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
