package backends_test

import (
	"errors"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/api"
	"oleandershunt.example/oleandershunt/internal/core/backends"
	"oleandershunt.example/oleandershunt/internal/core/chain"
	"oleandershunt.example/oleandershunt/internal/core/routes"
)

func service() routes.Service {
	return routes.Service{Name: "llm", Engine: &routes.Engine{
		Layers: 80, LayerMB: 1750, TokenBytes: 918_000, Step: time.Millisecond, ReadPerSecond: 105_000, TypicalPrompt: 800, TypicalAnswer: 200,
		Cards: map[string]routes.Card{"fast": {MB: 72_000, Pace: 2.4, Read: 3.2}, "slow": {MB: 72_000, Pace: 16, Read: 8}},
	}}
}

func server(id, dataCentre, card string, from, to int) backends.Server {
	return backends.Server{
		ID: id, Name: id, Service: "llm", Address: id + ":1", DataCentre: dataCentre, Card: card,
		LayerRanges: []backends.LayerRange{{Layers: api.Layers{From: from, To: to}, Version: 1}},
	}
}

func request() backends.Request { return backends.Request{DataCentre: "a", Prompt: 800, Answer: 200} }

func path(g *WithT, f *backends.Fleet, r backends.Request) string {
	choice, err := f.Path(0, service(), r)
	g.Expect(err).NotTo(HaveOccurred())
	return choice.Path.String()
}

func TestFastestPathOfTheDataCentreIsChosen(t *testing.T) {
	g := NewWithT(t)
	f := backends.New()
	f.Replace(0, []backends.Server{
		server("s1", "a", "fast", 0, 40), server("s2", "a", "fast", 40, 80), server("s3", "a", "slow", 0, 40),
		server("s4", "b", "fast", 0, 40), server("s5", "b", "fast", 40, 80),
	}, 1)
	g.Expect(path(g, f, request())).To(Equal("s1[0,40) s2[40,80)"))
	f.Suspect(0, "s1", time.Second)
	g.Expect(path(g, f, request())).To(Equal("s3[0,40) s2[40,80)"), "a path half on slow cards is preferred to another data centre")
	f.Put(0, server("s6", "a", "slow", 40, 80))
	f.Suspect(0, "s2", time.Second)
	g.Expect(path(g, f, request())).To(Equal("s4[0,40) s5[40,80)"), "another data centre is preferred to a path entirely on slow cards")
}

// Guards against filling the link between data centres, which makes answers take twice as long on a
// fleet with free capacity: a crossing looks cheaper than a loaded local server.
func TestPathCrossesDataCentresOnlyIfNoneHasAllLayers(t *testing.T) {
	g := NewWithT(t)
	f := backends.New()
	f.Replace(0, []backends.Server{
		server("s1", "a", "fast", 0, 40), server("s2", "a", "slow", 40, 80),
		server("s3", "b", "fast", 40, 80),
	}, 1)
	g.Expect(path(g, f, request())).To(Equal("s1[0,40) s2[40,80)"))
	f.Remove(0, "s2", 1)
	g.Expect(path(g, f, request())).To(Equal("s1[0,40) s3[40,80)"))
}

// Guards against spending a request's retries on servers in an unreachable data centre that has the
// only fast path. Reports of unreachable data centres expire if they aren't repeated.
func TestUnreachableServersGetNoRequests(t *testing.T) {
	g := NewWithT(t)
	f := backends.New()
	f.Replace(0, []backends.Server{
		server("s1", "a", "slow", 0, 40), server("s2", "a", "slow", 40, 80),
		server("s3", "b", "fast", 0, 40), server("s4", "b", "fast", 40, 80),
		{ID: "p1", Service: "plain", DataCentre: "b", Slots: 6},
	}, 1)
	g.Expect(path(g, f, request())).To(Equal("s3[0,40) s4[40,80)"))
	f.SetUnreachable(0, []string{"a", "b"})
	g.Expect(path(g, f, request())).To(Equal("s1[0,40) s2[40,80)"), "the VM's own data centre is always reachable")
	_, err := f.Instance(0, "plain", request())
	g.Expect(errors.Is(err, backends.ErrNoServer)).To(BeTrue())
	_, err = f.Instance(time.Second, "plain", request())
	g.Expect(err).NotTo(HaveOccurred(), "the report has expired")
	f.SetUnreachable(0, nil)
	g.Expect(path(g, f, request())).To(Equal("s3[0,40) s4[40,80)"))
}

// Guards against rejections for lack of memory while other servers are free: the VMs of a data
// centre choose the same path because none accounts for the others' load.
func TestLoadFromOtherVMsIsCounted(t *testing.T) {
	g := NewWithT(t)
	f := backends.New()
	f.Replace(0, []backends.Server{
		server("s1", "a", "fast", 0, 40), server("s2", "a", "fast", 40, 80), server("s3", "a", "fast", 40, 80),
	}, 1)
	g.Expect(path(g, f, request())).To(Equal("s1[0,40) s2[40,80)"))
	f.SetRemoteUsage(map[string]backends.Usage{"s2": {Memory: 160_000}}, 1)
	g.Expect(path(g, f, request())).To(Equal("s1[0,40) s3[40,80)"))
	f.SetRemoteUsage(map[string]backends.Usage{"s2": {Memory: 900_000}}, 1)
	f.MarkFull(0, "s3")
	_, err := f.Path(0, service(), request())
	g.Expect(err).To(MatchError(backends.ErrFull), "no path has capacity")
	forced := request()
	forced.IgnoreCapacity = true
	g.Expect(path(g, f, forced)).To(HavePrefix("s1[0,40) "))
	f.SetRemoteUsage(nil, 0)
	g.Expect(path(g, f, request())).To(Equal("s1[0,40) s2[40,80)"))
}

// Guards against treating a lightly used server as full: requests that run only a few of its layers
// must not be counted with the memory of all layers.
func TestRequestLoadCountsOnlyItsLayers(t *testing.T) {
	g := NewWithT(t)
	load := backends.Choice{Path: chain.Path{
		{ID: "s1", Layers: api.Layers{From: 0, To: 5}}, {ID: "s2", Layers: api.Layers{From: 5, To: 80}},
	}}.Load(1000)
	g.Expect(load.Parts).To(Equal([]backends.LoadPart{{ID: "s1", Memory: 5_000}, {ID: "s2", Memory: 75_000}}))
}

func TestErrFullDiffersFromErrNoServer(t *testing.T) {
	g := NewWithT(t)
	f := backends.New()
	f.Replace(0, []backends.Server{server("s1", "a", "fast", 0, 40), server("s2", "a", "fast", 40, 80)}, 1)
	f.MarkFull(0, "s2")
	_, err := f.Path(0, service(), request())
	g.Expect(errors.Is(err, backends.ErrFull)).To(BeTrue())
	forced := request()
	forced.IgnoreCapacity = true
	g.Expect(path(g, f, forced)).To(Equal("s1[0,40) s2[40,80)"))
	f.Remove(0, "s2", 1)
	_, err = f.Path(0, service(), request())
	g.Expect(errors.Is(err, backends.ErrNoServer)).To(BeTrue())
	_, err = f.Path(0, service(), forced)
	g.Expect(errors.Is(err, backends.ErrNoServer)).To(BeTrue())
	g.Expect(err.Error()).To(ContainSubstring("[40,80)"), "a forced choice names the uncovered layers")
}

// Guards against sending requests to a server that has stopped: it drains, and an old list or a
// late event shows it as ready again.
func TestStaleEntryDoesNotReinstateALeavingServer(t *testing.T) {
	g := NewWithT(t)
	f := backends.New()
	f.Put(0, server("s1", "a", "fast", 0, 80))
	f.ApplyDeparture(0, backends.Departure{ID: "s1"})
	f.Put(time.Second, server("s1", "a", "fast", 0, 80))
	g.Expect(f.Servers("llm")).To(BeEmpty())
	g.Expect(f.TakeDepartures(true)).To(BeEmpty(), "another VM already published it")
	f.Put(time.Second, server("s2", "a", "fast", 0, 80))
	f.Remove(time.Second, "s2", 1)
	g.Expect(f.TakeDepartures(true)).To(Equal([]backends.Departure{{ID: "s2", Revision: 1}}))
	g.Expect(f.TakeDepartures(true)).To(BeEmpty())
}

// Guards against requests that are refused with 421 for two seconds after a platform outage: a
// server restarted during the outage, and its old entry is missing but within the grace period.
func TestNewProcessReplacesTheOldOneAtItsAddress(t *testing.T) {
	g := NewWithT(t)
	f := backends.New()
	f.Put(0, server("old", "a", "fast", 0, 80))
	f.SetPlatformDown()
	f.ConfirmPlatform(4*time.Second, 4*time.Second)
	f.Remove(4*time.Second, "old", 1)
	g.Expect(f.Servers("llm")).To(HaveLen(1), "the entry may only have expired")
	again := server("new", "a", "fast", 0, 80)
	again.Address = "old:1"
	f.Put(4*time.Second, again)
	g.Expect(f.Servers("llm")).To(HaveLen(1))
	g.Expect(f.Servers("llm")[0].ID).To(Equal("new"))
}

// Guards against a restarted server getting no requests from any VM: a starting VM reads the
// entries of the crashed process and of its successor in one list, lets the last one read win, and
// publishes that to the other VMs.
func TestNewerOfTwoEntriesAtAnAddressWins(t *testing.T) {
	old, again := server("old", "a", "fast", 0, 80), server("new", "a", "fast", 0, 80)
	old.Revision, again.Revision, again.Address = 5, 9, old.Address
	for _, list := range [][]backends.Server{{old, again}, {again, old}} {
		g := NewWithT(t)
		f := backends.New()
		f.Replace(0, list, 10)
		g.Expect(f.Servers("llm")).To(Equal([]backends.Server{again}))
		g.Expect(f.TakeDepartures(true)).To(BeEmpty())
	}
}

// Guards against late first events while servers are idle: a server works at a quarter of its speed
// and reports that, but only its entry is considered.
func TestSlowServerIsAvoidedUntilItRecovers(t *testing.T) {
	g := NewWithT(t)
	f := backends.New()
	f.Replace(0, []backends.Server{server("s1", "a", "fast", 0, 40), server("s2", "a", "fast", 0, 40), server("s3", "a", "fast", 40, 80)}, 1)
	g.Expect(path(g, f, request())).To(Equal("s1[0,40) s3[40,80)"))
	f.SetPace(time.Second, "s1", 4)
	f.SetPace(time.Second, "s3", 1)
	at := func(now time.Duration) string {
		choice, err := f.Path(now, service(), request())
		g.Expect(err).NotTo(HaveOccurred())
		return choice.Path.String()
	}
	g.Expect(at(time.Second)).To(Equal("s2[0,40) s3[40,80)"))
	g.Expect(f.PacesToPublish(time.Second, time.Second)).To(Equal(map[string]float64{"s1": 4}))
	g.Expect(f.SlowServers(3*time.Second, time.Second)).To(HaveLen(1), "a slow server is due to be asked again")
	f.SetPace(3*time.Second, "s1", 1)
	g.Expect(at(3 * time.Second)).To(Equal("s1[0,40) s3[40,80)"))
	g.Expect(f.PacesToPublish(3*time.Second, time.Second)).To(Equal(map[string]float64{"s1": 1}), "other VMs still count it as slow")
	g.Expect(f.SlowServers(5*time.Second, time.Second)).To(BeEmpty())
}

// Guards against a range of layers staying uncovered for two seconds after a platform outage: a
// server stops responding, its entry expires during the outage, and the grace period for expired
// entries applies although other servers had reported it.
func TestServerUnresponsiveBeforeAnOutageStaysUnresponsive(t *testing.T) {
	g := NewWithT(t)
	f := backends.New()
	f.Replace(time.Second, []backends.Server{server("s1", "a", "fast", 0, 40), server("s2", "a", "fast", 40, 80)}, 1)
	f.MarkUnresponsive(2*time.Second, "s1", 4*time.Second)
	g.Expect(f.IsUnresponsive(3*time.Second, "s1")).To(BeTrue())
	f.SetPlatformDown()
	g.Expect(f.IsUnresponsive(8*time.Second, "s1")).To(BeFalse(), "this VM still has its entry")
	f.ConfirmPlatform(12*time.Second, 12*time.Second)
	f.Replace(12*time.Second, nil, 9)
	g.Expect(f.IsUnresponsive(12*time.Second, "s1")).To(BeTrue())
	g.Expect(f.IsUnresponsive(12*time.Second, "s2")).To(BeFalse())
	again := server("s1", "a", "fast", 0, 40)
	again.Revision = 12
	f.Put(13*time.Second, again)
	g.Expect(f.IsUnresponsive(13*time.Second, "s1")).To(BeFalse(), "its entry was written again")
}

// Guards against a server counting as slow for ever because two VMs keep forwarding each other's
// report of its pace.
func TestRemotePaceIsNotForwarded(t *testing.T) {
	g := NewWithT(t)
	f := backends.New()
	f.Put(0, server("s1", "a", "fast", 0, 80))
	f.SetRemotePace(time.Second, "s1", 4)
	g.Expect(f.PacesToPublish(time.Second, time.Second)).To(BeEmpty())
	g.Expect(f.Pace(time.Second, "s1")).To(Equal(4.0))
	g.Expect(f.Pace(10*time.Second, "s1")).To(Equal(1.0), "the pace has expired")
}

// Guards against first events that are a second late after a power failure: the clients of all VMs
// reconnect at about the same time, and each VM finds the same path the cheapest because it ignores
// what the others added since they last published their loads.
func TestConcurrentChoicesOfVMsSpreadOut(t *testing.T) {
	g := NewWithT(t)
	fleets := make([]*backends.Fleet, 8)
	for i := range fleets {
		fleets[i] = backends.New()
		fleets[i].Replace(0, []backends.Server{
			server("s1", "a", "fast", 0, 40), server("s2", "a", "fast", 40, 80),
			server("t1", "a", "slow", 0, 20), server("t2", "a", "slow", 20, 40), server("t3", "a", "slow", 40, 60), server("t4", "a", "slow", 60, 80),
		}, 1)
		fleets[i].SetRemoteUsage(nil, len(fleets)-1)
	}
	slow := 0
	for _, f := range fleets {
		f.PublishUsage()
		for range 12 {
			choice, err := f.Path(0, service(), request())
			if errors.Is(err, backends.ErrFull) {
				break
			}
			g.Expect(err).NotTo(HaveOccurred())
			f.AddLoad(choice.Load(1000))
			if choice.First.Card == "slow" {
				slow++
			}
		}
	}
	g.Expect(slow).To(BeNumerically(">=", 16), "of 96; a VM that ignores the others sends none there")
}

func TestMovedRequestKeepsItsFirstPart(t *testing.T) {
	g := NewWithT(t)
	f := backends.New()
	f.Replace(0, []backends.Server{
		server("s1", "a", "slow", 0, 40), server("s2", "a", "fast", 0, 40), server("s3", "a", "fast", 40, 80), server("s4", "a", "fast", 40, 80),
	}, 1)
	first, err := f.Path(0, service(), backends.Request{DataCentre: "a", Prompt: 800, Answer: 200, Avoid: []string{"s2"}})
	g.Expect(err).NotTo(HaveOccurred())
	moved := request()
	moved.FixedFirst, moved.Avoid, moved.IgnoreCapacity = &first.Path[0], []string{"s3"}, true
	g.Expect(path(g, f, moved)).To(Equal("s1[0,40) s4[40,80)"))
}

// Guards against servers never getting requests again after they were cut off for some seconds:
// their entries expire and are written again under the same ID.
func TestRewrittenEntryReinstatesAServer(t *testing.T) {
	g := NewWithT(t)
	f := backends.New()
	first := server("s1", "a", "fast", 0, 80)
	first.Revision = 5
	f.Put(0, first)
	f.Remove(time.Second, "s1", 9)
	f.Put(time.Second, first)
	g.Expect(f.Servers("llm")).To(BeEmpty(), "an entry older than the departure")
	again := first
	again.Revision = 12
	f.Put(5*time.Second, again)
	g.Expect(f.Servers("llm")).To(HaveLen(1))
	f.ApplyDeparture(6*time.Second, backends.Departure{ID: "s1", Revision: 9})
	g.Expect(f.Servers("llm")).To(HaveLen(1), "the departure is older than the entry")
	f.ApplyDeparture(6*time.Second, backends.Departure{ID: "s1", Revision: 20})
	g.Expect(f.Servers("llm")).To(BeEmpty())
}

// Guards against requests that are refused with 421 by restarted servers: a delayed heartbeat of
// the old process is written after its entry was removed and its successor registered.
func TestLateHeartbeatDoesNotReinstateAReplacedProcess(t *testing.T) {
	g := NewWithT(t)
	f := backends.New()
	old := server("old", "a", "fast", 0, 80)
	old.Revision = 5
	f.Put(0, old)
	f.Remove(time.Second, "old", 9)
	again := server("new", "a", "fast", 0, 80)
	again.Address, again.Revision = old.Address, 10
	f.Put(2*time.Second, again)
	old.Revision = 12
	f.Put(3*time.Second, old)
	g.Expect(f.Servers("llm")).To(HaveLen(1))
	g.Expect(f.Servers("llm")[0].ID).To(Equal("new"))
}
