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

// engines answers reports and orders as a test tells.
type engines struct {
	mu      sync.Mutex
	stalled string
	refuse  bool
	moved   chan chain.Path
	// asked counts the reports by address, and pace is what each says.
	asked  map[string]int
	pace   float64
	queued int
	// well says that nothing is wrong: reports say that work is queued and nobody stalls.
	well atomic.Bool
}

func (e *engines) Report(_ context.Context, address string) (relay.Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.asked[address]++
	if e.well.Load() {
		return relay.Report{Pace: e.pace, Queued: 1}, nil
	}
	return relay.Report{Stalled: map[string]string{"r1": e.stalled}, Pace: e.pace, Queued: e.queued}, nil
}

func (e *engines) reports() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	sum := 0
	for _, n := range e.asked {
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
		return backpressure.Signals{}, errors.New("no room")
	}
	select {
	case e.moved <- path:
	default:
	}
	return backpressure.Signals{}, nil
}

// rig is a handler before two servers that hold the first layers, and two places
// that hold the rest.
type rig struct {
	*WithT
	engines *engines
	url     string
	found   chan string
	mu      sync.Mutex
	runs    []string
	goOn    chan struct{}
	// refusing has each run refused as soon as a request has moved, or after 20 ms.
	refusing bool
	// dispatcher knows the servers of list.
	dispatcher *relay.Dispatcher
	list       []backends.Server
}

func newRig(t *testing.T) *rig { return newRigWith(t, 100, patience) }

// newRigWith makes a rig with so many repeats, whose streams are looked after when they
// are silent for a while.
func newRigWith(t *testing.T, repeats float64, patience time.Duration) *rig {
	r := &rig{WithT: NewWithT(t), engines: &engines{moved: make(chan chain.Path, 8), asked: make(map[string]int)}, found: make(chan string, 8), goOn: make(chan struct{})}
	engine := &routes.Engine{Layers: 80, LayerMB: 1750, TokenBytes: 918_000, Step: time.Millisecond, Prompt: 100, Answer: 10, Cards: map[string]routes.Card{"c": {MB: 100_000, Pace: 1}}}
	route := routes.Route{Host: "a.example", Prefix: "/", Repeat: routes.Resumable, Stream: true, Attempts: 2, Shares: []routes.Share{{Service: "llm", Weight: 1}}}
	start := time.Now()
	d := relay.NewDispatcher(func() time.Duration { return time.Since(start) + time.Second },
		budget.New(budget.Options{Ratio: 0.2, Slack: repeats, Window: 10 * time.Second, VMs: 1}))
	d.SetTable(routes.New(1, routes.Limits{}, []routes.Route{route}, []routes.Service{{Name: "llm", Engine: engine}}, nil))
	var list []backends.Server
	for i, from := range []int{0, 0, 40, 40} {
		server := httptest.NewServer(http.HandlerFunc(r.run))
		t.Cleanup(server.Close)
		list = append(list, backends.Server{
			ID: fmt.Sprint("s", i+1), Service: "llm", Address: strings.TrimPrefix(server.URL, "http://"), DataCentre: "a", Card: "c",
			Holds: []backends.Held{{Layers: api.Layers{From: from, To: from + 40}}},
		})
	}
	d.Fleet(func(now time.Duration, fleet *backends.Fleet) { fleet.Replace(now, list, 1) })
	r.dispatcher, r.list = d, list
	r.engines.stalled = list[2].Address
	// Before the first event a slow machine looks like a silent server.
	r.engines.well.Store(true)
	handler := relay.New(relay.Options{
		Log: funcr.New(r.acted, funcr.Options{}), Wire: platform.Requests{}, Engines: r.engines, Dispatcher: d, DataCentre: "a",
		Proven: func() bool { return true }, Found: r.note, Patience: patience,
	})
	front := httptest.NewServer(handler)
	t.Cleanup(front.Close)
	r.url = front.URL
	return r
}

// note takes a server that was found to be silent. One that is found again and again
// is noted as often as there is place.
func (r *rig) note(id string) {
	select {
	case r.found <- id:
	default:
	}
}

// run refuses if the test says so; else it streams one event, and the rest when the test lets it or on a resumption.
func (r *rig) run(w http.ResponseWriter, request *http.Request) {
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
		case <-r.goOn:
		case <-request.Context().Done():
			return
		}
	}
	_, _ = io.WriteString(w, "id: 2\ndata: x\n\n")
}

func (r *rig) call() string {
	response := r.begin()
	defer response.Body.Close()
	first := make([]byte, len(firstEvent))
	_, err := io.ReadFull(response.Body, first)
	r.Expect(err).NotTo(HaveOccurred())
	r.engines.well.Store(false)
	rest, err := io.ReadAll(response.Body)
	r.Expect(err).NotTo(HaveOccurred())
	return string(first) + string(rest)
}

func (r *rig) begin() *http.Response {
	request, err := http.NewRequest(http.MethodPost, r.url+"/", strings.NewReader("{}"))
	r.Expect(err).NotTo(HaveOccurred())
	request.Host = "a.example"
	request.Header.Set("X-Request-Id", "r1")
	response, err := http.DefaultClient.Do(request)
	r.Expect(err).NotTo(HaveOccurred())
	return response
}

func (r *rig) status() int {
	response := r.begin()
	defer response.Body.Close()
	return response.StatusCode
}

// acted notes that the handler moved or ended an attempt: the servers are well from then
// on, until a caller has the first event of another stream.
func (r *rig) acted(_, line string) {
	for _, event := range []telemetry.Event{telemetry.RelayMoved, telemetry.RelayNotMoved, telemetry.RelayAnswerLost} {
		if strings.Contains(line, fmt.Sprintf(`"event"=%d`, event.Number)) {
			r.engines.well.Store(true)
		}
	}
}

const (
	firstEvent  = "id: 1\ndata: x\n\n"
	wholeAnswer = firstEvent + "id: 2\ndata: x\n\n"
	// patience is long enough that twice of it is longer than a report is used for: one of
	// before the handler acted says nothing of the attempt after it.
	patience = 100 * time.Millisecond
)

// Symptom: callers leave streams that have fallen silent. Sequence: a server inside
// the path dies without a word. Cause: the first server waits for it, and nobody
// asks what for.
func TestAStreamMovesOffASilentServer(t *testing.T) {
	r := newRig(t)
	done := make(chan string, 1)
	go func() { done <- r.call() }()
	var path chain.Path
	r.Eventually(r.engines.moved, "5s").Should(Receive(&path))
	r.Expect(path.String()).To(HaveSuffix("s4[40,80)"))
	r.Eventually(r.found, "5s").Should(Receive(Equal("s3")))
	close(r.goOn)
	r.Eventually(done, "5s").Should(Receive(Equal(wholeAnswer)))
	r.Expect(r.runs).To(Equal([]string{""}), "on the same connection")
}

func TestAStreamThatCantMoveIsResumed(t *testing.T) {
	r := newRig(t)
	r.engines.refuse = true
	r.Expect(r.call()).To(Equal(wholeAnswer))
	r.Expect(r.runs).To(Equal([]string{"", "1"}))
}

// Symptom: streams are taken off healthy servers. Sequence: a request has moved;
// the report is a moment older and names the server that it left. Cause: a name
// that isn't on the path is taken for the first server.
func TestAReportOfAFormerPathBlamesNobody(t *testing.T) {
	r := newRig(t)
	r.engines.stalled, r.engines.queued = "10.0.0.1:1", 1
	done := make(chan string, 1)
	go func() { done <- r.call() }()
	r.Consistently(r.engines.moved, "300ms").ShouldNot(Receive())
	close(r.goOn)
	r.Eventually(done, "5s").Should(Receive(Equal(wholeAnswer)))
	r.Expect(r.runs).To(Equal([]string{""}))
}

// Symptom: thousands of reports are asked for within seconds. Sequence: many streams
// fall silent behind one slow server; each looks every quarter of a second. Cause:
// each asks for itself.
func TestSilentStreamsShareTheirReports(t *testing.T) {
	r := newRig(t)
	r.engines.stalled, r.engines.pace, r.engines.queued = "", 4, 1
	const streams = 20
	done := make(chan string, streams)
	for range streams {
		go func() { done <- r.call() }()
	}
	r.Eventually(r.engines.reports, "5s").Should(BeNumerically(">=", 2), "of a first server, and of another for its pace")
	began := time.Now()
	r.Consistently(func() bool {
		// Two first servers each 150 ms, and four paces a second.
		most := 2*(int(time.Since(began)/(150*time.Millisecond))+2) + 4*(int(time.Since(began)/time.Second)+2)
		return r.engines.reports() <= most
	}, "600ms").Should(BeTrue())
	close(r.goOn)
	for range streams {
		r.Eventually(done, "5s").Should(Receive(Equal(wholeAnswer)))
	}
}

// Symptom: callers leave streams after two seconds of silence though every server
// lives. Sequence: a server runs the request and its answer is lost on the way. Cause:
// the first server waits for nobody, so nothing is done.
func TestAStreamWhoseAnswerIsLostIsResumed(t *testing.T) {
	r := newRig(t)
	r.engines.stalled = ""
	r.Expect(r.call()).To(Equal(wholeAnswer))
	r.Expect(r.runs).To(Equal([]string{"", "1"}))
}

// Symptom: an answer is cut in the middle that its servers would have finished. Sequence:
// a server inside its path is silent for a moment; the request can't be moved; all
// repeats are used up. Cause: the attempt is ended before a repeat is asked for.
func TestAStreamWithoutARepeatIsNotEnded(t *testing.T) {
	r := newRigWith(t, 0, patience)
	r.engines.refuse = true
	done := make(chan string, 1)
	go func() { done <- r.call() }()
	r.Eventually(r.found, "5s").Should(Receive(Equal("s3")))
	r.Consistently(done, "400ms").ShouldNot(Receive())
	close(r.goOn)
	r.Eventually(done, "5s").Should(Receive(Equal(wholeAnswer)))
	r.Expect(r.runs).To(Equal([]string{""}))
}

// Symptom: streams are cut after a loss though there is room again half a second later.
// Sequence: a server inside their path dies; no other one holds its layers until one has
// loaded them. Cause: the attempt is ended though there is no way to go.
func TestAStreamIsResumedOnceThereIsAWay(t *testing.T) {
	r := newRig(t)
	r.engines.refuse = true
	r.dispatcher.Fleet(func(now time.Duration, fleet *backends.Fleet) { fleet.Remove(now, "s4", 2) })
	done := make(chan string, 1)
	go func() { done <- r.call() }()
	r.Eventually(r.found, "5s").Should(Receive(Equal("s3")))
	r.Consistently(done, "400ms").ShouldNot(Receive())
	again := r.list[3]
	again.Revision = 3
	r.dispatcher.Fleet(func(now time.Duration, fleet *backends.Fleet) { fleet.Put(now, again) })
	r.Eventually(done, "5s").Should(Receive(Equal(wholeAnswer)))
	r.Expect(r.runs).To(Equal([]string{"", "1"}))
}

// Symptom: a stream that falls silent isn't looked after. Sequence: the watch's timer fires
// before the goroutine that set it goes on, as on a slow machine. Cause: the watch finds no
// timer to set again. The race detector shows it.
func TestAWatchThatLooksAtOnceLooksAgain(t *testing.T) {
	r := newRigWith(t, 100, time.Nanosecond)
	r.engines.stalled, r.engines.queued = "", 1
	const streams = 20
	done := make(chan string, streams)
	for range streams {
		go func() { done <- r.call() }()
	}
	r.Eventually(r.engines.reports, "5s").Should(BeNumerically(">=", 2))
	close(r.goOn)
	for range streams {
		r.Eventually(done, "5s").Should(Receive(Equal(wholeAnswer)))
	}
}

// Symptom: a server that refused is asked again, or another one is blamed. Sequence: a server
// refuses a request at the moment at which the request is moved, since one inside its path
// is silent. Cause: the move and the refusal write the same list and the same path at once.
// The race detector shows it.
func TestARefusalBesideAMoveIsSafe(t *testing.T) {
	r := newRigWith(t, 1000, time.Nanosecond)
	r.refusing = true
	r.engines.well.Store(false)
	const streams = 20
	statuses := make(chan int, streams)
	for range streams {
		go func() { statuses <- r.status() }()
	}
	for range streams {
		r.Eventually(statuses, "10s").Should(Receive(BeNumerically(">=", 500)))
	}
}
