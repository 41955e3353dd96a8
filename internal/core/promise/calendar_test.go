package promise_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/core/promise"
)

const (
	ms  = time.Millisecond
	llm = "llm"
	t0  = 10 * time.Second
)

// refused is a caller whose response can be in time for two seconds, and which may wait for five.
func refused(key int) promise.Request {
	return promise.Request{Key: promise.Key(key), Timely: t0 + 2*time.Second, Limit: 5 * time.Second}
}

// promiseAll promises times to as many callers as the calendar takes, and returns them.
func promiseAll(c *promise.Calendar, r promise.Request, rate float64) (in []time.Duration) {
	for {
		r.Key++
		next, ok := c.Promise(t0, llm, r, rate, 0.5)
		if !ok {
			return in
		}
		in = append(in, next)
	}
}

func perBucket(in []time.Duration) map[time.Duration]int {
	counts := make(map[time.Duration]int)
	for _, at := range in {
		counts[at/promise.BucketWidth]++
	}
	return counts
}

// Guards against forecasts that ignore the callers who are due to return: new requests would take
// their starts.
func TestForecastCountsQueuedRequestsAndReturns(t *testing.T) {
	g := NewWithT(t)
	c := promise.New()
	g.Expect(c.Forecast(t0, llm, 0, 10)).To(Equal(t0))
	g.Expect(c.Forecast(t0, llm, 20, 10)).To(BeNumerically("~", t0+2*time.Second, time.Microsecond))
	g.Expect(c.Forecast(t0, llm, 1000, 10)).To(BeNumerically("~", t0+100*time.Second, ms), "beyond the horizon")
	promised := promiseAll(c, refused(0), 10)
	g.Expect(len(promised)).To(BeNumerically(">", 10))
	g.Expect(c.Forecast(t0, llm, 20, 10)).To(BeNumerically(">", t0+3*time.Second))

	alone := c.Forecast(t0, llm, 20, 10)
	c.SetRemote(t0, llm, promise.Report{Rate: 90})
	g.Expect(c.Forecast(t0, llm, 20, 10)).To(BeNumerically("<", alone), "they return to other VMs as well")
}

// Guards against callers that return in greater number than starts are free, and against late
// responses that take the place of ones in time.
func TestBucketsTakeThePartOfTheStartsThatIsFree(t *testing.T) {
	g := NewWithT(t)
	promised := promiseAll(promise.New(), refused(0), 100)
	counts := perBucket(promised)
	g.Expect(counts[0]).To(BeZero(), "the first bucket has begun")
	g.Expect(counts[1]).To(Equal(8))
	g.Expect(counts[19]).To(Equal(8))
	g.Expect(counts[21]).To(Equal(1), "too late to be in time")
	g.Expect(promised[len(promised)-1]).To(And(BeNumerically("<=", 5*time.Second), BeNumerically(">", 4*time.Second)))

	queued := refused(0)
	queued.Ahead = 100
	counts = perBucket(promiseAll(promise.New(), queued, 100))
	g.Expect(counts[9]).To(BeZero(), "the starts of queued requests")
	g.Expect(counts[12]).To(Equal(8))

	far := refused(0)
	far.Limit = time.Minute
	far.Timely = t0 + time.Minute
	promised = promiseAll(promise.New(), far, 100)
	g.Expect(promised[len(promised)-1]).To(BeNumerically("<", promise.Horizon*promise.BucketWidth))
}

// Guards against services of a few starts per second whose buckets take none, or one each.
func TestBucketsOfASlowServiceAreSpacedOut(t *testing.T) {
	for _, rate := range []float64{1, 2.4, 5, 17} {
		g := NewWithT(t)
		r := refused(0)
		r.Timely, r.Limit = t0+8*time.Second, 8*time.Second
		promised := promiseAll(promise.New(), r, rate)
		g.Expect(float64(len(promised))).To(And(BeNumerically("<=", 8*rate*0.8+1), BeNumerically(">=", 8*rate*0.8*0.75-1)), "%v per second", rate)
	}
}

// Guards against urgent callers who get a later time than less urgent ones refused at the same moment.
func TestUrgentAndFormerlyRefusedCallersReturnEarlier(t *testing.T) {
	g := NewWithT(t)
	c := promise.New()
	usual := refused(0)
	usual.Priority = 2
	promised := promiseAll(c, usual, 100)
	again := usual
	again.Key, again.Refused = 1001, true
	in, ok := c.Promise(t0, llm, again, 100, 0.5)
	g.Expect(ok).To(BeTrue())
	g.Expect(in).To(BeNumerically("<", 200*ms))
	urgent := usual
	urgent.Key, urgent.Priority = 1000, 0
	in, ok = c.Promise(t0, llm, urgent, 100, 0.5)
	g.Expect(ok).To(BeTrue())
	g.Expect(in).To(BeNumerically("<", 200*ms))
	g.Expect(promised[len(promised)-1]).To(BeNumerically(">", time.Second))
}

// Guards against a Retry-After that leaves the caller too little time, or that nothing stands behind.
func TestNothingIsPromisedWithoutAFreeStartWithinTheLimit(t *testing.T) {
	g := NewWithT(t)
	c := promise.New()
	r := refused(1)
	r.Ahead, r.Limit = 20, 2*time.Second
	_, ok := c.Promise(t0, llm, r, 10, 0.9)
	g.Expect(ok).To(BeFalse(), "the queued requests start first")
	r.Ahead, r.Limit = 0, 150*ms
	_, ok = c.Promise(t0, llm, r, 10, 0.9)
	g.Expect(ok).To(BeFalse(), "the next whole bucket ends after the limit")
	r.Limit = -time.Second
	_, ok = c.Promise(t0, llm, r, 10, 0.9)
	g.Expect(ok).To(BeFalse())
}

// Guards against callers that return early, late or twice and are preferred to others.
func TestOnlyACallerThatReturnsAtItsTimeClaimsIt(t *testing.T) {
	g := NewWithT(t)
	claim := func(offset time.Duration) (promise.Return, *promise.Calendar, time.Duration) {
		c := promise.New()
		in, ok := c.Promise(t0, llm, refused(1), 10, 0.5)
		g.Expect(ok).To(BeTrue())
		result, due := c.Claim(t0+in+offset, llm, 1)
		if result != promise.Newcomer {
			g.Expect(due).To(Equal(t0 + in))
		}
		return result, c, t0 + in
	}
	for _, offset := range []time.Duration{-50 * ms, 0, time.Second} {
		result, c, due := claim(offset)
		g.Expect(result).To(Equal(promise.Claimed), "%v", offset)
		again, _ := c.Claim(due+offset, llm, 1)
		g.Expect(again).To(Equal(promise.Newcomer), "a promise is kept once")
		_, ok := c.Promise(due+offset, llm, refused(1), 10, 0.5)
		g.Expect(ok).To(BeTrue(), "refused again")
	}
	result, _, _ := claim(time.Second + ms)
	g.Expect(result).To(Equal(promise.Newcomer), "too late")

	result, c, due := claim(-51 * ms)
	g.Expect(result).To(Equal(promise.Early))
	_, ok := c.Promise(due-51*ms, llm, refused(1), 10, 0.5)
	g.Expect(ok).To(BeFalse(), "no other promise instead of the one that it ignored")
	result, _ = c.Claim(due, llm, 1)
	g.Expect(result).To(Equal(promise.Newcomer))
	_, ok = c.Promise(due+time.Second+ms, llm, refused(1), 10, 0.5)
	g.Expect(ok).To(BeTrue())
	other, _ := c.Claim(t0, "other", 1)
	g.Expect(other).To(Equal(promise.Newcomer))
}

// Guards against a caller that is new at every VM but the one that refused it, and against one that
// claims the same promise at two VMs.
func TestAnotherVMRecognisesACallerThatReturns(t *testing.T) {
	g := NewWithT(t)
	first, second, third := promise.New(), promise.New(), promise.New()
	in, ok := first.Promise(t0, llm, refused(7), 10, 0.5)
	g.Expect(ok).To(BeTrue())
	second.SetRemote(t0, llm, first.Local(t0, llm, 10))
	third.SetRemote(t0+in-100*ms, llm, first.Local(t0+in-100*ms, llm, 10))
	result, due := second.Claim(t0+in, llm, 7)
	g.Expect(result).To(Equal(promise.Claimed))
	g.Expect(due).To(Equal(t0 + in))

	told := second.Local(t0+in+20*ms, llm, 10)
	g.Expect(told.Keys).To(HaveLen(1))
	first.SetRemote(t0+in+20*ms, llm, told)
	third.SetRemote(t0+in+20*ms, llm, told)
	for _, c := range []*promise.Calendar{first, third} {
		result, _ = c.Claim(t0+in+30*ms, llm, 7)
		g.Expect(result).To(Equal(promise.Newcomer))
	}
	g.Expect(first.Local(t0+in+30*ms, llm, 10).Buckets).To(BeEmpty())

	in, ok = second.Promise(t0+in+100*ms, llm, refused(7), 10, 0.5)
	g.Expect(ok).To(BeTrue(), "refused again")
	third.SetRemote(t0+in+100*ms, llm, second.Local(t0+in+100*ms, llm, 10))
	g.Expect(third.Local(t0+in+100*ms, llm, 10).Buckets).To(BeEmpty(), "only its own")
}

// Guards against the VMs together promising more than the servers start, when their own counts are
// more than their part.
func TestOtherVMsPromisesFillTheBuckets(t *testing.T) {
	g := NewWithT(t)
	c := promise.New()
	full := promise.Report{Rate: 90, Buckets: []uint32{10, 10, 10, 10}}
	c.SetRemote(t0, llm, full)
	in, ok := c.Promise(t0, llm, refused(1), 10, 0)
	g.Expect(ok).To(BeTrue())
	g.Expect(in).To(BeNumerically(">=", 400*ms))

	c = promise.New()
	c.SetRemote(t0, llm, full)
	in, ok = c.Promise(t0+1600*ms, llm, refused(1), 10, 0)
	g.Expect(ok).To(BeTrue())
	g.Expect(in).To(BeNumerically("<", 200*ms), "old tallies no longer count")
}

// Guards against the promises of lost VMs that keep buckets taken, and against callers that claim
// what no VM knows.
func TestPromisesOfALostVMEndWithItsReport(t *testing.T) {
	g := NewWithT(t)
	lost, c := promise.New(), promise.New()
	in, _ := lost.Promise(t0, llm, refused(1), 10, 0.5)
	c.SetRemotes(t0, map[string]promise.Report{llm: lost.Local(t0, llm, 10)})
	c.SetRemotes(t0+50*ms, nil)
	result, _ := c.Claim(t0+in, llm, 1)
	g.Expect(result).To(Equal(promise.Newcomer))
	g.Expect(c.Services(t0 + 2*time.Second)).To(BeEmpty())
}

// Guards against messages that grow with the number of promises.
func TestReportsAreBounded(t *testing.T) {
	g := NewWithT(t)
	c := promise.New()
	r := refused(0)
	r.Timely, r.Limit = t0+time.Minute, time.Minute
	given := promiseAll(c, r, 1000)
	g.Expect(len(given)).To(BeNumerically(">", 2000))
	report := c.Local(t0, llm, 1000)
	g.Expect(report.Keys).To(HaveLen(promise.MaxKeys))
	g.Expect(len(report.Buckets)).To(BeNumerically("<=", promise.Horizon))
	sum := 0
	for _, count := range report.Buckets {
		sum += int(count)
	}
	g.Expect(sum).To(Equal(len(given)))
	g.Expect(report.Keys[0].In).To(BeNumerically("<", 200*ms), "those that are due first")
	g.Expect(c.Local(t0+12*time.Second, llm, 1000).Keys).To(BeEmpty())
	g.Expect(c.Services(t0 + 12*time.Second)).To(BeEmpty())
}
