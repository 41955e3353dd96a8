package route_test

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/api"
	"oleandershunt.example/oleandershunt/internal/core/route"
)

const layers = 24

func engineServer(name string, from, to int) route.Server {
	return route.Server{
		Name: name, Address: name + ":80", DataCentre: "bornova", Model: "scorer", Version: "1",
		Layers: api.Layers{From: from, To: to}, TokensPerSecond: 100, Eligible: true, Incarnation: 1,
	}
}

func newRouter(servers ...route.Server) *route.Router {
	router := route.New(route.Options{DataCentre: "bornova", Seed: 1})
	router.SetServers(servers)
	return router
}

func newRequest(id string) route.Request {
	return route.Request{ID: id, Model: "scorer", Version: "1", Layers: layers}
}

func choose(t *testing.T, router *route.Router, request route.Request) route.Path {
	path, err := router.Choose(request)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	expectTiled(t, path)
	return path
}

func expectTiled(t *testing.T, path route.Path) {
	g := NewWithT(t)
	at := 0
	for _, stage := range path {
		g.Expect(stage.Layers.From).To(Equal(at))
		g.Expect(stage.Layers.Len()).To(BeNumerically(">", 0))
		at = stage.Layers.To
	}
	g.Expect(at).To(Equal(layers))
}

func serverNames(path route.Path) []string {
	var list []string
	for _, stage := range path {
		list = append(list, stage.Server)
	}
	return list
}

// If the only server with layers 6 to 12 fails, the error must name these layers,
// so that operators know which weights to load.
func TestNoPathErrorNamesMissingLayers(t *testing.T) {
	g := NewWithT(t)
	middle := engineServer("middle", 6, 12)
	router := newRouter(engineServer("first", 0, 6), middle, engineServer("last", 12, 24))
	choose(t, router, newRequest("r1"))
	g.Expect(router.Bound("scorer", "1", layers).SingleCopy).To(Equal([]api.Layers{{From: 0, To: 24}}))
	middle.Eligible = false
	router.SetServer(middle)
	_, err := router.Choose(newRequest("r2"))
	g.Expect(err).To(MatchError(route.ErrNoPath))
	var noPath *route.NoPathError
	g.Expect(errors.As(err, &noPath)).To(BeTrue())
	g.Expect(noPath.Missing).To(Equal([]api.Layers{{From: 6, To: 12}}))
	g.Expect(router.Bound("scorer", "1", layers).Missing).To(Equal(noPath.Missing))
	g.Expect(router.InFlight("first")).To(Equal(1))
}

// After the loss of a server the ranges of the remaining ones may overlap. A stage
// must be able to begin inside a server's range, or no path would be found though
// every layer is loaded.
func TestPathOverOverlappingRanges(t *testing.T) {
	router := newRouter(engineServer("first", 0, 14), engineServer("last", 8, 24))
	path := choose(t, router, newRequest("r1"))
	NewWithT(t).Expect(path[1].Layers).To(Equal(api.Layers{From: 14, To: 24}))
}

// If the middle one of three stages fails, the other two must stay in the path. A
// path chosen from scratch would discard their KV caches and repeat the prefill.
func TestRerouteKeepsUnaffectedStages(t *testing.T) {
	g := NewWithT(t)
	var servers []route.Server
	for i := range 4 {
		servers = append(servers, engineServer(fmt.Sprint("a", i), 0, 8), engineServer(fmt.Sprint("b", i), 8, 16), engineServer(fmt.Sprint("c", i), 16, 24))
	}
	router := newRouter(servers...)
	old := choose(t, router, newRequest("r1"))
	path, err := router.Reroute(newRequest("r1"), old, []string{old[1].Server})
	g.Expect(err).NotTo(HaveOccurred())
	expectTiled(t, path)
	g.Expect(path[0]).To(Equal(old[0]))
	g.Expect(path[2]).To(Equal(old[2]))
	g.Expect(path[1].Server).NotTo(Equal(old[1].Server))
	g.Expect(router.InFlight(old[0].Server)).To(Equal(1))
	g.Expect(router.InFlight(old[1].Server)).To(Equal(0))
}

// A server that crashed and restarted under its name before the next attempt has
// lost its KV cache, so the stage must not be kept for its old incarnation.
func TestRerouteUsesNewIncarnationOfRestartedServer(t *testing.T) {
	g := NewWithT(t)
	first := engineServer("first", 0, 24)
	router := newRouter(first)
	old := choose(t, router, newRequest("r1"))
	first.Incarnation = 2
	router.SetServer(first)
	path, err := router.Reroute(newRequest("r1"), old, nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(path[0].Incarnation).To(Equal(uint64(2)))
}

// If 400 streams of one VM lose the same stage before the next load report, they
// must spread over the replacements. Otherwise all take the one that seems best
// and overload it.
func TestRerouteSpreadsReplacements(t *testing.T) {
	g := NewWithT(t)
	servers := []route.Server{engineServer("first", 0, 12), engineServer("lost", 12, 24)}
	for i := range 8 {
		servers = append(servers, engineServer(fmt.Sprint("spare", i), 12, 24))
	}
	whole := engineServer("whole", 0, 24)
	servers = append(servers, whole)
	router := newRouter(servers...)
	old := route.Path{{Server: "first", Layers: api.Layers{From: 0, To: 12}, Incarnation: 1}, {Server: "lost", Layers: api.Layers{From: 12, To: 24}, Incarnation: 1}}
	for i := range 400 {
		path, err := router.Reroute(newRequest(fmt.Sprint(i)), old, []string{"lost"})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(path[0].Server).To(Equal("first"))
	}
	for i := range 8 {
		g.Expect(router.InFlight(fmt.Sprint("spare", i))).To(BeNumerically("~", 42, 8), "spare%d", i)
	}
	g.Expect(router.InFlight("whole")).To(BeNumerically(">", 10), "a server of all layers can run only the second half")
}

// If one server reports idle and the others busy, the idle one must not get all of
// the 300 streams that start before the next report.
func TestStaleReportDoesNotCauseHerding(t *testing.T) {
	g := NewWithT(t)
	var servers []route.Server
	for i := range 10 {
		servers = append(servers, engineServer(fmt.Sprint("s", i), 0, 24))
	}
	router := newRouter(servers...)
	for i := range 10 {
		router.ObserveLoad(time.Second, route.Report{Server: fmt.Sprint("s", i), At: time.Second, Running: min(i, 1) * 8})
	}
	for i := range 300 {
		r := newRequest(fmt.Sprint(i))
		r.Now = time.Second + time.Duration(i)*time.Millisecond
		choose(t, router, r)
	}
	g.Expect(router.InFlight("s0")).To(BeNumerically("~", 37, 8))
}

// A flapping server is ineligible for a second, then eligible again without
// streams. It must not get all new streams, which would fail together the next time.
func TestFlappingServerIsRampedUp(t *testing.T) {
	g := NewWithT(t)
	var servers []route.Server
	for i := range 5 {
		servers = append(servers, engineServer(fmt.Sprint("s", i), 0, 24))
	}
	router := newRouter(servers...)
	now := time.Second
	id := 0
	start := func(count int) {
		for range count {
			id++
			r := newRequest(fmt.Sprint(id))
			r.Now = now
			choose(t, router, r)
		}
	}
	start(100)
	for range 4 {
		now += time.Second
		router.Advance(now)
		servers[0].Eligible = false
		router.SetServer(servers[0])
		now += time.Second
		router.Advance(now)
		servers[0].Eligible = true
		router.SetServer(servers[0])
	}
	before := router.InFlight("s0")
	start(40)
	g.Expect(router.InFlight("s0") - before).To(BeNumerically("<=", 2))
	now += 2 * time.Minute
	start(100)
	g.Expect(router.InFlight("s0")-before).To(BeNumerically(">", 10), "the server must get a normal share after the ramp-up")
}

// While the link to another data centre is down, paths must not cross it, and what
// the local data centre can serve alone must still be served. After the link is
// restored it is used again.
func TestLostLinkIsNotUsed(t *testing.T) {
	g := NewWithT(t)
	far := engineServer("far", 12, 24)
	far.DataCentre = "gaziemir"
	router := newRouter(engineServer("near", 0, 12), far, engineServer("whole", 0, 24))
	router.SetLink(route.Link{From: "bornova", To: "gaziemir", Down: true})
	g.Expect(router.Bound("scorer", "1", layers).TokensPerSecond).To(BeNumerically("~", 100, 1e-6))
	for i := range 50 {
		g.Expect(serverNames(choose(t, router, newRequest(fmt.Sprint(i))))).To(Equal([]string{"whole"}))
	}
	router.RemoveServer("whole")
	_, err := router.Choose(newRequest("cut off"))
	var noPath *route.NoPathError
	g.Expect(errors.As(err, &noPath)).To(BeTrue())
	g.Expect(noPath.Disconnected).To(BeTrue())
	g.Expect(noPath.Missing).To(BeEmpty())
	router.SetLink(route.Link{From: "bornova", To: "gaziemir", TokensPerSecond: 30})
	g.Expect(router.Bound("scorer", "1", layers).TokensPerSecond).To(BeNumerically("~", 30, 1e-6))
	choose(t, router, newRequest("joined"))
}

// Without load, local servers must be preferred to servers across a link with a
// delay of 50 ms.
func TestIdleLocalServersArePreferred(t *testing.T) {
	g := NewWithT(t)
	near, far := engineServer("near", 0, 24), engineServer("far", 0, 24)
	far.DataCentre = "gaziemir"
	router := newRouter(near, far)
	router.SetLink(route.Link{From: "bornova", To: "gaziemir", Delay: 50 * time.Millisecond})
	for range 20 {
		g.Expect(serverNames(choose(t, router, newRequest("r")))).To(Equal([]string{"near"}))
		router.Release("r")
	}
}

// A server to avoid, such as one that timed out, must be used if no other is left.
// A server that is proven faulty must never be used again for the request.
func TestAvoidedServersAreLastResortAndFaultyAreNeverUsed(t *testing.T) {
	g := NewWithT(t)
	router := newRouter(engineServer("one", 0, 24), engineServer("two", 0, 24))
	r := newRequest("r")
	r.Avoid = []string{"one"}
	for range 10 {
		g.Expect(serverNames(choose(t, router, r))).To(Equal([]string{"two"}))
	}
	r.Faulty = []string{"two"}
	g.Expect(serverNames(choose(t, router, r))).To(Equal([]string{"one"}))
	r.Faulty = []string{"one", "two"}
	_, err := router.Choose(r)
	var noPath *route.NoPathError
	g.Expect(errors.As(err, &noPath)).To(BeTrue())
	g.Expect(noPath.Excluded).To(Equal(r.Faulty))
}

// Prompts with the same prefix should go to the server that has it cached, but only
// up to the limit of the imbalance, and not after a lost cache event or an eviction.
func TestPrefixAffinityIsCapped(t *testing.T) {
	g := NewWithT(t)
	var servers []route.Server
	for i := range 10 {
		servers = append(servers, engineServer(fmt.Sprint("s", i), 0, 24))
	}
	start := func(router *route.Router) int {
		for i := range 100 {
			r := newRequest(fmt.Sprint(i))
			r.Prefixes = []uint64{11, 22}
			choose(t, router, r)
		}
		return router.InFlight("s3")
	}
	routerAfter := func(events ...route.CacheEvent) *route.Router {
		router := newRouter(servers...)
		for i := range servers {
			router.ObserveLoad(0, route.Report{Server: fmt.Sprint("s", i), At: 1, Running: 8})
		}
		router.ObserveCache("s3", 1, events)
		return router
	}
	warm := start(routerAfter(route.CacheEvent{Sequence: 1, Prefix: 11}))
	g.Expect(warm).To(And(BeNumerically(">", 12), BeNumerically("<", 20)))
	gap := start(routerAfter(route.CacheEvent{Sequence: 1, Prefix: 11}, route.CacheEvent{Sequence: 3, Prefix: 33}))
	g.Expect(gap).To(BeNumerically("~", 10, 2))
	evicted := start(routerAfter(route.CacheEvent{Sequence: 1, Prefix: 11}, route.CacheEvent{Sequence: 2, Prefix: 11, Evicted: true}))
	g.Expect(evicted).To(Equal(gap))
}

// The same calls on two routers with the same seed must give the same paths, or
// recorded traces can't be replayed. The iteration order of a map must not matter.
func TestChoicesAreDeterministic(t *testing.T) {
	run := func() []route.Path {
		var servers []route.Server
		for _, e := range heterogeneousServers() {
			servers = append(servers, e.Server)
		}
		router := newRouter(servers...)
		var paths []route.Path
		for i := range 300 {
			r := newRequest(fmt.Sprint(i))
			r.Now = time.Duration(i) * 10 * time.Millisecond
			path := choose(t, router, r)
			if i%3 == 0 {
				lost := path[i%len(path)].Server
				path, _ = router.Reroute(r, path, []string{lost})
			}
			if i%2 == 0 {
				router.RecordProgress(r.ID, r.Now+time.Second, 50)
				router.Release(r.ID)
			}
			paths = append(paths, slices.Clone(path))
		}
		return paths
	}
	NewWithT(t).Expect(run()).To(Equal(run()))
}

// Standby must answer by the same rules as Reroute, and must not count its path as
// load.
func TestStandbyMatchesReroute(t *testing.T) {
	g := NewWithT(t)
	router := newRouter(engineServer("first", 0, 12), engineServer("second", 12, 24), engineServer("spare", 12, 24))
	path := choose(t, router, newRequest("r"))
	standby, err := router.Standby(newRequest("r"), path, path[1].Server)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(standby[0]).To(Equal(path[0]))
	g.Expect(standby[1].Server).NotTo(Equal(path[1].Server))
	g.Expect(router.InFlight(standby[1].Server)).To(Equal(0))
	_, err = router.Standby(newRequest("r"), path, "first")
	g.Expect(err).NotTo(HaveOccurred(), "a server that is lost but not faulty is still a last resort")
	r := newRequest("r")
	r.Faulty = []string{"first"}
	_, err = router.Standby(r, path, "first")
	g.Expect(err).To(MatchError(route.ErrNoPath))
}

// If half of the servers report full queues, requests with a priority must hit
// them less often than those without, since more paths are sampled for them.
func TestPriorityPrefersLessLoadedServers(t *testing.T) {
	g := NewWithT(t)
	var servers []route.Server
	for i := range 20 {
		servers = append(servers, engineServer(fmt.Sprintf("s%02d", i), 0, 24))
	}
	router := newRouter(servers...)
	for i := range 10 {
		router.ObserveLoad(time.Second, route.Report{Server: fmt.Sprintf("s%02d", i), At: time.Second, Running: 8, Waiting: 40})
	}
	hitFull := func(priority int) int {
		hits := 0
		for range 2000 {
			r := newRequest("r")
			r.Now, r.Priority = time.Second, priority
			if choose(t, router, r)[0].Server < "s10" {
				hits++
			}
			router.Release("r")
		}
		return hits
	}
	g.Expect(hitFull(1)).To(BeNumerically("<", hitFull(0)))
}
