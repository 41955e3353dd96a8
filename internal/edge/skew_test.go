package edge_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/core/backends"
	"oleandershunt.example/oleandershunt/internal/edge"
)

// skewRig is nine VMs in three data centres before servers that set a request rate.
type skewRig struct {
	*WithT
	vms     []*rig
	servers []*limitedServer
}

const (
	skewVMs        = 9
	skewServers    = 9
	skewServerRate = 40
	// skewRate is the number of requests a second of all callers.
	skewRate = 150
)

func newSkewRig(t *testing.T, serverDataCentre func(i int) string) *skewRig {
	r := &skewRig{WithT: NewWithT(t)}
	store := newMemoryStore()
	store.set("config", "main", cutoffTable())
	seed := ""
	for i := range skewVMs {
		vm := newVM(t, fmt.Sprint("vm-", i+1), store, seed, func(s *edge.Settings) { s.DataCentre, s.FirstStart = dataCentreOf(i), true })
		if seed == "" {
			seed = vm.settings.PeerAddress
		}
		r.vms = append(r.vms, vm)
	}
	for i := range skewServers {
		limited := &limitedServer{perSecond: skewServerRate}
		server := httptest.NewServer(limited)
		t.Cleanup(server.Close)
		r.servers = append(r.servers, limited)
		store.set("servers", fmt.Sprint("s", i), backends.Server{
			Service: "app", Address: strings.TrimPrefix(server.URL, "http://"), DataCentre: serverDataCentre(i), Slots: 64,
		})
	}
	for i, vm := range r.vms {
		r.Expect(vm.callUntilOK("/plain/a", fmt.Sprint("warm-", i)).Body.Close()).To(Succeed())
	}
	return r
}

func dataCentreOf(i int) string { return string(rune('a' + i%3)) }

// load sends requests for a time, to the VM that choose returns for each, and returns how many of those
// sent from skip on were served, and how many were sent.
func (r *skewRig) load(name string, span, skip time.Duration, choose func(n int) *rig) (served, sent int) {
	var mu sync.Mutex
	var requests sync.WaitGroup
	start := time.Now()
	for n := 0; time.Since(start) < span; n++ {
		vm, counts := choose(n), time.Since(start) >= skip
		requests.Go(func() {
			status := vm.status("/plain/a", fmt.Sprint(name, n))
			mu.Lock()
			defer mu.Unlock()
			if counts {
				sent++
			}
			if counts && status == http.StatusOK {
				served++
			}
		})
		time.Sleep(time.Until(start.Add(time.Duration(n+1) * time.Second / skewRate)))
	}
	requests.Wait()
	return served, sent
}

// Guards against refusing requests at the one VM that gets most of them, while the other VMs' shares of
// the servers' rates go unused.
func TestRatesAreSharedWhereTheRequestsAre(t *testing.T) {
	for name, serverDataCentre := range map[string]func(int) string{
		"servers in all data centres": dataCentreOf,
		"servers in one data centre":  func(int) string { return "a" },
	} {
		t.Run(name, func(t *testing.T) {
			r := newSkewRig(t, serverDataCentre)
			evenServed, evenSent := r.load("even-", 6*time.Second, contactTime, func(n int) *rig { return r.vms[n%skewVMs] })
			servedSkewed, sentSkewed := r.load("skewed-", 9*time.Second, contactTime, func(n int) *rig {
				if n%10 == 0 {
					return r.vms[n/10%skewVMs]
				}
				return r.vms[4]
			})
			t.Logf("even: %d of %d; skewed: %d of %d", evenServed, evenSent, servedSkewed, sentSkewed)
			even, skewed := float64(evenServed)/float64(evenSent), float64(servedSkewed)/float64(sentSkewed)
			r.Expect(even).To(BeNumerically(">=", 0.9))
			r.Expect(skewed).To(BeNumerically(">=", 0.75*even))
			for _, server := range r.servers {
				r.Expect(server.maxWithin(4*time.Second, contactTime)).To(BeNumerically("<=", 1.5*4*skewServerRate+5))
			}
		})
	}
}
