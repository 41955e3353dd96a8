package edge_test

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/core/routes"
	"oleandershunt.example/oleandershunt/internal/edge"
)

// operations makes a VM serve its operations port on a free one.
func operations(t *testing.T) func(*edge.Settings) {
	return func(s *edge.Settings) {
		_, port, err := net.SplitHostPort(freeAddress(t))
		if err != nil {
			t.Fatal(err)
		}
		s.OperationsPort, _ = strconv.Atoi(port)
	}
}

// admission fetches the admission page.
func (r *rig) admission() edge.AdmissionPage {
	response, err := http.Get(fmt.Sprintf("http://127.0.0.1:%d%s", r.settings.OperationsPort, edge.AdmissionPath))
	r.Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	r.Expect(response.StatusCode).To(Equal(http.StatusOK))
	r.Expect(response.Header.Get("Content-Type")).To(Equal("application/json"))
	var page edge.AdmissionPage
	r.Expect(json.NewDecoder(response.Body).Decode(&page)).To(Succeed())
	return page
}

// Guards against operators who can't see which account floods a service: the page shows who exceeds
// its share, what waits and why.
func TestAdmissionPageShowsAFlood(t *testing.T) {
	config := table(1)
	config.Keys = map[string]routes.Account{"key": {Name: "flood"}}
	r := newRig(t, config, operations(t))
	release := make(chan struct{})
	r.server("s1", func(w http.ResponseWriter, request *http.Request) {
		select {
		case <-time.After(50 * time.Millisecond):
		case <-release:
		}
		sign(w, request)
	})
	r.callUntilOK("/plain/a", "r0").Body.Close()
	r.Expect(r.admission().Services[0].OverShare).To(BeEmpty())
	var callers sync.WaitGroup
	stop := make(chan struct{})
	for i := range 40 {
		callers.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(5 * time.Millisecond):
					r.status("/plain/b", fmt.Sprint("r", i, "-", n))
				}
			}
		})
	}
	r.Eventually(func(g Gomega) {
		page := r.admission()
		g.Expect(page.VM).To(Equal("vm-1"))
		service := page.Services[0]
		g.Expect(service.Service).To(Equal("app"))
		g.Expect(service.Queue.Requests).To(BeNumerically(">", 0))
		g.Expect(service.Queue.LastFailure).NotTo(BeEmpty())
		g.Expect(service.OverShare).To(HaveLen(1))
		g.Expect(service.OverShare[0].Account).To(Equal("flood"))
	}, "5s", "20ms").Should(Succeed())
	close(stop)
	close(release)
	callers.Wait()
}

// Guards against operators who can't see that a VM refuses requests for its own limits.
func TestAdmissionPageShowsTheVMsOwnLimits(t *testing.T) {
	store := newMemoryStore()
	store.set("config", "main", table(1))
	r, use := limited(t, store, "vm-1", "", 1, operations(t))
	use.memory.Store(memoryLimit)
	r.Eventually(func() edge.VMLimitsPage { return r.admission().Limits }, "5s").Should(And(
		HaveField("Saturated", true), HaveField("Resource", BeEquivalentTo("memory")),
		HaveField("MemoryMB", BeEquivalentTo(memoryLimit)), HaveField("Usage", HaveKeyWithValue(BeEquivalentTo("memory"), BeEquivalentTo(1))),
	))
}
