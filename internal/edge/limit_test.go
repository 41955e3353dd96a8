package edge_test

import (
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/core/backends"
)

// limitedServer sets a request rate in all its answers, and notes when requests came.
type limitedServer struct {
	perSecond float64

	mu      sync.Mutex
	arrived []time.Time
}

func (s *limitedServer) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	s.mu.Lock()
	s.arrived = append(s.arrived, time.Now())
	s.mu.Unlock()
	w.Header().Set("Server-Limit", strconv.FormatFloat(s.perSecond, 'f', -1, 64))
	ok(w, request)
}

// most is the most requests that came within a span, from a time after the first one on.
func (s *limitedServer) most(span, from time.Duration) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	late := slices.DeleteFunc(slices.Clone(s.arrived), func(at time.Time) bool { return at.Before(s.arrived[0].Add(from)) })
	most := 0
	for i, at := range late {
		end, _ := slices.BinarySearchFunc(late, at.Add(span), time.Time.Compare)
		most = max(most, end-i)
	}
	return most
}

// Guards against: a server gets more requests than the rate that it set for all VMs together.
func TestAServersRequestRateHoldsOverAllVMs(t *testing.T) {
	t.Parallel()
	store := newMemory()
	store.set("config", "main", table(1))
	vms := newVMs(t, store, 3)
	limited := &limitedServer{perSecond: 4}
	vms[0].server("limited", limited.ServeHTTP)
	free := vms[0].server("free", ok)
	store.set("servers", "free", backends.Server{Service: "app", Address: free.Listener.Addr().String(), DataCentre: "b", Slots: 4})
	for _, vm := range vms {
		vm.answered("/plain/a", "r0")
	}

	const contact, span, every = 3 * time.Second, 4 * time.Second, 100 * time.Millisecond
	var callers sync.WaitGroup
	failed := make([]int, len(vms))
	for i, vm := range vms {
		callers.Go(func() {
			for sent := range int((contact + 2*span) / every) {
				if vm.status("/plain/a", "r"+strconv.Itoa(sent)) != http.StatusOK {
					failed[i]++
				}
				time.Sleep(every)
			}
		})
	}
	callers.Wait()

	g := NewWithT(t)
	allowed := 1.5*span.Seconds()*limited.perSecond + 5
	g.Expect(limited.most(span, contact)).To(BeNumerically("<=", allowed))
	g.Expect(limited.most(span, contact)).To(BeNumerically(">=", span.Seconds()*limited.perSecond/4), "it is still used")
	g.Expect(failed).To(HaveEach(0), "another server is free")
}
