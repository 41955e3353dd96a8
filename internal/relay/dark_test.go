package relay_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/api"
	"oleandershunt.example/oleandershunt/internal/bootclock"
	"oleandershunt.example/oleandershunt/internal/core/backends"
	"oleandershunt.example/oleandershunt/internal/core/backpressure"
	"oleandershunt.example/oleandershunt/internal/core/budget"
	"oleandershunt.example/oleandershunt/internal/core/chain"
	"oleandershunt.example/oleandershunt/internal/core/routes"
	"oleandershunt.example/oleandershunt/internal/relay"
	"oleandershunt.example/oleandershunt/internal/serverconn"
	"oleandershunt.example/oleandershunt/internal/wire"
	"oleandershunt.example/oleandershunt/platform"
)

// darkRig is a VM before model servers that hold all layers. Each one that gets a request with a certain
// path goes dark: new connections to it hang, and open ones are silent.
type darkRig struct {
	*WithT
	url        string
	log        *lines
	dispatcher *relay.Dispatcher
	ids        map[string]string // by address

	mu   sync.Mutex
	dark map[string]bool
	// crashed lists the servers that went dark, and holding those that hold a request.
	crashed, holding []string
}

// rackServers is the number of servers that go dark together.
const rackServers = 3

func newDarkRig(t *testing.T) *darkRig {
	const servers = 24
	r := &darkRig{WithT: NewWithT(t), log: &lines{}, ids: make(map[string]string), dark: make(map[string]bool)}
	engine := &routes.Engine{Layers: 80, LayerMB: 100, TokenBytes: 918_000, Step: time.Millisecond, TypicalPrompt: 100, TypicalAnswer: 10, Cards: map[string]routes.Card{"c": {MB: 100_000, Pace: 1}}}
	d := relay.NewDispatcher(bootclock.Now, budget.New(budget.Options{Ratio: 0.2, Slack: 100, Window: 10 * time.Second, MinVMs: 1}))
	route := routes.Route{
		Host: "a.example", Prefix: "/", Repeat: routes.Resumable, Stream: true, MaxAttempts: 2, TargetLatency: 500 * time.Millisecond,
		Shares: []routes.Share{{Service: "llm", Weight: 1}},
	}
	d.SetTable(routes.New(1, routes.Limits{}, []routes.Route{route}, []routes.Service{{Name: "llm", Engine: engine}}, nil))
	var list []backends.Server
	for i := range servers {
		server := httptest.NewServer(http.HandlerFunc(r.serve))
		t.Cleanup(server.Close)
		address := strings.TrimPrefix(server.URL, "http://")
		r.ids[address] = fmt.Sprint("s", i+1)
		list = append(list, backends.Server{
			ID: r.ids[address], Service: "llm", Address: address, DataCentre: "a", Card: "c",
			LayerRanges: []backends.LayerRange{{Layers: api.Layers{To: 80}}},
		})
	}
	d.WithFleet(func(now time.Duration, fleet *backends.Fleet) { fleet.Replace(now, list, 1) })
	r.dispatcher = d
	connector := serverconn.New(serverconn.Options{Log: logr.Discard(), Dial: r.dial, Now: bootclock.Now, Service: d.ServiceAt})
	go func() { _ = connector.Run(t.Context()) }()
	for address := range r.ids { // the paths are known by other requests
		conn, err := connector.DialDirect(t.Context(), "tcp", address)
		r.Expect(err).NotTo(HaveOccurred())
		r.Expect(conn.Close()).To(Succeed())
	}
	vm := httptest.NewServer(relay.New(relay.Options{
		Log: funcr.New(r.log.add, funcr.Options{}), Wire: platform.Requests{}, Engines: r, Dispatcher: d, DataCentre: "a",
		Proven: func() bool { return true }, StallTimeout: 100 * time.Millisecond, Servers: connector,
	}))
	t.Cleanup(vm.Close)
	r.url = vm.URL
	return r
}

func (r *darkRig) isDark(address string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dark[address]
}

func (r *darkRig) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if r.isDark(address) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return wire.Dial(ctx, network, address)
}

// Report implements relay.Engines.
func (r *darkRig) Report(_ context.Context, address string) (relay.Report, error) {
	if r.isDark(address) {
		return relay.Report{}, errors.New("no response")
	}
	return relay.Report{Pace: 1, Queued: 1}, nil
}

// Place implements relay.Engines.
func (r *darkRig) Place(context.Context, string, string, relay.Order) (backpressure.Signals, error) {
	return backpressure.Signals{}, nil
}

// Repath implements relay.Engines.
func (r *darkRig) Repath(context.Context, string, string, string, chain.Path) (backpressure.Signals, error) {
	return backpressure.Signals{}, errors.New("no capacity")
}

func (r *darkRig) serve(w http.ResponseWriter, request *http.Request) {
	_, _ = io.Copy(io.Discard, request.Body) // otherwise a closed connection isn't noticed
	w.Header().Set("X-Request-Id", request.Header.Get("X-Request-Id"))
	w.Header().Set("X-Response-Seal", "seal")
	if strings.HasPrefix(request.URL.Path, "/crash") {
		address := request.Context().Value(http.LocalAddrContextKey).(net.Addr).String()
		r.mu.Lock()
		r.dark[address] = true
		r.crashed = append(r.crashed, address)
		r.mu.Unlock()
		w.WriteHeader(http.StatusOK)
		w.(http.Flusher).Flush()
		<-request.Context().Done()
		return
	}
	if strings.HasPrefix(request.URL.Path, "/held") && r.hold(request) {
		<-request.Context().Done()
		return
	}
	_, _ = io.WriteString(w, eventOne)
}

// hold makes the server of a request run it without an event, for the first few servers.
func (r *darkRig) hold(request *http.Request) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.holding) == rackServers {
		return false
	}
	r.holding = append(r.holding, request.Context().Value(http.LocalAddrContextKey).(net.Addr).String())
	return true
}

// loseRack makes the servers that hold a request go dark.
func (r *darkRig) loseRack() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, address := range r.holding {
		r.dark[address] = true
	}
	r.crashed = append(r.crashed, r.holding...)
}

func (r *darkRig) held() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.holding)
}

// expire removes the entries of the servers that are dark.
func (r *darkRig) expire() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dispatcher.WithFleet(func(now time.Duration, fleet *backends.Fleet) {
		for _, address := range r.crashed {
			fleet.Remove(now, r.ids[address], 2)
		}
	})
}

func (r *darkRig) crashes() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.crashed)
}

// send returns the status of a request whose caller leaves after a time; 0 if there is none. parts are the
// shared parts of its prompt.
func (r *darkRig) send(path string, parts ...string) int {
	request, err := http.NewRequest(http.MethodPost, r.url+path, strings.NewReader("{}"))
	r.Expect(err).NotTo(HaveOccurred())
	request.Host = "a.example"
	request.Header.Set("X-Request-Id", "r1")
	if len(parts) > 0 {
		request.Header.Set("X-Prefix-Hash", strings.Join(append(parts, "1"), ","))
	}
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body) // it ends with the caller's patience
	return response.StatusCode
}

// Guards against a request under which servers go dark, without a closed connection, and that takes further
// ones each time that it comes.
func TestARequestUnderWhichServersGoDarkIsRefused(t *testing.T) {
	r := newDarkRig(t)
	r.Expect(r.send("/sound")).To(Equal(http.StatusOK))
	for range 7 {
		r.send("/crash")
		r.expire()
		r.Expect(r.send("/sound")).To(Equal(http.StatusOK), r.log.text())
	}
	r.Expect(r.crashes()).To(BeNumerically("<=", 5), "three, and trials")
	r.Expect(r.send("/crash")).To(Equal(http.StatusServiceUnavailable), r.log.text())
}

// Guards against refusing a sound request for long since servers that ran it went dark together.
func TestARequestOnARackThatGoesDarkIsServed(t *testing.T) {
	r := newDarkRig(t)
	statuses := make(chan int, rackServers)
	for i := range rackServers {
		go func() { statuses <- r.send("/held") }()
		r.Eventually(r.held, "5s").Should(Equal(i + 1))
	}
	r.loseRack()
	for range rackServers {
		r.Eventually(statuses, "5s").Should(Receive())
	}
	r.expire()
	r.Eventually(func() int { return r.send("/held") }, "4s").Should(Equal(http.StatusOK), r.log.text)
}

// Guards against refusing everybody because of a part that all prompts begin with, since trials of other
// contents were lost whose prompts begin with it, too.
func TestLostTrialsOfOthersDoNotBlockAPartThatAllShare(t *testing.T) {
	r := newDarkRig(t)
	r.Expect(r.send("/sound", "5a")).To(Equal(http.StatusOK))
	trials := func() int { return strings.Count(r.log.text(), `"event"=4226`) }
	for _, part := range []string{"d1", "d2"} {
		before := trials()
		for i := 0; trials() == before; i++ {
			r.Expect(i).To(BeNumerically("<", 6), "no trial of %s: %s", part, r.log.text())
			r.send(fmt.Sprint("/crash", part, i), "5a", part)
			r.expire()
		}
	}
	r.Expect(r.send("/sound", "5a")).To(Equal(http.StatusOK), r.log.text())
}
