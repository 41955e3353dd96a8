package relay_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/api"
	"oleandershunt.example/oleandershunt/internal/bootclock"
	"oleandershunt.example/oleandershunt/internal/core/backends"
	"oleandershunt.example/oleandershunt/internal/core/budget"
	"oleandershunt.example/oleandershunt/internal/core/lease"
	"oleandershunt.example/oleandershunt/internal/core/promise"
	"oleandershunt.example/oleandershunt/internal/core/routes"
	"oleandershunt.example/oleandershunt/internal/core/tally"
	"oleandershunt.example/oleandershunt/internal/relay"
	"oleandershunt.example/oleandershunt/internal/serverconn"
	netwire "oleandershunt.example/oleandershunt/internal/wire"
	"oleandershunt.example/oleandershunt/platform"
)

// promiseRig is a VM before one server, of which it refuses callers for want of capacity.
type promiseRig struct {
	*WithT
	vm         *httptest.Server
	dispatcher *relay.Dispatcher

	mu  sync.Mutex
	log []string
}

// newPromiseRig starts a VM that routes the streams of account "a" (key "a") and those of others to a
// model on a server with capacity for one request.
func newPromiseRig(t *testing.T, handler http.Handler) *promiseRig {
	service := routes.Service{Name: "llm", Engine: smallEngine()}
	return newPromiseRigFor(t, handler, service, routes.Route{Stream: true, Repeat: routes.Resumable})
}

func newPromiseRigFor(t *testing.T, handler http.Handler, service routes.Service, route routes.Route) *promiseRig {
	r := &promiseRig{WithT: NewWithT(t)}
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	route.Host, route.Prefix, route.MaxAttempts, route.TargetLatency = "a.example", "/", 2, 600*time.Millisecond
	route.Shares = []routes.Share{{Service: service.Name, Weight: 1}}
	listed := backends.Server{ID: "s1", Service: service.Name, Address: strings.TrimPrefix(server.URL, "http://"), DataCentre: "a", Slots: 2}
	accounts := map[string]routes.Account(nil)
	if service.Engine != nil {
		listed.Card, listed.Slots = "c", 0
		listed.LayerRanges = []backends.LayerRange{{Layers: api.Layers{From: 0, To: 80}}}
		accounts = map[string]routes.Account{"a": {Name: "a"}, "b": {Name: "b"}}
	}
	start := time.Now()
	d := relay.NewDispatcher(func() time.Duration { return time.Since(start) + time.Second }, budget.New(budget.Options{Window: 10 * time.Second, MinVMs: 1}))
	d.WithFleet(func(now time.Duration, fleet *backends.Fleet) { fleet.Replace(now, []backends.Server{listed}, 1) })
	d.SetMembers("vm-1", []lease.VM{{Name: "vm-1", DataCentre: "a"}})
	d.SetTable(routes.New(1, routes.Limits{}, []routes.Route{route}, []routes.Service{service}, accounts))
	log := funcr.New(func(_, line string) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.log = append(r.log, line)
	}, funcr.Options{})
	connector := serverconn.New(serverconn.Options{Log: log, Dial: netwire.Dial, Now: bootclock.Now, Service: d.ServiceAt})
	go func() { _ = connector.Run(t.Context()) }()
	r.dispatcher = d
	r.vm = httptest.NewServer(relay.New(relay.Options{
		Servers: connector, Log: log, Wire: platform.Requests{}, Engines: &engines{reportCalls: make(map[string]int)}, Dispatcher: d, DataCentre: "a",
		Proven: func() bool { return true }, StallTimeout: time.Second,
	}))
	t.Cleanup(r.vm.Close)
	return r
}

// loggedFor returns the log lines on a request.
func (r *promiseRig) loggedFor(id string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var lines []string
	for _, line := range r.log {
		if strings.Contains(line, strconv.Quote(id)) {
			lines = append(lines, line)
		}
	}
	return strings.Join(lines, "\n")
}

// result is the response to a request. retryAfter is negative without the header.
type result struct {
	id, body          string
	status            int
	reason, execution string
	retryAfter        time.Duration
	elapsed           time.Duration
	at                time.Time
}

// send sends a request with a body of its own and a timeout of nine seconds.
func (r *promiseRig) send(id, body string) result {
	begun := time.Now()
	request, err := http.NewRequest(http.MethodPost, r.vm.URL+"/", strings.NewReader(body))
	r.Expect(err).NotTo(HaveOccurred())
	request.Host = "a.example"
	for name, value := range map[string]string{"X-Request-Id": id, "X-Api-Key": "a", "X-Token-Count": "100,10", "X-Deadline-Ms": "9000"} {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	r.Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	r.Expect(err).NotTo(HaveOccurred())
	answer := result{id: id, body: body, status: response.StatusCode, retryAfter: -1, elapsed: time.Since(begun), at: time.Now()}
	if answer.status == http.StatusOK {
		return answer
	}
	var refusal map[string]string
	r.Expect(json.Unmarshal(text, &refusal)).To(Succeed())
	answer.reason, answer.execution = refusal["reason"], refusal["execution"]
	if header := response.Header.Get("Retry-After"); header != "" {
		seconds, err := strconv.ParseFloat(header, 64)
		r.Expect(err).NotTo(HaveOccurred())
		answer.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	return answer
}

// overload sends so many requests per second for a span. Each is passed to then, if set, once answered.
func (r *promiseRig) overload(perSecond int, span time.Duration, then func(result)) []result {
	var mu sync.Mutex
	var callers sync.WaitGroup
	var results []result
	start := time.Now()
	for i := 0; time.Since(start) < span; i++ {
		callers.Go(func() {
			answer := r.send(fmt.Sprint("r", i), fmt.Sprintf(`{"n":%d,"vm":%q}`, i, r.vm.URL))
			mu.Lock()
			results = append(results, answer)
			mu.Unlock()
			if then != nil {
				then(answer)
			}
		})
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	callers.Wait()
	return results
}

// Guards against callers that wait in vain, against refusals of requests that run after all, and
// against return times at which the caller isn't served: a server runs one request at a time, each for
// 50 ms, and gets seven times as many.
func TestRequestsThatWouldStartTooLateAreRefusedAtOnceWithATime(t *testing.T) {
	server := &orderServer{takes: 50 * time.Millisecond}
	r := newPromiseRig(t, server)
	var mu sync.Mutex
	returned, served := 0, 0
	results := r.overload(150, 3*time.Second, func(answer result) {
		if answer.status == http.StatusOK || answer.retryAfter < 0 {
			return
		}
		time.Sleep(answer.retryAfter)
		again := r.send(answer.id+"-again", answer.body)
		mu.Lock()
		defer mu.Unlock()
		returned++
		if again.status == http.StatusOK {
			served++
		}
	})
	atOnce := 0
	ran := server.ids()
	for _, answer := range results {
		if answer.status == http.StatusOK {
			continue
		}
		r.Expect(answer.reason).To(Equal("overloaded"))
		r.Expect(answer.execution).To(Equal("not_run"))
		r.Expect(answer.retryAfter).To(BeNumerically("<=", 3*time.Second), "a third of the caller's time")
		r.Expect(ran).NotTo(ContainElement(answer.id))
		r.Expect(r.loggedFor(answer.id)).To(And(ContainSubstring("requests ahead "), ContainSubstring("starts per second "), ContainSubstring("forecast "), ContainSubstring("promised ")))
		if answer.elapsed < 300*time.Millisecond {
			atOnce++
		}
	}
	r.Expect(atOnce).To(BeNumerically(">", 50))
	r.Expect(returned).To(BeNumerically(">", 3))
	r.Expect(float64(served)).To(BeNumerically(">=", 0.9*float64(returned)), "%d returned", returned)
}

// Guards against callers that are refused again where they return to another VM than the one that told
// them when to return: the VMs know each other's promises by the tallies.
func TestACallerReturnsToAnotherVM(t *testing.T) {
	first := newPromiseRig(t, &orderServer{takes: 20 * time.Millisecond})
	second := newPromiseRig(t, &orderServer{takes: 20 * time.Millisecond})
	done, kept := make(chan struct{}), make(map[promise.Key]bool)
	var tallies sync.WaitGroup
	tallies.Go(func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(50 * time.Millisecond):
				second.dispatcher.ApplyTally(tally.Tally{VMs: 1, Promises: first.dispatcher.Promises()})
				for _, due := range second.dispatcher.Promises()["llm"].Keys {
					if due.Ended && !due.Lost {
						kept[due.Key] = true
					}
				}
			}
		}
	})
	var mu sync.Mutex
	returned, served := 0, 0
	var load sync.WaitGroup
	load.Go(func() { second.overload(300, 7*time.Second, nil) })
	first.overload(300, 4*time.Second, func(answer result) {
		if answer.status == http.StatusOK || answer.retryAfter < 0 {
			return
		}
		time.Sleep(answer.retryAfter)
		again := second.send(answer.id+"-again", answer.body)
		mu.Lock()
		defer mu.Unlock()
		returned++
		if again.status == http.StatusOK {
			served++
		}
	})
	load.Wait()
	close(done)
	tallies.Wait()
	first.Expect(returned).To(BeNumerically(">", 5))
	first.Expect(float64(served)).To(BeNumerically(">=", 0.9*float64(returned)), "%d returned", returned)
	first.Expect(len(kept)).To(BeNumerically(">=", served), "the second VM recognised them")
}

// Guards against callers that ignore Retry-After and are preferred to others, or get another time.
func TestACallerThatRepeatsAtOnceLosesItsPromise(t *testing.T) {
	r := newPromiseRig(t, &orderServer{takes: 50 * time.Millisecond})
	var mu sync.Mutex
	early := 0
	r.overload(150, 2*time.Second, func(answer result) {
		if answer.status == http.StatusOK || answer.retryAfter < 500*time.Millisecond {
			return
		}
		again := r.send(answer.id+"-again", answer.body)
		if again.status == http.StatusOK || again.at.Sub(answer.at) > answer.retryAfter {
			return
		}
		mu.Lock()
		early++
		mu.Unlock()
		r.Expect(again.retryAfter).To(BeNumerically("<", 0), "no Retry-After")
	})
	r.Expect(early).To(BeNumerically(">", 0))
}

// Guards against refusals that promise capacity although nothing is known of it: requests that arrive
// within the first 0.3 s of an overload wait until it is known, at least as long as they can be in time.
func TestRequestsWaitWhileTheForecastIsUncertain(t *testing.T) {
	r := newPromiseRig(t, &orderServer{takes: time.Second})
	for _, answer := range r.overload(150, 250*time.Millisecond, nil) {
		if answer.status != http.StatusOK {
			r.Expect(answer.elapsed).To(BeNumerically(">=", 400*time.Millisecond), answer.id)
		}
	}
}

// refuser refuses requests as not run, without the signs of an overload.
func refuser(w http.ResponseWriter, request *http.Request) {
	w.Header().Set("X-Request-Id", request.Header.Get("X-Request-Id"))
	w.Header().Set("X-Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// Guards against other failures that are answered like an overload: where no request waits for the
// service, the caller is to return as soon as a lost server's layers are usually available elsewhere.
func TestRefusalsWithoutOverloadKeepTheirTime(t *testing.T) {
	r := newPromiseRig(t, http.HandlerFunc(refuser))
	answer := r.send("refused", "{}")
	r.Expect(answer.reason).To(Equal("servers_refused"))
	r.Expect(answer.execution).To(Equal("not_run"))
	r.Expect(answer.retryAfter).To(Equal(500 * time.Millisecond))

	r.dispatcher.WithFleet(func(now time.Duration, fleet *backends.Fleet) { fleet.Replace(now, nil, 1) })
	answer = r.send("lost", "{}")
	r.Expect(answer.reason).To(Equal("no_server"))
	r.Expect(answer.retryAfter).To(Equal(500 * time.Millisecond))
	r.Expect(r.dispatcher.Promises()).To(BeNil())
}

// Guards against return times in deployments without engine figures and accounts. Its gap target is what
// makes requests wait on the VM.
func TestNothingIsPromisedWithoutEngineFiguresAndAccounts(t *testing.T) {
	release := make(chan struct{})
	r := newPromiseRigFor(t, http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		<-release
		w.Header().Set("X-Request-Id", request.Header.Get("X-Request-Id"))
		w.Header().Set("X-Response-Seal", "seal")
		_, _ = io.WriteString(w, "x")
	}), routes.Service{Name: "app"}, routes.Route{Repeat: routes.Repeatable, TargetGap: time.Second})
	var callers sync.WaitGroup
	for i := range 4 {
		callers.Go(func() { r.send(fmt.Sprint("running", i), "{}") })
	}
	for i := range 5 {
		time.Sleep(100 * time.Millisecond)
		callers.Go(func() {
			answer := r.send(fmt.Sprint("waiting", i), "{}")
			r.Expect(answer.reason).To(Equal("overloaded"))
			r.Expect(answer.retryAfter).To(Equal(500 * time.Millisecond))
			r.Expect(answer.elapsed).To(BeNumerically(">=", 290*time.Millisecond), "none is refused at once")
		})
	}
	time.Sleep(500 * time.Millisecond)
	close(release)
	callers.Wait()
}
