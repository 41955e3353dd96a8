package edge_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/api"
	"oleandershunt.example/oleandershunt/internal/core/backends"
	"oleandershunt.example/oleandershunt/internal/core/routes"
	"oleandershunt.example/oleandershunt/internal/edge"
	"oleandershunt.example/oleandershunt/internal/testutil/cutlink"
)

const (
	// contactTime is the time after a cut from which on a VM must serve like the others.
	contactTime = 3 * time.Second
	// streamEvents is the number of events of a stream, and eventInterval the time between two.
	streamEvents  = 60
	eventInterval = 20 * time.Millisecond
)

// cutoffRig is VMs, each with its own path to the same backend servers.
type cutoffRig struct {
	*WithT
	t     *testing.T
	store *memoryStore
	vms   []*rig
	links []*cutlink.Link
	// held are the requests that servers leave without a response until release is closed.
	held    atomic.Int32
	release chan struct{}
	// pausedUntil is when the servers respond again, in Unix nanoseconds.
	pausedUntil atomic.Int64

	mu sync.Mutex
	// runs counts the runs of each request by its ID, and timeouts holds their remaining times.
	runs     map[string]int
	timeouts map[string]time.Duration
}

// newCutoffRig starts a VM in each data centre given, two plain servers and two model servers.
func newCutoffRig(t *testing.T, dataCentres ...string) *cutoffRig {
	r := newEmptyCutoffRig(t, dataCentres...)
	for i := range 2 {
		r.server(fmt.Sprint("app-", i), backends.Server{Service: "app"})
		r.server(fmt.Sprint("llm-", i), modelServer())
	}
	r.awaitServing()
	return r
}

// newEmptyCutoffRig starts the VMs without servers.
func newEmptyCutoffRig(t *testing.T, dataCentres ...string) *cutoffRig {
	r := &cutoffRig{WithT: NewWithT(t), t: t, store: newMemoryStore(), runs: make(map[string]int), timeouts: make(map[string]time.Duration), release: make(chan struct{})}
	r.store.set("config", "main", cutoffTable())
	seed := ""
	for i, dataCentre := range dataCentres {
		link := cutlink.New()
		vm := newLinkedVM(t, fmt.Sprint("vm-", i+1), r.store, seed, link, func(s *edge.Settings) { s.DataCentre, s.FirstStart = dataCentre, true })
		if seed == "" {
			seed = vm.settings.PeerAddress
		}
		r.vms, r.links = append(r.vms, vm), append(r.links, link)
	}
	return r
}

// cutoffTable is a configuration with a plain service and a model.
func cutoffTable() tableValue {
	stream := route("/stream/", routes.Resumable, true)
	stream.TargetLatency, stream.Timeout = 500*time.Millisecond, 20*time.Second
	stream.Shares = []routes.Share{{Service: "llm", Weight: 1}}
	engine := &routes.Engine{Layers: 80, LayerMB: 1750, TokenBytes: 918_000, Step: time.Millisecond, TypicalPrompt: 100, TypicalAnswer: 10, Cards: map[string]routes.Card{"c": {MB: 200_000, Pace: 1}}}
	return tableValue{
		Version:  1,
		Routes:   []routes.Route{route("/plain/", routes.Repeatable, false), route("/once/", routes.AtMostOnce, false), stream},
		Keys:     map[string]routes.Account{"key": {Name: "account"}},
		Services: []routes.Service{{Name: "app"}, {Name: "llm", Engine: engine}},
	}
}

func modelServer() backends.Server {
	return backends.Server{Service: "llm", Card: "c", LayerRanges: []backends.LayerRange{{Layers: api.Layers{To: 80}}}}
}

// newLinkedVM starts a VM that reaches servers over a link.
func newLinkedVM(t *testing.T, name string, store *memoryStore, seed string, link *cutlink.Link, changes ...func(*edge.Settings)) *rig {
	r := &rig{WithT: NewWithT(t), t: t, store: store, storeConn: newStoreConn(store), changes: changes, engines: newHTTPEngines, dial: link.Dial}
	r.startOnFreePorts(name, seed)
	return r
}

// server starts a backend server and registers it.
func (r *cutoffRig) server(id string, entry backends.Server) *httptest.Server {
	server := httptest.NewServer(http.HandlerFunc(r.serve))
	r.t.Cleanup(server.Close)
	entry.Address, entry.DataCentre, entry.Slots = strings.TrimPrefix(server.URL, "http://"), "a", 64
	r.store.set("servers", id, entry)
	return server
}

// serve responds as a backend server: with a stream, after a delay that the path names, or at once.
func (r *cutoffRig) serve(w http.ResponseWriter, request *http.Request) {
	time.Sleep(time.Until(time.Unix(0, r.pausedUntil.Load())))
	if request.URL.Path == "/report" {
		return
	}
	r.record(request)
	sign(w, request)
	switch {
	case strings.HasPrefix(request.URL.Path, "/stream/"):
		r.stream(w, request)
	case strings.HasSuffix(request.URL.Path, "/held"):
		r.held.Add(1)
		<-r.release
	case strings.HasSuffix(request.URL.Path, "/slow"):
		r.held.Add(1)
		time.Sleep(time.Second)
	}
}

// record records a run.
func (r *cutoffRig) record(request *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	id := request.Header.Get("X-Request-Id")
	r.runs[id]++
	milliseconds, _ := strconv.Atoi(request.Header.Get("X-Deadline-Ms")) // 0 without the header
	r.timeouts[id] = time.Duration(milliseconds) * time.Millisecond
}

// stream sends the events after the last one that the caller has.
func (r *cutoffRig) stream(w http.ResponseWriter, request *http.Request) {
	after, _ := strconv.Atoi(request.Header.Get("Last-Event-Id")) // 0 without the header
	for id := after + 1; id <= streamEvents; id++ {
		time.Sleep(max(eventInterval, time.Until(time.Unix(0, r.pausedUntil.Load()))))
		if _, err := io.WriteString(w, event(id)); err != nil {
			return
		}
		w.(http.Flusher).Flush()
	}
}

// awaitServing waits until each VM serves each kind of request.
func (r *cutoffRig) awaitServing() {
	for i, vm := range r.vms {
		for _, path := range kindsOfRequests {
			r.Expect(vm.callUntilOK(path, fmt.Sprint("warm-", i, path)).Body.Close()).To(Succeed())
		}
	}
}

var kindsOfRequests = []string{"/plain/a", "/once/a", "/stream/a"}

// firstAttempts sends requests of each kind to a VM at the same time, as callers that try once,
// and returns the number of each status.
func (r *cutoffRig) firstAttempts(vm *rig, name string, perKind int) map[int]int {
	var calls sync.WaitGroup
	statuses := make([]int, perKind*len(kindsOfRequests))
	for i := range statuses {
		calls.Go(func() { statuses[i] = vm.status(kindsOfRequests[i%len(kindsOfRequests)], fmt.Sprint(name, i)) })
		time.Sleep(5 * time.Millisecond)
	}
	calls.Wait()
	counts := make(map[int]int)
	for _, status := range statuses {
		counts[status]++
	}
	return counts
}

// trafficFor sends requests to the VMs for a time, so that they notice what happens to their paths.
func (r *cutoffRig) trafficFor(span time.Duration, vms ...*rig) {
	end := time.Now().Add(span)
	for i := 0; time.Now().Before(end); i++ {
		for _, vm := range vms {
			go vm.status(kindsOfRequests[i%len(kindsOfRequests)], fmt.Sprint("traffic-", vm.settings.VM, i))
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// runsOf returns how often servers ran a request.
func (r *cutoffRig) runsOf(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}

const attemptsPerKind = 10

// Guards against refusing callers at a VM that has lost all its paths to servers while other VMs
// reach them.
func TestVMCutOffFromServersServesFirstAttempts(t *testing.T) {
	for _, state := range cutlink.Cuts {
		t.Run(string(state), func(t *testing.T) {
			t.Parallel()
			r := newCutoffRig(t, "a", "a", "a")
			r.links[0].Set(state)
			r.trafficFor(contactTime, r.vms[0])
			r.Expect(r.firstAttempts(r.vms[0], "first-", attemptsPerKind)).To(Equal(map[int]int{http.StatusOK: attemptsPerKind * len(kindsOfRequests)}))
		})
	}
}

// Guards against refusing callers of a data centre all of whose VMs have lost their servers, while
// VMs of another data centre reach them.
func TestDataCentreCutOffFromServersServesFirstAttempts(t *testing.T) {
	for _, state := range cutlink.Cuts {
		t.Run(string(state), func(t *testing.T) {
			t.Parallel()
			r := newCutoffRig(t, "a", "a", "b")
			r.links[0].Set(state)
			r.links[1].Set(state)
			r.trafficFor(contactTime, r.vms[0], r.vms[1])
			for _, vm := range r.vms[:2] {
				r.Expect(r.firstAttempts(vm, "first-"+vm.settings.VM, attemptsPerKind)).To(Equal(map[int]int{http.StatusOK: attemptsPerKind * len(kindsOfRequests)}))
			}
		})
	}
}

// Guards against cutting streams in progress when their VM loses its servers.
func TestStreamsInProgressGoOnWhenTheirVMIsCutOff(t *testing.T) {
	for _, state := range cutlink.Cuts {
		t.Run(string(state), func(t *testing.T) {
			t.Parallel()
			r := newCutoffRig(t, "a", "a")
			var streams sync.WaitGroup
			bodies := make([]string, 6)
			for i := range bodies {
				streams.Go(func() { bodies[i] = r.readStream(r.vms[0], fmt.Sprint("stream-", i)) })
			}
			time.Sleep(streamEvents / 3 * eventInterval)
			r.links[0].Set(state)
			streams.Wait()
			for _, body := range bodies {
				r.Expect(body).To(Equal(wholeStream()))
			}
		})
	}
}

// readStream reads a stream's whole response.
func (r *cutoffRig) readStream(vm *rig, id string) string {
	response, err := vm.call("/stream/a", id)
	if err != nil {
		return err.Error()
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return string(body) + err.Error()
	}
	return string(body)
}

func wholeStream() string {
	var all strings.Builder
	for id := 1; id <= streamEvents; id++ {
		all.WriteString(event(id))
	}
	return all.String()
}

// Guards against holding requests that no VM can serve, since all have lost the servers.
func TestRequestsAreRefusedAtOnceWhenAllVMsAreCutOff(t *testing.T) {
	// Where only new connections are refused, open ones go on serving.
	for _, state := range []cutlink.State{cutlink.Silent, cutlink.Reset} {
		t.Run(string(state), func(t *testing.T) {
			t.Parallel()
			r := newCutoffRig(t, "a", "b")
			r.setLinks(state)
			r.trafficFor(contactTime, r.vms...)
			for _, path := range kindsOfRequests {
				r.expectRefusedAtOnce(path)
			}
			r.setLinks(cutlink.Up)
			for _, vm := range r.vms {
				r.Eventually(func() int { return vm.status("/once/a", "back") }, "1s", "20ms").Should(Equal(http.StatusOK))
			}
		})
	}
}

// Guards against giving up open connections that work because no VM can open new ones.
func TestOpenConnectionsAreUsedWhileNewOnesAreRefusedEverywhere(t *testing.T) {
	t.Parallel()
	r := newCutoffRig(t, "a", "a")
	r.setLinks(cutlink.Refused)
	for i := range 20 {
		r.Expect(r.vms[0].status("/plain/a", fmt.Sprint("open-", i))).To(Equal(http.StatusOK))
		r.Expect(r.vms[0].status("/once/a", fmt.Sprint("new-", i))).To(Equal(http.StatusServiceUnavailable))
	}
}

// setLinks sets the state of all VMs' links.
func (r *cutoffRig) setLinks(state cutlink.State) {
	for _, link := range r.links {
		link.Set(state)
	}
}

// expectRefusedAtOnce expects that the fastest refusal of several takes no time. A busy machine may
// delay single ones.
func (r *cutoffRig) expectRefusedAtOnce(path string) {
	const atOnce, tries = 100 * time.Millisecond, 4
	fastest := time.Hour
	for try := range tries {
		fastest = min(fastest, r.timeToRefusal(r.vms[try%2], path, fmt.Sprint("last-", path, try)))
	}
	r.Expect(fastest).To(BeNumerically("<", atOnce), path)
}

// timeToRefusal sends a request that must be refused as not run, and returns how long that took.
func (r *cutoffRig) timeToRefusal(vm *rig, path, id string) time.Duration {
	start := time.Now()
	response, err := vm.call(path, id)
	r.Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	took := time.Since(start)
	var refused struct{ Execution string }
	r.Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
	r.Expect(json.NewDecoder(response.Body).Decode(&refused)).To(Succeed())
	r.Expect(refused.Execution).To(Equal("not_run"))
	return took
}

// Guards against blocking a body on all VMs because one VM lost its connections to several servers
// that were running it.
func TestLostLinksDoNotBlockABody(t *testing.T) {
	r := newEmptyCutoffRig(t, "a", "a")
	const servers = 4
	for i := range servers {
		r.server(fmt.Sprint("app-", i), backends.Server{Service: "app"})
	}
	r.Expect(r.vms[0].callUntilOK("/plain/a", "warm-1").Body.Close()).To(Succeed())
	r.Expect(r.vms[1].callUntilOK("/plain/a", "warm-2").Body.Close()).To(Succeed())
	statuses := make(chan int, servers)
	for i := range servers {
		go func() { statuses <- r.vms[0].status("/plain/held", fmt.Sprint("held-", i)) }()
	}
	r.Eventually(r.held.Load, "2s").Should(BeEquivalentTo(servers))
	r.links[0].Set(cutlink.Reset)
	close(r.release)
	for range servers {
		r.Expect(<-statuses).To(Equal(http.StatusOK), "it is sent again through the other VM")
	}
	const evaluated = 3 * time.Second
	time.Sleep(evaluated)
	for i, vm := range []*rig{r.vms[1], r.vms[0]} {
		r.Expect(vm.status("/plain/held", fmt.Sprint("later-", i))).To(Equal(http.StatusOK), vm.settings.VM)
	}
}

// Guards against treating the only server as lost for seconds because it fell silent for one.
func TestServerThatFallsSilentForASecondGetsRequestsAgain(t *testing.T) {
	r := newEmptyCutoffRig(t, "a")
	r.server("llm-0", modelServer())
	r.Expect(r.vms[0].callUntilOK("/stream/a", "warm").Body.Close()).To(Succeed())
	body := make(chan string)
	go func() { body <- r.readStream(r.vms[0], "stream") }()
	time.Sleep(streamEvents / 3 * eventInterval)
	const silence = 1200 * time.Millisecond
	r.pausedUntil.Store(time.Now().Add(silence).UnixNano())
	time.Sleep(silence)
	r.Eventually(func() int { return r.vms[0].status("/stream/a", "after") }, "600ms", "50ms").Should(Equal(http.StatusOK))
	r.Expect(<-body).To(Equal(wholeStream()))
}

// Guards against running a request twice, or cutting it, when the VM in between stops as planned.
func TestAtMostOnceRequestOutlivesThePlannedStopOfTheVMInBetween(t *testing.T) {
	t.Parallel()
	r := newCutoffRig(t, "a", "a")
	r.links[0].Set(cutlink.Silent)
	r.trafficFor(time.Second, r.vms[0])
	status := make(chan int)
	go func() { status <- r.vms[0].status("/once/slow", "stopped") }()
	r.Eventually(r.held.Load, "2s").Should(BeEquivalentTo(1))
	r.vms[1].stop()
	r.Expect(<-status).To(Equal(http.StatusOK))
	r.Expect(r.runsOf("stopped")).To(Equal(1))
}

// Guards against going on through other VMs once the direct paths work again.
func TestDirectPathsAreUsedAgain(t *testing.T) {
	for _, state := range cutlink.Cuts {
		t.Run(string(state), func(t *testing.T) {
			t.Parallel()
			r := newCutoffRig(t, "a", "a")
			r.links[0].Set(state)
			r.trafficFor(time.Second, r.vms[0])
			r.links[0].Set(cutlink.Up)
			passesOther := func() bool {
				before := r.links[1].Opened()
				for range 4 { // each server gets some
					r.Expect(r.vms[0].status("/once/a", "again")).To(Equal(http.StatusOK))
				}
				return r.links[1].Opened() > before
			}
			r.Eventually(passesOther, "1s", "20ms").Should(BeFalse())
			r.Consistently(passesOther, "500ms", "20ms").Should(BeFalse())
		})
	}
}

// Guards against handing a server the whole time of the caller after a part of it was spent on the
// direct path.
func TestTimeSpentOnALostPathIsTakenOffTheDeadline(t *testing.T) {
	t.Parallel()
	r := newCutoffRig(t, "a", "a")
	r.links[0].Set(cutlink.Silent)
	const limit, spent = 3 * time.Second, 100 * time.Millisecond
	request, err := http.NewRequest(http.MethodGet, "http://"+r.vms[0].settings.CallerAddress+"/once/a", nil)
	r.Expect(err).NotTo(HaveOccurred())
	request.Host = "app.example"
	request.Header.Set("X-Request-Id", "timed")
	request.Header.Set("X-Api-Key", "key")
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(limit.Milliseconds(), 10))
	response, err := http.DefaultClient.Do(request)
	r.Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	r.Expect(response.StatusCode).To(Equal(http.StatusOK))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Expect(r.timeouts["timed"]).To(BeNumerically("<=", limit-spent))
}

// Guards against using a server's rate twice: by the VM that sends through another one, and by that
// one.
func TestServerRateLimitHoldsThroughOtherVMs(t *testing.T) {
	t.Parallel()
	r := newEmptyCutoffRig(t, "a", "a", "a")
	limited := &limitedServer{perSecond: 4}
	r.vms[0].server("limited", limited.ServeHTTP)
	free := r.vms[0].server("free", ok)
	r.store.set("servers", "free", backends.Server{Service: "app", Address: free.Listener.Addr().String(), DataCentre: "b", Slots: 4})
	for _, vm := range r.vms {
		r.Expect(vm.callUntilOK("/plain/a", "r0").Body.Close()).To(Succeed())
	}
	r.links[0].Set(cutlink.Silent)
	const contact, span, every = 3 * time.Second, 4 * time.Second, 100 * time.Millisecond
	var callers sync.WaitGroup
	for _, vm := range r.vms {
		callers.Go(func() {
			for sent := range int((contact + 2*span) / every) {
				vm.status("/once/a", fmt.Sprint("r", sent))
				time.Sleep(every)
			}
		})
	}
	callers.Wait()
	r.Expect(limited.maxWithin(span, contact)).To(BeNumerically("<=", 1.5*span.Seconds()*limited.perSecond+5))
	r.Expect(limited.maxWithin(span, contact)).To(BeNumerically(">=", span.Seconds()*limited.perSecond/4), "the limited server is still used")
}
