package edge_test

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/core/backends"
)

// Guards against: a server that says that it leaves is used again by its entry, or where the store is away.
func TestAServersWordThatItLeavesHoldsWithoutTheStore(t *testing.T) {
	t.Parallel()
	r := newRig(t, table(1))
	var leaving atomic.Bool
	var arrived atomic.Int32
	server := r.server("leaving", func(w http.ResponseWriter, request *http.Request) {
		arrived.Add(1)
		if leaving.Load() {
			w.Header().Set("Server-Leaving", "1")
		}
		ok(w, request)
	})
	r.server("free", ok)
	send := func() {
		for sent := range 20 {
			r.Expect(r.status("/plain/a", "r"+strconv.Itoa(sent))).To(BeEquivalentTo(http.StatusOK))
		}
	}
	r.Eventually(func() int32 { r.status("/plain/a", "r"); return arrived.Load() }, "5s").Should(BeNumerically(">", 0))
	leaving.Store(true)
	r.Eventually(func() int32 { arrived.Store(0); send(); return arrived.Load() }, "5s").Should(BeNumerically("<=", 1))

	arrived.Store(0)
	r.store.setDown(true)
	send()
	r.store.setDown(false)
	entry := backends.Server{Service: "app", Address: server.Listener.Addr().String(), DataCentre: "a", Slots: 4}
	r.store.set("servers", "leaving", entry)
	var later atomic.Int32
	r.server("later", func(w http.ResponseWriter, request *http.Request) { later.Add(1); ok(w, request) })
	r.Eventually(func() int32 { send(); return later.Load() }, "5s").Should(BeNumerically(">", 0), "its entry was written last")
	r.Expect(arrived.Load()).To(BeZero())
}
