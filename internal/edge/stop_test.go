package edge_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/core/history"
)

// Guards against breaking streams at a graceful shutdown: a VM that streams a response
// leaves rotation and closes its listener, and the end of the listener ended the process
// with its requests in flight.
func TestPlannedStopFinishesStreams(t *testing.T) {
	r := newRig(t, table(1))
	goOn := make(chan struct{})
	r.server("s1", func(w http.ResponseWriter, request *http.Request) {
		sign(w, request)
		_, _ = io.WriteString(w, event(1))
		w.(http.Flusher).Flush()
		<-goOn
		_, _ = io.WriteString(w, event(2))
	})
	var response *http.Response
	r.Eventually(func() int {
		var err error
		if response, err = r.call("/stream/a", "r1"); err != nil {
			return 0
		}
		return response.StatusCode
	}, "5s").Should(Equal(http.StatusOK))
	defer response.Body.Close()

	r.stop()
	r.Eventually(r.ready).Should(Equal(http.StatusServiceUnavailable))
	r.Eventually(func() int { return r.status("/stream/b", "r2") }, "5s").Should(BeZero(), "new connections are refused")
	close(goOn)

	body, err := io.ReadAll(response.Body)
	r.Expect(err).NotTo(HaveOccurred())
	r.Expect(string(body)).To(Equal(event(1) + event(2)))
	r.Eventually(r.ended, "5s").Should(Receive(BeNil()))
}

// Guards against seconds without placement during graceful shutdowns: a stopping VM
// acquires the placement role, renews it, or makes the others wait for its lease to
// expire.
func TestStoppingVMReleasesRoleAndDoesNotReacquireIt(t *testing.T) {
	r := newRig(t, table(1))
	role := func() (version history.Version, released bool) {
		object, err := r.store.Get(context.Background(), "oleandershunt-roles", "layers-a")
		if err != nil {
			return 0, false
		}
		var record struct{ Released bool }
		r.Expect(json.Unmarshal(object.Value, &record)).To(Succeed())
		return object.Version, record.Released
	}
	r.Eventually(role, "5s").ShouldNot(BeZero())
	r.stop()
	r.Eventually(func() bool {
		_, released := role()
		return released
	}, "2s").Should(BeTrue())
	held, _ := role()
	r.Consistently(func() history.Version {
		version, _ := role()
		return version
	}, "2s", "100ms").Should(Equal(held))
}

// Guards against seven seconds without placement after a graceful shutdown: the VM that
// ranks first for the role stops, and the others wait for it to acquire the role that it
// released.
func TestAnotherVMTakesRoleFromStoppingVM(t *testing.T) {
	store := newMemoryStore()
	store.set("config", "main", table(1))
	first := newVM(t, "vm-1", store, "")
	second := newVM(t, "vm-2", store, first.settings.Peers)
	vms := map[string]*rig{"vm-1": first, "vm-2": second}
	holder := func() string {
		object, err := store.Get(context.Background(), "oleandershunt-roles", "layers-a")
		if err != nil {
			return ""
		}
		var record struct{ Holder struct{ Name string } }
		first.Expect(json.Unmarshal(object.Value, &record)).To(Succeed())
		return record.Holder.Name
	}
	first.Eventually(first.ready, "5s").Should(Equal(http.StatusOK))
	second.Eventually(second.ready, "5s").Should(Equal(http.StatusOK))
	first.Eventually(holder, "5s").ShouldNot(BeEmpty())
	before := holder()
	vms[before].stop()
	first.Eventually(holder, "4s").ShouldNot(Equal(before))
}
