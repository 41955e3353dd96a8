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

// fragile is two VMs before servers that crash on the body "poison" and come back as
// another process at the same address.
type fragile struct {
	*WithT
	vms   []*relay.Handler
	calls []string // the VMs' URLs
	mu    sync.Mutex
	// processes counts the processes at each server's place, down says that the last
	// one has crashed, and crashes counts all that did.
	processes []int
	down      []bool
	addresses []string
	crashes   int
}

func newFragile(t *testing.T, servers int) *fragile {
	f := &fragile{WithT: NewWithT(t), processes: make([]int, servers), down: make([]bool, servers)}
	for i := range servers {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) { f.run(i, w, request) }))
		t.Cleanup(server.Close)
		f.addresses = append(f.addresses, strings.TrimPrefix(server.URL, "http://"))
	}
	route := routes.Route{Host: "a.example", Prefix: "/", Repeat: routes.Freely, Attempts: 2, Shares: []routes.Share{{Service: "app", Weight: 1}}}
	for range 2 {
		d := relay.NewDispatcher(bootclock.Now, budget.New(budget.Options{Ratio: 0.2, Slack: 100, Window: 10 * time.Second, VMs: 1}))
		d.SetTable(routes.New(1, routes.Limits{}, []routes.Route{route}, []routes.Service{{Name: "app"}}, nil))
		handler := relay.New(relay.Options{
			Log: logr.Discard(), Wire: platform.Requests{}, Dispatcher: d, DataCentre: "a", Proven: func() bool { return true },
		})
		go func() { f.Expect(handler.RunPoison(t.Context())).To(MatchError(t.Context().Err())) }()
		front := httptest.NewServer(handler)
		t.Cleanup(front.Close)
		f.vms, f.calls = append(f.vms, handler), append(f.calls, front.URL)
	}
	f.register()
	return f
}

// register has the crashed servers come back, shows both VMs which processes there are,
// and tells each what the other found.
func (f *fragile) register() {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []backends.Server
	for i, address := range f.addresses {
		if f.down[i] {
			f.processes[i]++
			f.down[i] = false
		}
		list = append(list, backends.Server{ID: fmt.Sprintf("s%d-%d", i, f.processes[i]), Service: "app", Address: address, DataCentre: "a", Slots: 4})
	}
	for i, vm := range f.vms {
		vm.Dispatcher.Fleet(func(now time.Duration, fleet *backends.Fleet) { fleet.Replace(now, list, 1) })
		for _, server := range list {
			vm.Registered(server)
		}
		for _, finding := range vm.Findings() {
			f.vms[1-i].HeardFinding(finding)
		}
	}
}

func (f *fragile) run(place int, w http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	f.Expect(err).NotTo(HaveOccurred())
	if f.crashed(place, string(body)) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Request-Id", request.Header.Get("X-Request-Id"))
	w.Header().Set("X-Response-Seal", "seal")
	_, _ = io.WriteString(w, "done")
}

// crashed tells whether the server at a place is down, or goes down by the body.
func (f *fragile) crashed(place int, body string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if body == "poison" && !f.down[place] {
		f.down[place] = true
		f.crashes++
	}
	return f.down[place]
}

// call returns the answer's status and body.
func (f *fragile) call(vm, id int, body string) (status int, answer string) {
	request, err := http.NewRequest(http.MethodPost, f.calls[vm]+"/path", strings.NewReader(body))
	f.Expect(err).NotTo(HaveOccurred())
	request.Host = "a.example"
	request.Header.Set("X-Request-Id", fmt.Sprint("r", id))
	response, err := http.DefaultClient.Do(request)
	f.Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	f.Expect(err).NotTo(HaveOccurred())
	return response.StatusCode, string(data)
}

// Symptom: servers crash one after the other, for all callers. Sequence: a request
// crashes each server that runs it; its caller sends it again and again, to other VMs
// too. Cause: each attempt is judged by itself.
func TestARequestThatCrashesServersIsRefusedByAllVMs(t *testing.T) {
	f := newFragile(t, 6)
	id := 0
	refused := func(vm int) func() string {
		return func() string {
			id++
			_, answer := f.call(vm, id, "poison")
			f.register()
			return answer
		}
	}
	f.Eventually(refused(0), "10s", "400ms").Should(ContainSubstring("crashes_servers"))
	f.Eventually(refused(1), "10s", "400ms").Should(ContainSubstring("crashes_servers"))
	f.mu.Lock()
	crashes := f.crashes
	f.mu.Unlock()
	f.Expect(crashes).To(BeNumerically("<=", 8), "two crashes and the judgement, which takes two seconds")
	for range 5 {
		f.Expect(refused(0)()).To(ContainSubstring("not_run"))
		f.Expect(refused(1)()).To(ContainSubstring("crashes_servers"))
	}
	f.Expect(f.crashes).To(Equal(crashes))
	status, _ := f.call(0, 1000, "innocent")
	f.Expect(status).To(Equal(http.StatusOK))
}

// Symptom: what everybody asks for is refused after two servers crashed. Sequence: it
// runs on every server at any moment, so it was on both. Cause: that it runs well
// elsewhere isn't held in its favour.
func TestWhatRunsWellElsewhereIsNotHeldAgainst(t *testing.T) {
	f := newFragile(t, 4)
	for round := range 3 {
		f.call(0, round, "poison")
		for i := range 3 {
			f.call(i%2, 100+10*round+i, "popular") // some are lost to the servers that are down
		}
		f.register()
		status, _ := f.call(0, 200+round, "popular")
		f.Expect(status).To(Equal(http.StatusOK))
	}
	f.Consistently(func() int {
		status, _ := f.call(1, 2000, "popular")
		return status
	}, "2s", "100ms").Should(Equal(http.StatusOK))
}
