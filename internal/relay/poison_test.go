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

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/bootclock"
	"oleandershunt.example/oleandershunt/internal/core/backends"
	"oleandershunt.example/oleandershunt/internal/core/budget"
	"oleandershunt.example/oleandershunt/internal/core/routes"
	"oleandershunt.example/oleandershunt/internal/relay"
	"oleandershunt.example/oleandershunt/platform"
)

// crashRig is two VMs and servers that crash on the body "poison" and restart as another
// process at the same address.
type crashRig struct {
	*WithT
	vms  []*relay.Handler
	urls []string // the VMs' URLs
	mu   sync.Mutex
	// processes counts the processes of each server, down marks servers whose last process has
	// crashed, and crashes counts all crashes.
	processes []int
	down      []bool
	addresses []string
	crashes   int
}

func newCrashRig(t *testing.T, servers int) *crashRig {
	r := &crashRig{WithT: NewWithT(t), processes: make([]int, servers), down: make([]bool, servers)}
	for i := range servers {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) { r.serve(i, w, request) }))
		t.Cleanup(server.Close)
		r.addresses = append(r.addresses, strings.TrimPrefix(server.URL, "http://"))
	}
	route := routes.Route{Host: "a.example", Prefix: "/", Repeat: routes.Repeatable, MaxAttempts: 2, Shares: []routes.Share{{Service: "app", Weight: 1}}}
	for range 2 {
		d := relay.NewDispatcher(bootclock.Now, budget.New(budget.Options{Ratio: 0.2, Slack: 100, Window: 10 * time.Second, MinVMs: 1}))
		d.SetTable(routes.New(1, routes.Limits{}, []routes.Route{route}, []routes.Service{{Name: "app"}}, nil))
		handler := relay.New(relay.Options{
			Log: logr.Discard(), Wire: platform.Requests{}, Dispatcher: d, DataCentre: "a", Proven: func() bool { return true },
		})
		go func() { r.Expect(handler.RunPoisonDetection(t.Context())).To(MatchError(t.Context().Err())) }()
		server := httptest.NewServer(handler)
		t.Cleanup(server.Close)
		r.vms, r.urls = append(r.vms, handler), append(r.urls, server.URL)
	}
	r.register()
	return r
}

// register restarts the crashed servers, updates both VMs' server lists and exchanges their
// findings.
func (r *crashRig) register() {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []backends.Server
	for i, address := range r.addresses {
		if r.down[i] {
			r.processes[i]++
			r.down[i] = false
		}
		list = append(list, backends.Server{ID: fmt.Sprintf("s%d-%d", i, r.processes[i]), Service: "app", Address: address, DataCentre: "a", Slots: 4})
	}
	for i, vm := range r.vms {
		vm.Dispatcher.WithFleet(func(now time.Duration, fleet *backends.Fleet) { fleet.Replace(now, list, 1) })
		for _, server := range list {
			vm.ObserveProcess(server)
		}
		for _, finding := range vm.TakeFindings() {
			r.vms[1-i].ReceiveFinding(finding)
		}
	}
}

func (r *crashRig) serve(i int, w http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	r.Expect(err).NotTo(HaveOccurred())
	if r.crashed(i, string(body)) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Request-Id", request.Header.Get("X-Request-Id"))
	w.Header().Set("X-Response-Seal", "seal")
	_, _ = io.WriteString(w, "done")
}

// crashed reports whether a server is down or crashes on the body.
func (r *crashRig) crashed(i int, body string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if body == "poison" && !r.down[i] {
		r.down[i] = true
		r.crashes++
	}
	return r.down[i]
}

// crashCount returns the number of crashes.
func (r *crashRig) crashCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.crashes
}

// call sends a request and returns the response's status and body.
func (r *crashRig) call(vm, id int, body string) (status int, responseBody string) {
	request, err := http.NewRequest(http.MethodPost, r.urls[vm]+"/path", strings.NewReader(body))
	r.Expect(err).NotTo(HaveOccurred())
	request.Host = "a.example"
	request.Header.Set("X-Request-Id", fmt.Sprint("r", id))
	response, err := http.DefaultClient.Do(request)
	r.Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	r.Expect(err).NotTo(HaveOccurred())
	return response.StatusCode, string(data)
}

// Guards against a request that crashes one server after another: its caller retries it on
// several VMs, and each attempt is evaluated separately.
func TestARequestThatCrashesServersIsRefusedByAllVMs(t *testing.T) {
	r := newCrashRig(t, 6)
	id := 0
	call := func(vm int) func() string {
		return func() string {
			id++
			_, body := r.call(vm, id, "poison")
			r.register()
			return body
		}
	}
	r.Eventually(call(0), "10s", "400ms").Should(ContainSubstring("crashes_servers"))
	r.Eventually(call(1), "10s", "400ms").Should(ContainSubstring("crashes_servers"))
	r.mu.Lock()
	crashes := r.crashes
	r.mu.Unlock()
	r.Expect(crashes).To(BeNumerically("<=", 8), "two crashes, and those during the evaluation, which takes two seconds")
	for range 5 {
		r.Expect(call(0)()).To(ContainSubstring("not_run"))
		r.Expect(call(1)()).To(ContainSubstring("crashes_servers"))
	}
	r.Expect(r.crashes).To(Equal(crashes))
	status, _ := r.call(0, 1000, "harmless")
	r.Expect(status).To(Equal(http.StatusOK))
}

// Guards against refusing a popular request after two servers crashed. It is in flight on every
// server at any time, so it was on both; its success elsewhere must clear it.
func TestAPopularRequestIsClearedBySuccess(t *testing.T) {
	r := newCrashRig(t, 4)
	for round := range 3 {
		r.call(0, round, "poison")
		for i := range 3 {
			r.call(i%2, 100+10*round+i, "popular") // some requests fail on the crashed servers
		}
		r.register()
		status, _ := r.call(0, 200+round, "popular")
		r.Expect(status).To(Equal(http.StatusOK))
	}
	r.Consistently(func() int {
		status, _ := r.call(1, 2000, "popular")
		return status
	}, "2s", "100ms").Should(Equal(http.StatusOK))
}

// Guards against a VM that starts and sends on what the others hold back.
func TestAStartedVMLearnsWhatIsHeldBack(t *testing.T) {
	r := newCrashRig(t, 6)
	for id := range 3 {
		r.call(0, id, "poison")
	}
	crashes := r.crashCount()
	r.Expect(crashes).To(BeNumerically(">=", 3))
	for _, finding := range r.vms[0].Findings() {
		r.vms[1].ReceiveFinding(finding)
	}
	request, err := http.NewRequest(http.MethodPost, r.urls[1]+"/path", strings.NewReader("poison"))
	r.Expect(err).NotTo(HaveOccurred())
	request.Host = "a.example"
	request.Header.Set("X-Request-Id", "r-started")
	request.Header.Set("X-Deadline-Ms", "1500") // too short for a trial
	response, err := http.DefaultClient.Do(request)
	r.Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	r.Expect(err).NotTo(HaveOccurred())
	r.Expect(string(body)).To(ContainSubstring("held_back"))
	r.Expect(string(body)).To(ContainSubstring("not_run"))
	r.Expect(r.crashCount()).To(Equal(crashes))
}
