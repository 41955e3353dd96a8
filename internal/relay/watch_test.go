package relay_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/api"
	"oleandershunt.example/oleandershunt/internal/core/backends"
	"oleandershunt.example/oleandershunt/internal/core/backpressure"
	"oleandershunt.example/oleandershunt/internal/core/budget"
	"oleandershunt.example/oleandershunt/internal/core/chain"
	"oleandershunt.example/oleandershunt/internal/core/routes"
	"oleandershunt.example/oleandershunt/internal/relay"
	"oleandershunt.example/oleandershunt/internal/telemetry"
	"oleandershunt.example/oleandershunt/platform"
)

// engines is a fake control interface of model servers.
type engines struct {
	mu      sync.Mutex
	stalled string
	refuse  bool
	moved   chan chain.Path
	// reportCalls counts the fetched reports by address, and pace is the pace in each report.
	reportCalls map[string]int
	pace        float64
	queued      int
	// healthy says that nothing is wrong: reports have queued work and no stalled request.
	healthy atomic.Bool
}

func (e *engines) Report(_ context.Context, address string) (relay.Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reportCalls[address]++
	if e.healthy.Load() {
		return relay.Report{Pace: e.pace, Queued: 1}, nil
	}
	return relay.Report{Stalled: map[string]string{"r1": e.stalled}, Pace: e.pace, Queued: e.queued}, nil
}

func (e *engines) reports() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	sum := 0
	for _, n := range e.reportCalls {
		sum += n
	}
	return sum
}

func (e *engines) Place(context.Context, string, string, relay.Order) (backpressure.Signals, error) {
	return backpressure.Signals{}, nil
}

func (e *engines) Repath(_ context.Context, _, _, _ string, path chain.Path) (backpressure.Signals, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.refuse {
		return backpressure.Signals{}, errors.New("no capacity")
	}
	select {
	case e.moved <- path:
	default:
	}
	return backpressure.Signals{}, nil
}

// rig is a handler with two servers that hold the first layers and two that hold the rest.
type rig struct {
	*WithT
	engines      *engines
	url          string
	unresponsive chan string
	mu           sync.Mutex
	runs         []string
	proceed      chan struct{}
	// refusing makes the server refuse each run as soon as a request has moved, or after 20 ms.
	refusing bool
	// dispatcher knows the servers in servers.
	dispatcher *relay.Dispatcher
	servers    []backends.Server
}

func newRig(t *testing.T) *rig { return newRigWith(t, 100, patience) }

// newRigWith makes a rig with the given number of retries and the silence after which a stream
// is checked.
func newRigWith(t *testing.T, retries float64, patience time.Duration) *rig {
	r := &rig{WithT: NewWithT(t), engines: &engines{moved: make(chan chain.Path, 8), reportCalls: make(map[string]int)}, unresponsive: make(chan string, 8), proceed: make(chan struct{})}
	engine := &routes.Engine{Layers: 80, LayerMB: 1750, TokenBytes: 918_000, Step: time.Millisecond, TypicalPrompt: 100, TypicalAnswer: 10, Cards: map[string]routes.Card{"c": {MB: 100_000, Pace: 1}}}
	route := routes.Route{Host: "a.example", Prefix: "/", Repeat: routes.Resumable, Stream: true, MaxAttempts: 2, Shares: []routes.Share{{Service: "llm", Weight: 1}}}
	start := time.Now()
	d := relay.NewDispatcher(func() time.Duration { return time.Since(start) + time.Second },
		budget.New(budget.Options{Ratio: 0.2, Slack: retries, Window: 10 * time.Second, MinVMs: 1}))
	d.SetTable(routes.New(1, routes.Limits{}, []routes.Route{route}, []routes.Service{{Name: "llm", Engine: engine}}, nil))
	var list []backends.Server
	for i, from := range []int{0, 0, 40, 40} {
		server := httptest.NewServer(http.HandlerFunc(r.serve))
		t.Cleanup(server.Close)
		list = append(list, backends.Server{
			ID: fmt.Sprint("s", i+1), Service: "llm", Address: strings.TrimPrefix(server.URL, "http://"), DataCentre: "a", Card: "c",
			LayerRanges: []backends.LayerRange{{Layers: api.Layers{From: from, To: from + 40}}},
		})
	}
	d.WithFleet(func(now time.Duration, fleet *backends.Fleet) { fleet.Replace(now, list, 1) })
	r.dispatcher, r.servers = d, list
	r.engines.stalled = list[2].Address
	// Before the first event a slow machine looks like an unresponsive server.
	r.engines.healthy.Store(true)
	handler := relay.New(relay.Options{
		Log: funcr.New(r.observeLog, funcr.Options{}), Wire: platform.Requests{}, Engines: r.engines, Dispatcher: d, DataCentre: "a",
		Proven: func() bool { return true }, OnUnresponsive: r.recordUnresponsive, StallTimeout: patience,
	})
	vm := httptest.NewServer(handler)
	t.Cleanup(vm.Close)
	r.url = vm.URL
	return r
}

// recordUnresponsive receives the servers found unresponsive. Repeated reports are dropped once
// the channel is full.
func (r *rig) recordUnresponsive(id string) {
	select {
	case r.unresponsive <- id:
	default:
	}
}

// serve refuses if the test says so; otherwise it streams one event, and the rest when the test
// lets it proceed or on a resumption.
func (r *rig) serve(w http.ResponseWriter, request *http.Request) {
	after := request.Header.Get("Last-Event-Id")
	r.mu.Lock()
	r.runs = append(r.runs, after)
	r.mu.Unlock()
	w.Header().Set("X-Request-Id", request.Header.Get("X-Request-Id"))
	if r.refusing {
		select {
		case <-r.engines.moved:
		case <-time.After(20 * time.Millisecond):
		}
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("X-Response-Seal", "seal")
	if after == "" {
		_, _ = io.WriteString(w, firstEvent)
		w.(http.Flusher).Flush()
		select {
		case <-r.proceed:
		case <-request.Context().Done():
			return
		}
	}
	_, _ = io.WriteString(w, "id: 2\ndata: x\n\n")
}

func (r *rig) call() string {
	response := r.post()
	defer response.Body.Close()
	first := make([]byte, len(firstEvent))
	_, err := io.ReadFull(response.Body, first)
	r.Expect(err).NotTo(HaveOccurred())
	r.engines.healthy.Store(false)
	rest, err := io.ReadAll(response.Body)
	r.Expect(err).NotTo(HaveOccurred())
	return string(first) + string(rest)
}

func (r *rig) post() *http.Response {
	request, err := http.NewRequest(http.MethodPost, r.url+"/", strings.NewReader("{}"))
	r.Expect(err).NotTo(HaveOccurred())
	request.Host = "a.example"
	request.Header.Set("X-Request-Id", "r1")
	response, err := http.DefaultClient.Do(request)
	r.Expect(err).NotTo(HaveOccurred())
	return response
}

func (r *rig) status() int {
	response := r.post()
	defer response.Body.Close()
	return response.StatusCode
}

// observeLog marks the servers healthy once the handler has moved or ended an attempt, until a
// caller has the first event of another stream.
func (r *rig) observeLog(_, line string) {
	for _, event := range []telemetry.Event{telemetry.RelayMoved, telemetry.RelayNotMoved, telemetry.RelayAnswerLost} {
		if strings.Contains(line, fmt.Sprintf(`"event"=%d`, event.Number)) {
			r.engines.healthy.Store(true)
		}
	}
}

const (
	firstEvent   = "id: 1\ndata: x\n\n"
	completeBody = firstEvent + "id: 2\ndata: x\n\n"
	// patience is such that twice its value exceeds the maximum age of a report: a report from
	// before the handler acted doesn't affect the next attempt.
	patience = 100 * time.Millisecond
)

// Guards against streams that stay silent until their callers disconnect: a server inside the
// path fails silently, and the first server waits for it.
func TestAStreamMovesOffAnUnresponsiveServer(t *testing.T) {
	r := newRig(t)
	done := make(chan string, 1)
	go func() { done <- r.call() }()
	var path chain.Path
	r.Eventually(r.engines.moved, "5s").Should(Receive(&path))
	r.Expect(path.String()).To(HaveSuffix("s4[40,80)"))
	r.Eventually(r.unresponsive, "5s").Should(Receive(Equal("s3")))
	close(r.proceed)
	r.Eventually(done, "5s").Should(Receive(Equal(completeBody)))
	r.Expect(r.runs).To(Equal([]string{""}), "the attempt isn't restarted")
}

func TestAStreamThatCantMoveIsResumed(t *testing.T) {
	r := newRig(t)
	r.engines.refuse = true
	r.Expect(r.call()).To(Equal(completeBody))
	r.Expect(r.runs).To(Equal([]string{"", "1"}))
}

// Guards against moving streams off healthy servers: a report from before a move names a server
// that isn't on the path any more, which must not be attributed to the first server.
func TestAStaleReportAffectsNoServer(t *testing.T) {
	r := newRig(t)
	r.engines.stalled, r.engines.queued = "10.0.0.1:1", 1
	done := make(chan string, 1)
	go func() { done <- r.call() }()
	r.Consistently(r.engines.moved, "300ms").ShouldNot(Receive())
	close(r.proceed)
	r.Eventually(done, "5s").Should(Receive(Equal(completeBody)))
	r.Expect(r.runs).To(Equal([]string{""}))
}

// Guards against thousands of report fetches within seconds: many streams stall behind one slow
// server, and each checks its path every quarter of a second.
func TestStalledStreamsShareReports(t *testing.T) {
	r := newRig(t)
	r.engines.stalled, r.engines.pace, r.engines.queued = "", 4, 1
	const streams = 20
	done := make(chan string, streams)
	for range streams {
		go func() { done <- r.call() }()
	}
	r.Eventually(r.engines.reports, "5s").Should(BeNumerically(">=", 2), "one of a first server, and one of another for its pace")
	start := time.Now()
	r.Consistently(func() bool {
		// Two first servers are asked every 150 ms, and paces are fetched four times a second.
		limit := 2*(int(time.Since(start)/(150*time.Millisecond))+2) + 4*(int(time.Since(start)/time.Second)+2)
		return r.engines.reports() <= limit
	}, "600ms").Should(BeTrue())
	close(r.proceed)
	for range streams {
		r.Eventually(done, "5s").Should(Receive(Equal(completeBody)))
	}
}

// Guards against streams that are silent for two seconds although every server responds: a
// server runs the request and its response is lost, so the first server waits for no other.
func TestAStreamWhoseResponseIsLostIsResumed(t *testing.T) {
	r := newRig(t)
	r.engines.stalled = ""
	r.Expect(r.call()).To(Equal(completeBody))
	r.Expect(r.runs).To(Equal([]string{"", "1"}))
}

// Guards against cutting a response that its servers would have completed: a server inside the
// path is silent for a moment, the request can't be moved, and no retry is left. A retry must
// be taken before the attempt is ended.
func TestAStreamWithoutRetryBudgetIsNotEnded(t *testing.T) {
	r := newRigWith(t, 0, patience)
	r.engines.refuse = true
	done := make(chan string, 1)
	go func() { done <- r.call() }()
	r.Eventually(r.unresponsive, "5s").Should(Receive(Equal("s3")))
	r.Consistently(done, "400ms").ShouldNot(Receive())
	close(r.proceed)
	r.Eventually(done, "5s").Should(Receive(Equal(completeBody)))
	r.Expect(r.runs).To(Equal([]string{""}))
}

// Guards against ending an attempt that can't be resumed yet: a server inside the path fails,
// and the only other server with its layers is available half a second later.
func TestAStreamIsResumedOnceAPathExists(t *testing.T) {
	r := newRig(t)
	r.engines.refuse = true
	r.dispatcher.WithFleet(func(now time.Duration, fleet *backends.Fleet) { fleet.Remove(now, "s4", 2) })
	done := make(chan string, 1)
	go func() { done <- r.call() }()
	r.Eventually(r.unresponsive, "5s").Should(Receive(Equal("s3")))
	r.Consistently(done, "400ms").ShouldNot(Receive())
	restarted := r.servers[3]
	restarted.Revision = 3
	r.dispatcher.WithFleet(func(now time.Duration, fleet *backends.Fleet) { fleet.Put(now, restarted) })
	r.Eventually(done, "5s").Should(Receive(Equal(completeBody)))
	r.Expect(r.runs).To(Equal([]string{"", "1"}))
}

// Guards against a watchdog whose timer fires before the goroutine that set it continues, as on
// a slow machine: it found no timer to reset and never checked the stream again. The race
// detector shows it.
func TestAWatchdogTimerThatFiresAtOnceIsReset(t *testing.T) {
	r := newRigWith(t, 100, time.Nanosecond)
	r.engines.stalled, r.engines.queued = "", 1
	const streams = 20
	done := make(chan string, streams)
	for range streams {
		go func() { done <- r.call() }()
	}
	r.Eventually(r.engines.reports, "5s").Should(BeNumerically(">=", 2))
	close(r.proceed)
	for range streams {
		r.Eventually(done, "5s").Should(Receive(Equal(completeBody)))
	}
}

// Guards against a data race between a refusal and a move of the same request: both write its
// list of servers to avoid and its path, so a server that refused was retried or another one
// was marked. The race detector shows it.
func TestARefusalDuringAMoveHasNoDataRace(t *testing.T) {
	r := newRigWith(t, 1000, time.Nanosecond)
	r.refusing = true
	r.engines.healthy.Store(false)
	const streams = 20
	statuses := make(chan int, streams)
	for range streams {
		go func() { statuses <- r.status() }()
	}
	for range streams {
		r.Eventually(statuses, "10s").Should(Receive(BeNumerically(">=", 500)))
	}
}
