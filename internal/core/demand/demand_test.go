package demand_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/core/demand"
)

var llm = demand.Key{Service: "llm", Priority: 1}

func TestCounterCountsTheLastSecond(t *testing.T) {
	g := NewWithT(t)
	c := demand.NewCounter()
	now := time.Second
	c.Offered(now, llm, "a", 10.2)
	c.Offered(now, llm, "", 1)
	c.OverShare(now, llm, 2)
	c.Started(now, llm, 11)
	c.Queued(llm, 5)
	c.Refused(now, llm, 0)
	report := c.Report(now + 500*time.Millisecond)
	g.Expect(report.Counts).To(Equal(map[demand.Key]demand.Counts{llm: {
		Offered: demand.Amount{Requests: 2, Work: 12}, OverShare: demand.Amount{Requests: 1, Work: 2}, Started: demand.Amount{Requests: 1, Work: 11},
		Refused: demand.Amount{Requests: 1, Work: 1}, Waiting: demand.Amount{Requests: 1, Work: 5},
	}}))
	g.Expect(report.Accounts).To(Equal(map[string]demand.Summary{"llm": {Accounts: []demand.Account{{Name: "a", Work: 11}}}}), "requests without an account aren't listed")
	report = c.Report(now + demand.Window)
	g.Expect(report.Counts).To(Equal(map[demand.Key]demand.Counts{llm: {Waiting: demand.Amount{Requests: 1, Work: 5}}}), "what waits stays")
	g.Expect(report.Accounts).To(BeNil())
	c.Dequeued(llm, 5)
	g.Expect(c.Report(now+demand.Window)).To(Equal(demand.Report{}), "an idle VM reports nothing")
}

// Guards against counts that never expire because a window subtracts parts of another time, or that go
// below zero when the clock goes back.
func TestWindowFollowsRandomTimes(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(1, 2))
	c := demand.NewCounter()
	now := time.Duration(0)
	type event struct {
		at   time.Duration
		work int64
	}
	var events []event
	for range 5000 {
		now += time.Duration(random.ExpFloat64() * float64(40*time.Millisecond))
		work := int64(1 + random.IntN(100))
		c.Offered(now, llm, "a", float64(work))
		events = append(events, event{now, work})
		var least, most int64
		for _, e := range events[max(len(events)-500, 0):] {
			if now-e.at <= demand.Window-50*time.Millisecond {
				least += e.work
			}
			if now-e.at < demand.Window {
				most += e.work
			}
		}
		sum := c.Report(now).Counts[llm].Offered.Work
		g.Expect(sum).To(And(BeNumerically(">=", least), BeNumerically("<=", most)))
	}
	c.Offered(now-time.Minute, llm, "a", 1)
	g.Expect(c.Report(now).Counts[llm].Offered.Work).To(BeNumerically(">", 0))
}

// accountsOf returns random work by account with a few large ones.
func accountsOf(random *rand.Rand, accounts int) map[string]int64 {
	work := make(map[string]int64)
	for range 10 + random.IntN(150) {
		name := fmt.Sprint("account-", int(float64(accounts)*random.Float64()*random.Float64()*random.Float64()))
		work[name] += int64(1 + random.IntN(900))
	}
	return work
}

func summaryOf(work map[string]int64) demand.Summary {
	var accounts []demand.Account
	for name, n := range work {
		accounts = append(accounts, demand.Account{Name: name, Work: n})
	}
	return demand.NewSummary(accounts, 0)
}

// expectBounds checks that a summary is right about all accounts.
func expectBounds(g *WithT, summary demand.Summary, exact map[string]int64) {
	g.Expect(len(summary.Accounts)).To(BeNumerically("<=", demand.MaxAccounts))
	listed := make(map[string]bool)
	for _, account := range summary.Accounts {
		listed[account.Name] = true
		g.Expect(exact[account.Name]).To(And(BeNumerically("<=", account.Work), BeNumerically(">=", account.Least())), account.Name)
	}
	for name, work := range exact {
		if !listed[name] {
			g.Expect(work).To(BeNumerically("<=", summary.Rest), name)
		}
	}
}

// Guards against an account that is taken for a heavy one, or that is missed, because a merged summary
// states a wrong bound: sums at hubs of hubs merge summaries of summaries.
func TestMergedSummariesKeepTheirBounds(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(3, 4))
	for range 200 {
		exact := make(map[string]int64)
		var merged demand.Summary
		for range 1 + random.IntN(6) {
			var sum demand.Summary
			for range 1 + random.IntN(6) {
				work := accountsOf(random, 400)
				sum = demand.Merge(sum, summaryOf(work))
				for name, n := range work {
					exact[name] += n
				}
			}
			merged = demand.Merge(merged, sum)
		}
		expectBounds(g, merged, exact)
	}
}

func TestSummaryOfFewAccountsIsExact(t *testing.T) {
	g := NewWithT(t)
	a := summaryOf(map[string]int64{"x": 5, "y": 3})
	b := summaryOf(map[string]int64{"y": 4})
	g.Expect(demand.Merge(a, b)).To(Equal(demand.Summary{Accounts: []demand.Account{{Name: "y", Work: 7}, {Name: "x", Work: 5}}}))
	g.Expect(demand.Merge(demand.Summary{}, demand.Summary{})).To(Equal(demand.Summary{Accounts: []demand.Account{}}))
}

// reportOf returns a report of some services with random accounts.
func reportOf(random *rand.Rand) (demand.Report, map[string]map[string]int64) {
	report := demand.Report{Counts: make(map[demand.Key]demand.Counts), Accounts: make(map[string]demand.Summary)}
	exact := make(map[string]map[string]int64)
	for service := range 3 {
		if random.IntN(3) == 0 {
			continue
		}
		name := fmt.Sprint("service-", service)
		n := int64(1 + random.IntN(50))
		report.Counts[demand.Key{Service: name, Priority: random.IntN(2)}] = demand.Counts{Offered: demand.Amount{Requests: n, Work: 9 * n}, Waiting: demand.Amount{Requests: 1, Work: 1}}
		exact[name] = accountsOf(random, 400)
		report.Accounts[name] = summaryOf(exact[name])
	}
	return report, exact
}

// Guards against running sums that drift from the reports that they are of: each report replaces one
// before, VMs leave, and accounts appear and disappear.
func TestRunningSumsEqualTheSumOfTheReports(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(5, 6))
	sums := demand.NewSums()
	reports, exacts := make(map[int]demand.Report), make(map[int]map[string]map[string]int64)
	for range 600 {
		vm := random.IntN(12)
		var next demand.Report
		var exact map[string]map[string]int64
		if random.IntN(5) > 0 {
			next, exact = reportOf(random)
		}
		sums.Replace(reports[vm], next)
		reports[vm], exacts[vm] = next, exact

		fresh, total := demand.NewSums(), make(map[string]map[string]int64)
		for vm, report := range reports {
			fresh.Replace(demand.Report{}, report)
			for service, accounts := range exacts[vm] {
				if total[service] == nil {
					total[service] = make(map[string]int64)
				}
				for name, n := range accounts {
					total[service][name] += n
				}
			}
		}
		g.Expect(sums.Report()).To(Equal(fresh.Report()))
		for service, summary := range sums.Report().Accounts {
			expectBounds(g, summary, total[service])
		}
	}
	for vm, report := range reports {
		sums.Replace(report, demand.Report{})
		delete(reports, vm)
	}
	g.Expect(sums.Report()).To(Equal(demand.Report{}), "nothing is left of VMs that are gone")
}

func TestSummariesAreOfServicesShortOfCapacity(t *testing.T) {
	g := NewWithT(t)
	sums := demand.NewSums()
	busy, calm := demand.Key{Service: "busy"}, demand.Key{Service: "calm"}
	offered := demand.Amount{Requests: 4, Work: 40}
	report := demand.Report{
		Counts:   map[demand.Key]demand.Counts{busy: {Offered: offered, Refused: demand.Amount{Requests: 1, Work: 9}}, calm: {Offered: offered, Started: offered}},
		Accounts: map[string]demand.Summary{"busy": summaryOf(map[string]int64{"a": 40}), "calm": summaryOf(map[string]int64{"b": 40})},
	}
	sums.Replace(demand.Report{}, report)
	g.Expect(sums.ShortAccounts()).To(HaveLen(1))
	g.Expect(sums.ShortAccounts()).To(HaveKey("busy"))
	overall := &demand.Overall{Counts: sums.Counts(), DataCentres: map[string]map[demand.Key]demand.Rate{"x": sums.Rates()}}
	g.Expect(overall.Services()).To(Equal([]string{"busy", "calm"}))
	g.Expect(overall.Rate("calm", "x")).To(Equal(demand.Rate{Offered: 40, Started: 40}))
	g.Expect(overall.Rate("calm", "y")).To(BeZero())
	g.Expect(overall.Service("busy").Refused.Requests).To(BeNumerically("==", 1))
	var none *demand.Overall
	g.Expect(none.Service("busy")).To(BeZero())
}

// overallOf returns the demand for services, of which those in short are short of capacity.
func overallOf(work int64, services []string, short ...string) *demand.Overall {
	overall := &demand.Overall{Counts: make(map[demand.Key]demand.Counts), DataCentres: map[string]map[demand.Key]demand.Rate{"a": {}}}
	for _, service := range services {
		key := demand.Key{Service: service}
		overall.Counts[key] = demand.Counts{Offered: demand.Amount{Requests: 1, Work: work}}
		overall.DataCentres["a"][key] = demand.Rate{Offered: work}
	}
	for _, service := range short {
		key := demand.Key{Service: service}
		counts := overall.Counts[key]
		counts.Waiting = demand.Amount{Requests: 1, Work: 1}
		overall.Counts[key] = counts
	}
	return overall
}

// Guards against demand that is used for longer than its lifetime, and against an update of some services
// that makes a VM forget the others.
func TestViewMergesUpdatesOfServicesShortOfCapacity(t *testing.T) {
	g := NewWithT(t)
	var view demand.View
	g.Expect(view.Apply(0, nil, false)).To(BeNil(), "a hub of an earlier build")
	first := overallOf(10, []string{"busy", "calm"}, "busy")
	g.Expect(view.Apply(0, first, true)).To(Equal(first))
	update := overallOf(20, []string{"busy", "calm"}, "busy").Short()
	g.Expect(update.Services()).To(Equal([]string{"busy"}))
	merged := view.Apply(time.Second, update, false)
	g.Expect(merged.Services()).To(Equal([]string{"busy", "calm"}))
	g.Expect(merged.Service("busy").Offered.Work).To(BeNumerically("==", 20))
	g.Expect(merged.Rate("busy", "a").Offered).To(BeNumerically("==", 20))
	g.Expect(merged.Rate("calm", "a").Offered).To(BeNumerically("==", 10))
	g.Expect(first.Service("busy").Offered.Work).To(BeNumerically("==", 10), "what was handed out stays as it is")
	g.Expect(view.Apply(demand.ViewLifetime, nil, false).Services()).To(HaveLen(2))
	g.Expect(view.Apply(demand.ViewLifetime+1, update, false).Services()).To(Equal([]string{"busy"}))
	g.Expect(view.Apply(2*time.Second, nil, true)).To(BeNil())
	g.Expect(overallOf(1, []string{"calm"}).Short()).To(BeNil())
}
