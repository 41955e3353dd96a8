package edge_test

import (
	"fmt"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/core/backends"
	"oleandershunt.example/oleandershunt/internal/core/routes"
)

// twoVMs starts two VMs before a server that both use.
func twoVMs(t *testing.T, store *memory) []*rig {
	store.set("config", "main", versioned(1))
	vms := newVMs(t, store, 2)
	vms[0].server("s1", ok)
	for _, vm := range vms {
		vm.answered("/plain/a", "r1")
	}
	return vms
}

// versioned is a configuration with a route of its own.
func versioned(version uint64) tableValue {
	t := table(version)
	t.Routes = append(t.Routes, route(fmt.Sprintf("/v%d/", version), routes.Repeatable, false))
	return t
}

// withoutKey is a configuration in which the key of the requests is taken away.
func withoutKey(version uint64) tableValue {
	t := versioned(version)
	t.Keys = map[string]routes.Account{"other": {Name: "other"}}
	return t
}

// writes raises the store's version by so many.
func (m *memory) writes(count int) {
	for i := range count {
		m.set("other", fmt.Sprint("o", i), i)
	}
}

// Guards against: a configuration whose revision is below those seen before is not taken.
func TestAConfigurationWrittenAfterTheStoreCameBackFromACopyIsInForce(t *testing.T) {
	t.Parallel()
	store := newMemory()
	vms := twoVMs(t, store)
	copied := store.save()
	store.writes(50)
	store.set("config", "main", versioned(2))
	for _, vm := range vms {
		vm.answered("/v2/a", "r2")
	}
	store.comeBack(copied)
	store.set("config", "main", versioned(2))
	store.set("config", "main", withoutKey(3))
	for _, vm := range vms {
		vm.Eventually(func() int { return vm.status("/plain/a", "r3") }, "3s").Should(Equal(http.StatusUnauthorized))
	}
}

// Guards against: a revision that was given out twice passes for the same configuration.
func TestARevisionGivenOutAgainIsAnotherConfiguration(t *testing.T) {
	t.Parallel()
	store := newMemory()
	vms := twoVMs(t, store)
	copied := store.save()
	store.set("config", "main", versioned(2))
	for _, vm := range vms {
		vm.answered("/v2/a", "r2")
	}
	store.comeBack(copied)
	store.set("config", "main", withoutKey(3))
	for _, vm := range vms {
		vm.Eventually(func() int { return vm.status("/plain/a", "r3") }, "3s").Should(Equal(http.StatusUnauthorized))
	}
}

// named is a server that says who it is.
func named(id string) http.HandlerFunc {
	return func(w http.ResponseWriter, request *http.Request) {
		w.Header().Set("Served-By", id)
		ok(w, request)
	}
}

// servedBy is the server that answers a request, empty for none.
func (r *rig) servedBy() string {
	response, err := r.call("/plain/a", "r")
	if err != nil {
		return ""
	}
	defer response.Body.Close()
	return response.Header.Get("Served-By")
}

// Guards against: a server's word that it leaves is passed over as older than what was seen.
func TestAServerThatLeavesAfterTheStoreCameBackFromACopyGetsNothing(t *testing.T) {
	t.Parallel()
	store := newMemory()
	vms := twoVMs(t, store)
	first := vms[0].server("first", named("first"))
	copied := store.save()
	store.writes(50)
	second := vms[0].server("second", named("second"))
	for _, vm := range vms {
		vm.Eventually(vm.servedBy, "3s").Should(Equal("first"))
		vm.Eventually(vm.servedBy, "3s").Should(Equal("second"))
	}
	store.comeBack(copied)
	store.set("servers", "second", backends.Server{Service: "app", DataCentre: "a", Slots: 4, Address: second.Listener.Addr().String()})
	store.set("servers", "first", backends.Server{Service: "app", DataCentre: "a", Slots: 4, Draining: true, Address: first.Listener.Addr().String()})
	for _, vm := range vms {
		vm.Eventually(func() []string { return []string{vm.servedBy(), vm.servedBy(), vm.servedBy(), vm.servedBy()} }, "2s").ShouldNot(ContainElement("first"))
		vm.Consistently(vm.servedBy, "1s", "20ms").ShouldNot(Equal("first"))
	}
}
