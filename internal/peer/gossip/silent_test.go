package gossip_test

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against findings and departures that reach VMs too late because many others accept messages and answer none:
// calls to these take seconds, and a VM makes few at a time.
func TestUrgentEntryReachesAllVMsWhileMostOthersHang(t *testing.T) {
	const (
		vms = 24
		// A third of the VMs answer.
		answering = 3
		// knownWithin is the shortest bound of what is told so, that of departures.
		knownWithin   = 1850 * time.Millisecond
		roundInterval = 150 * time.Millisecond
	)
	c := newCluster(t)
	var hanging atomic.Bool
	hangs := make(map[string]bool)
	c.wrap = func(v *vm, next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if hanging.Load() && hangs[v.name] {
				<-r.Context().Done()
				return
			}
			next.ServeHTTP(w, r)
		})
	}
	var live []*vm
	for i := range vms {
		name := fmt.Sprintf("vm-%02d", i)
		hangs[name] = i%answering != 0
		v := c.start(name, "bornova", 1, c.vms[:min(i, 3)]...)
		if !hangs[name] {
			live = append(live, v)
		}
	}
	c.rounds(15, c.vms...)
	hanging.Store(true)
	round := func() {
		c.now.Add(int64(interval))
		for _, v := range live {
			v.Round(t.Context())
		}
	}
	for range 10 { // calls that hang take the places of others
		round()
		time.Sleep(roundInterval)
	}
	live[0].Put("s/runner-1", []byte("leaving"), true)
	told := time.Now()
	for left := live[1:]; len(left) > 0; {
		for len(left) > 0 && left[0].entry(live[0].name+" on runner-1") == "leaving" {
			left = left[1:]
		}
		if time.Since(told) > 5*knownWithin {
			break
		}
		round()
		time.Sleep(roundInterval)
	}
	t.Logf("known by %d VMs after %s", len(live), time.Since(told))
	c.Expect(time.Since(told)).To(BeNumerically("<=", knownWithin))
}
