package relay_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
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
	"oleandershunt.example/oleandershunt/internal/core/chain"
	"oleandershunt.example/oleandershunt/internal/core/routes"
	"oleandershunt.example/oleandershunt/internal/relay"
	"oleandershunt.example/oleandershunt/platform"
)

// stallTimeout is the silence after which a VM looks for its cause, as in production.
const stallTimeout = 450 * time.Millisecond

// callerPatience is how long a caller waits for its whole answer.
const callerPatience = 6 * time.Second

// silenceRig is a VM before two servers that hold the first layers and two that hold the rest. A stream
// delivers one event; then its servers are silent for a time and send the rest.
type silenceRig struct {
	*WithT
	handler *relay.Handler
	url     string
	engines *engines
	log     *lines
	silence time.Duration
	// refusal is the status with which servers answer resumptions, as not run; 0 if they run them. mute
	// makes them accept resumptions and send nothing.
	refusal int
	mute    bool
	// headOnly makes servers break their responses off after the head.
	headOnly bool

	mu sync.Mutex
	// runs are the IDs of the events after which servers were to go on, by attempt; cancelled counts the
	// attempts that the VM ended.
	runs      []string
	cancelled int
	// path is the path of the first attempt.
	path string
}

func newSilenceRig(t *testing.T, silence time.Duration) *silenceRig {
	r := &silenceRig{
		WithT: NewWithT(t), silence: silence, log: &lines{},
		engines: &engines{moved: make(chan chain.Path, 8), reportCalls: make(map[string]int)},
	}
	engine := &routes.Engine{Layers: 80, LayerMB: 1750, TokenBytes: 918_000, Step: time.Millisecond, TypicalPrompt: 100, TypicalAnswer: 10, Cards: map[string]routes.Card{"c": {MB: 100_000, Pace: 1}}}
	route := routes.Route{
		Host: "a.example", Prefix: "/", Repeat: routes.Resumable, Stream: true, MaxAttempts: 2, TargetLatency: 500 * time.Millisecond,
		Shares: []routes.Share{{Service: "llm", Weight: 1}},
	}
	d := relay.NewDispatcher(bootclock.Now, budget.New(budget.Options{Ratio: 0.2, Slack: 100, Window: 10 * time.Second, MinVMs: 1}))
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
	r.handler = relay.New(relay.Options{
		Log: funcr.New(r.log.add, funcr.Options{}), Wire: platform.Requests{}, Engines: r.engines, Dispatcher: d, DataCentre: "a",
		Proven: func() bool { return true }, StallTimeout: stallTimeout,
	})
	vm := httptest.NewServer(r.handler)
	t.Cleanup(vm.Close)
	r.url = vm.URL
	return r
}

func (r *silenceRig) serve(w http.ResponseWriter, request *http.Request) {
	after := request.Header.Get("Last-Event-Id")
	r.mu.Lock()
	r.runs = append(r.runs, after)
	if after == "" {
		r.path = request.Header.Get("X-Hop-Count")
	}
	r.mu.Unlock()
	w.Header().Set("X-Request-Id", request.Header.Get("X-Request-Id"))
	if after != "" && r.refusal != 0 {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(r.refusal)
		return
	}
	w.Header().Set("X-Response-Seal", "seal")
	if after != "" && r.mute {
		w.(http.Flusher).Flush()
		<-request.Context().Done()
		return
	}
	if r.headOnly {
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	}
	if after == "" {
		_, _ = io.WriteString(w, firstEvent)
		w.(http.Flusher).Flush()
		select {
		case <-time.After(r.silence):
		case <-request.Context().Done():
			r.mu.Lock()
			r.cancelled++
			r.mu.Unlock()
			return
		}
	}
	_, _ = io.WriteString(w, "id: 2\ndata: x\n\n")
}

// call returns the body that the caller gets, with "(cut)" at its end if it isn't complete.
func (r *silenceRig) call() string {
	response, err := r.send()
	r.Expect(err).NotTo(HaveOccurred(), r.log.text())
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return string(body) + "(cut)"
	}
	return string(body)
}

// send sends a request and returns the head of its response.
func (r *silenceRig) send() (*http.Response, error) {
	request, err := http.NewRequest(http.MethodPost, r.url+"/", strings.NewReader("{}"))
	r.Expect(err).NotTo(HaveOccurred())
	request.Host = "a.example"
	request.Header.Set("X-Request-Id", "r1")
	client := &http.Client{Timeout: callerPatience}
	return client.Do(request)
}

// Guards against cutting a stream whose servers are sound but silent for a while, because no other server
// takes it.
func TestAStreamOfSilentServersIsFinishedWhereOthersAreFull(t *testing.T) {
	for _, refusal := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests} {
		for _, silence := range []time.Duration{700 * time.Millisecond, 1200 * time.Millisecond, 3 * time.Second} {
			for _, waits := range []bool{false, true} {
				t.Run(fmt.Sprint(refusal, silence, waits), func(t *testing.T) {
					t.Parallel()
					r := newSilenceRig(t, silence)
					r.refusal = refusal
					r.engines.refuse = true
					if waits {
						r.engines.stalled = r.serverAt(2)
					}
					r.Expect(r.call()).To(Equal(completeBody), r.log.text())
				})
			}
		}
	}
}

// Guards against a log that fills up while streams are silent, as the same is found out again and again.
func TestASilentStreamLogsEachFindingOnce(t *testing.T) {
	r := newSilenceRig(t, 3*time.Second)
	r.refusal, r.engines.refuse = http.StatusServiceUnavailable, true
	r.engines.stalled = r.serverAt(2)
	r.Expect(r.call()).To(Equal(completeBody), r.log.text())
	for _, event := range []string{"4206", "4209", "4211", "4212", "4221", "4235"} {
		lines := strings.Count(r.log.text(), `"event"=`+event+" ")
		r.Expect(lines).To(BeNumerically("<=", 1), "event %s: %s", event, r.log.text())
	}
	r.Expect(r.log.text()).To(ContainSubstring(`"event"=4235 `))
}

// Guards against cutting a stream whose servers are sound but silent, because the server that was to go on
// with it is silent, too.
func TestAStreamOfSilentServersIsFinishedWhereAnotherIsMute(t *testing.T) {
	r := newSilenceRig(t, 1700*time.Millisecond)
	r.mute = true
	r.Expect(r.call()).To(Equal(completeBody), r.log.text())
}

// Guards against cutting streams whose servers work, on another VM's word that one of them doesn't respond.
func TestAStreamThatWorksIsFinishedWhateverOtherVMsSay(t *testing.T) {
	r := newSilenceRig(t, 300*time.Millisecond)
	r.refusal, r.engines.refuse = http.StatusServiceUnavailable, true
	done := make(chan string, 1)
	go func() { done <- r.call() }()
	r.Eventually(r.firstPath, "5s").ShouldNot(BeEmpty())
	time.Sleep(50 * time.Millisecond) // the first event has been delivered
	for i := range 2 {
		if inner := 2 + i; strings.Contains(r.firstPath(), r.serverAt(inner)) {
			r.handler.MarkUnresponsive(fmt.Sprint("s", inner+1), true)
		}
	}
	r.Eventually(done, "5s").Should(Receive(Equal(completeBody)), r.log.text)
}

// Guards against answering a caller later than needed: a server that takes the stream over goes on with it
// at once, and the silent one is told to stop.
func TestAStreamOfSilentServersIsTakenOver(t *testing.T) {
	r := newSilenceRig(t, time.Minute)
	r.Expect(r.call()).To(Equal(completeBody), r.log.text())
	r.Expect(r.runs).To(Equal([]string{"", "1"}))
	r.Eventually(func() int {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.cancelled
	}, "5s").Should(Equal(1))
}

// Guards against closing a caller's connection without an answer: a stream whose servers broke off after the
// head of their responses, before any event.
func TestAStreamWithoutAnEventIsRefusedWhenItsServersBreakOff(t *testing.T) {
	r := newSilenceRig(t, 0)
	r.headOnly = true
	response, err := r.send()
	r.Expect(err).NotTo(HaveOccurred(), r.log.text())
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	r.Expect(err).NotTo(HaveOccurred())
	r.Expect(response.StatusCode).To(Equal(http.StatusBadGateway))
	r.Expect(response.Header.Get("X-Response-Seal")).To(BeEmpty())
	r.Expect(string(body)).To(ContainSubstring(`"may_have_run"`))
}

func (r *silenceRig) firstPath() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.path
}

// serverAt returns the address of a server, counted from 0.
func (r *silenceRig) serverAt(i int) string {
	var address string
	r.handler.Dispatcher.WithFleet(func(_ time.Duration, fleet *backends.Fleet) {
		server, _ := fleet.Server(fmt.Sprint("s", i+1))
		address = server.Address
	})
	return address
}
