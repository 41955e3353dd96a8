package edge_test

import (
	"encoding/json"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/core/vmlimits"
	"oleandershunt.example/oleandershunt/internal/edge"
	"oleandershunt.example/oleandershunt/internal/testutil/cutlink"
)

// memoryLimit is a limit whose usage a test sets.
const memoryLimit = 100

// usage is what a VM's measurement returns.
type usage struct {
	memory  atomic.Int64
	silence atomic.Bool
}

// read implements edge.Options.ReadUsage.
func (u *usage) read() vmlimits.Sample {
	for u.silence.Load() {
		time.Sleep(time.Millisecond)
	}
	return vmlimits.Sample{MemoryMB: float64(u.memory.Load())}
}

// limited starts a VM with a limit, whose usage is returned.
func limited(t *testing.T, store *memoryStore, name, seed string, cores float64, changes ...func(*edge.Settings)) (*rig, *usage) {
	u := new(usage)
	t.Cleanup(func() { u.silence.Store(false) })
	vm := &rig{WithT: NewWithT(t), t: t, store: store, storeConn: newStoreConn(store), engines: withoutEngines, readUsage: u.read}
	vm.changes = append([]func(*edge.Settings){func(s *edge.Settings) {
		s.Cores, s.Limits = cores, vmlimits.Limits{MemoryMB: memoryLimit}
	}}, changes...)
	vm.startOnFreePorts(name, seed)
	vm.Eventually(vm.ready, "5s").Should(Equal(http.StatusOK))
	return vm, u
}

// refusal sends a request, and returns the reason if it is refused.
func (r *rig) refusal(path, id string) (reason, execution string, header http.Header) {
	response, err := r.call(path, id)
	r.Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	var body struct{ Reason, Execution string }
	if response.StatusCode == http.StatusServiceUnavailable {
		r.Expect(json.NewDecoder(response.Body).Decode(&body)).To(Succeed())
	}
	header = response.Header.Clone()
	if response.Close {
		header.Set("Connection", "close")
	}
	return body.Reason, body.Execution, header
}

// Guards against requests that a VM at its limit accepts and answers late, against streams that it cuts
// for that, and against refusals after the load has gone.
func TestSaturatedVMRefusesNewRequestsAndFinishesStreams(t *testing.T) {
	store := newMemoryStore()
	store.set("config", "main", table(1))
	r, use := limited(t, store, "vm-1", "", 1)
	goOn := make(chan struct{})
	r.server("s1", func(w http.ResponseWriter, request *http.Request) {
		sign(w, request)
		_, _ = io.WriteString(w, event(1))
		w.(http.Flusher).Flush()
		if request.URL.Path == "/stream/held" {
			<-goOn
		}
		_, _ = io.WriteString(w, event(2))
	})
	held := r.callUntilOK("/stream/held", "r1")
	defer held.Body.Close()

	use.memory.Store(memoryLimit * 95 / 100)
	var header http.Header
	r.Eventually(func() string {
		var reason, execution string
		if reason, execution, header = r.refusal("/stream/a", "r2"); reason != "" {
			r.Expect(execution).To(Equal("not_run"))
		}
		return reason
	}, "5s").Should(Equal("vm_busy"))
	r.Expect(header.Get("Connection")).To(Equal("close"))
	r.Expect(header.Get("Retry-After")).To(MatchRegexp(`^0\.\d{1,3}$`))
	r.Consistently(r.ready, "1s").Should(Equal(http.StatusOK), "the only VM stays in rotation")

	use.memory.Store(memoryLimit / 2)
	r.Eventually(func() int { return r.status("/stream/b", "r3") }, "5s").Should(Equal(http.StatusOK))
	close(goOn)
	body, err := io.ReadAll(held.Body)
	r.Expect(err).NotTo(HaveOccurred())
	r.Expect(string(body)).To(Equal(event(1) + event(2)))
}

// Guards against a VM that refuses all requests since its measurement hangs.
func TestVMWithoutMeasurementServes(t *testing.T) {
	store := newMemoryStore()
	store.set("config", "main", table(1))
	r, use := limited(t, store, "vm-1", "", 1)
	r.server("s1", func(w http.ResponseWriter, request *http.Request) { sign(w, request) })
	r.callUntilOK("/plain/a", "r1").Body.Close()
	use.memory.Store(memoryLimit)
	r.Eventually(func() int { return r.status("/plain/b", "r2") }, "5s").Should(Equal(http.StatusServiceUnavailable))
	use.silence.Store(true)
	r.Eventually(func() int { return r.status("/plain/c", "r3") }, "3s").Should(Equal(http.StatusOK))
}

// Guards against a small VM that keeps getting new connections while it refuses, and against large VMs
// that leave the rotation with it, so that the balancer uses all again.
func TestOnlySmallVMLeavesRotation(t *testing.T) {
	store := newMemoryStore()
	store.set("config", "main", table(1))
	small, smallUse := limited(t, store, "vm-1", "", 0.2)
	middle, middleUse := limited(t, store, "vm-2", small.settings.PeerAddress, 0.4)
	large, largeUse := limited(t, store, "vm-3", small.settings.PeerAddress, 0.8)
	small.server("s1", func(w http.ResponseWriter, request *http.Request) { sign(w, request) })
	large.callUntilOK("/plain/a", "r1").Body.Close()
	for _, use := range []*usage{smallUse, middleUse, largeUse} {
		use.memory.Store(memoryLimit)
	}
	for _, vm := range []*rig{middle, large} {
		vm.Eventually(func() int { return vm.status("/plain/b", "r2") }, "5s").Should(Equal(http.StatusServiceUnavailable))
	}
	small.Eventually(small.ready, "10s").Should(Equal(http.StatusServiceUnavailable))
	large.Consistently(func() []int { return []int{middle.ready(), large.ready()} }, "1s").Should(Equal([]int{http.StatusOK, http.StatusOK}))
	middleUse.memory.Store(0)
	largeUse.memory.Store(0)
	large.Eventually(func() int { return large.status("/plain/c", "r3") }, "5s").Should(Equal(http.StatusOK), "the large VM takes over")
	smallUse.memory.Store(0)
	small.Eventually(small.ready, "10s").Should(Equal(http.StatusOK))
}

// Guards against a link limit that is compared with nothing: the bytes of responses are measured on the
// connections of callers.
func TestBytesToCallersSaturateTheLink(t *testing.T) {
	const linkMbps, responseBytes = 4, 100 << 10
	r := newRig(t, table(1), func(s *edge.Settings) { s.Limits = vmlimits.Limits{LinkMbps: linkMbps} })
	r.server("s1", func(w http.ResponseWriter, request *http.Request) {
		sign(w, request)
		_, _ = w.Write(make([]byte, responseBytes))
	})
	r.callUntilOK("/plain/a", "r1").Body.Close()
	r.Eventually(func() string {
		reason, _, _ := r.refusal("/plain/b", "r2")
		return reason
	}, "10s", "1ms").Should(Equal("vm_busy"))
	r.Eventually(func() int { return r.status("/plain/c", "r3") }, "5s", "100ms").Should(Equal(http.StatusOK))
}

// Guards against a VM that has lost its paths to servers and can't serve any more, since the VM in
// between is saturated and ends its tunnels or opens none.
func TestSaturatedVMCarriesTunnels(t *testing.T) {
	store := newMemoryStore()
	store.set("config", "main", table(1))
	between, use := limited(t, store, "vm-1", "", 1)
	link := cutlink.New()
	cut := newLinkedVM(t, "vm-2", store, between.settings.PeerAddress, link)
	between.server("s1", func(w http.ResponseWriter, request *http.Request) { sign(w, request) })
	cut.callUntilOK("/plain/a", "r1").Body.Close()
	use.memory.Store(memoryLimit)
	between.Eventually(func() int { return between.status("/plain/b", "r2") }, "5s").Should(Equal(http.StatusServiceUnavailable))
	link.Set(cutlink.Silent)
	cut.Eventually(func() int { return cut.status("/plain/c", "r3") }, "10s").Should(Equal(http.StatusOK))
	reason, _, _ := between.refusal("/plain/d", "r4")
	between.Expect(reason).To(Equal("vm_busy"))
}
