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
		Layers: 80, LayerMB: 1750, TokenBytes: 918_000, Step: time.Millisecond, ReadPerSecond: 105_000, Prompt: 800, Answer: 200,
		Cards: map[string]routes.Card{"fast": {MB: 72_000, Pace: 2.4, Read: 3.2}, "slow": {MB: 72_000, Pace: 16, Read: 8}},
	}}
}

func server(id, dataCentre, card string, from, to int) backends.Server {
	return backends.Server{
		ID: id, Name: id, Service: "llm", Address: id + ":1", DataCentre: dataCentre, Card: card,
		Holds: []backends.Held{{Layers: api.Layers{From: from, To: to}, Version: 1}},
	}
}

func request() backends.Request { return backends.Request{DataCentre: "a", Prompt: 800, Answer: 200} }

func path(g *WithT, f *backends.Fleet, r backends.Request) string {
	choice, err := f.Path(0, service(), r)
	g.Expect(err).NotTo(HaveOccurred())
	return choice.Path.String()
}

func TestTheFastestPathOfTheDataCentreIsTaken(t *testing.T) {
	g := NewWithT(t)
	f := backends.New()
	f.Replace(0, []backends.Server{
		server("s1", "a", "fast", 0, 40), server("s2", "a", "fast", 40, 80), server("s3", "a", "slow", 0, 40),
		server("s4", "b", "fast", 0, 40), server("s5", "b", "fast", 40, 80),
	}, 1)
	g.Expect(path(g, f, request())).To(Equal("s1[0,40) s2[40,80)"))
	f.Suspect(0, "s1", time.Second)
	g.Expect(path(g, f, request())).To(Equal("s3[0,40) s2[40,80)"), "half of it slow rather than in another data centre")
	f.Put(0, server("s6", "a", "slow", 40, 80))
	f.Suspect(0, "s2", time.Second)
	g.Expect(path(g, f, request())).To(Equal("s4[0,40) s5[40,80)"), "whole in the other data centre rather than all of it slow")
}

// Symptom: answers take twice as long on a fleet with room. Sequence: a data
// centre's servers are loaded, paths go on in another one for some layers. Cause:
// crossings look cheaper than loaded servers, and fill the pipe.
func TestAPathCrossesOnlyWhereNoDataCentreHasAllLayers(t *testing.T) {
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

// Symptom: requests are offered to servers behind a cut, and their repeats are used up there.
// Sequence: the way to a data centre is lost; the only fast path lies in it. Cause: what is
// known of the way isn't used for the choice. It isn't believed for longer than it is told.
func TestServersOutOfReachGetNothing(t *testing.T) {
	g := NewWithT(t)
	f := backends.New()
	f.Replace(0, []backends.Server{
		server("s1", "a", "slow", 0, 40), server("s2", "a", "slow", 40, 80),
		server("s3", "b", "fast", 0, 40), server("s4", "b", "fast", 40, 80),
		{ID: "p1", Service: "plain", DataCentre: "b", Slots: 6},
	}, 1)
	g.Expect(path(g, f, request())).To(Equal("s3[0,40) s4[40,80)"))
	f.Unreached(0, []string{"a", "b"})
	g.Expect(path(g, f, request())).To(Equal("s1[0,40) s2[40,80)"), "its own data centre is always reached")
	_, err := f.Instance(0, "plain", request())
	g.Expect(errors.Is(err, backends.ErrNoServer)).To(BeTrue())
	_, err = f.Instance(time.Second, "plain", request())
	g.Expect(err).NotTo(HaveOccurred(), "nobody says so any more")
	f.Unreached(0, nil)
	g.Expect(path(g, f, request())).To(Equal("s3[0,40) s4[40,80)"))
}

// Symptom: servers refuse requests for want of memory though others have room.
// Sequence: VMs of a data centre choose the same path. Cause: none knows what the
// others put there.
func TestWhatOtherVMsPutOnAServerCounts(t *testing.T) {
	g := NewWithT(t)
	f := backends.New()
	f.Replace(0, []backends.Server{
		server("s1", "a", "fast", 0, 40), server("s2", "a", "fast", 40, 80), server("s3", "a", "fast", 40, 80),
	}, 1)
	g.Expect(path(g, f, request())).To(Equal("s1[0,40) s2[40,80)"))
	f.Heard(map[string]backends.Usage{"s2": {Memory: 160_000}}, 1)
	g.Expect(path(g, f, request())).To(Equal("s1[0,40) s3[40,80)"))
	f.Heard(map[string]backends.Usage{"s2": {Memory: 900_000}}, 1)
	f.Full(0, "s3")
	_, err := f.Path(0, service(), request())
	g.Expect(err).To(MatchError(backends.ErrFull), "none of them has room")
	forced := request()
	forced.Force = true
	g.Expect(path(g, f, forced)).To(HavePrefix("s1[0,40) "))
	f.Heard(nil, 0)
	g.Expect(path(g, f, request())).To(Equal("s1[0,40) s2[40,80)"))
}

// Symptom: a server counts as full that hardly works. Sequence: many requests run
// a few of its layers. Cause: each is counted with the memory of all of them.
func TestARequestTakesMemoryForItsLayersOnly(t *testing.T) {
	g := NewWithT(t)
	load := backends.Choice{Path: chain.Path{
		{ID: "s1", Layers: api.Layers{From: 0, To: 5}}, {ID: "s2", Layers: api.Layers{From: 5, To: 80}},
	}}.Load(1000)
	g.Expect(load.Parts).To(Equal([]backends.LoadPart{{ID: "s1", Memory: 5_000}, {ID: "s2", Memory: 75_000}}))
}

func TestAFullPathIsToldFromNone(t *testing.T) {
	g := NewWithT(t)
	f := backends.New()
	f.Replace(0, []backends.Server{server("s1", "a", "fast", 0, 40), server("s2", "a", "fast", 40, 80)}, 1)
	f.Full(0, "s2")
	_, err := f.Path(0, service(), request())
	g.Expect(errors.Is(err, backends.ErrFull)).To(BeTrue())
	forced := request()
	forced.Force = true
	g.Expect(path(g, f, forced)).To(Equal("s1[0,40) s2[40,80)"))
	f.Remove(0, "s2", 1)
	_, err = f.Path(0, service(), request())
	g.Expect(errors.Is(err, backends.ErrNoServer)).To(BeTrue())
	_, err = f.Path(0, service(), forced)
	g.Expect(errors.Is(err, backends.ErrNoServer)).To(BeTrue())
	g.Expect(err.Error()).To(ContainSubstring("[40,80)"), "the last look says which layers")
}

// Symptom: requests go to a server that has stopped. Sequence: it drains, and an
// old list or a late event shows it ready again. Cause: the last word heard wins.
func TestAServerThatLeavesDoesNotComeBack(t *testing.T) {
	g := NewWithT(t)
	f := backends.New()
	f.Put(0, server("s1", "a", "fast", 0, 80))
	f.Leave(0, backends.Departure{ID: "s1"})
	f.Put(time.Second, server("s1", "a", "fast", 0, 80))
	g.Expect(f.Servers("llm")).To(BeEmpty())
	g.Expect(f.News()).To(BeEmpty(), "another VM knew it first")
	f.Put(time.Second, server("s2", "a", "fast", 0, 80))
	f.Remove(time.Second, "s2", 1)
	g.Expect(f.News()).To(Equal([]backends.Departure{{ID: "s2", Revision: 1}}))
	g.Expect(f.News()).To(BeEmpty())
}

// Symptom: requests are refused with 421 for two seconds after the store is back.
// Sequence: a server restarted during the outage; its old entry is missing and
// kept for a grace. Cause: the new process at its address isn't taken as proof.
func TestANewProcessAtAnAddressEndsTheOldOne(t *testing.T) {
	g := NewWithT(t)
	f := backends.New()
	f.Put(0, server("old", "a", "fast", 0, 80))
	f.Outage()
	f.Back(time.Second)
	f.Remove(time.Second, "old", 1)
	g.Expect(f.Servers("llm")).To(HaveLen(1), "it may only have lapsed")
	again := server("new", "a", "fast", 0, 80)
	again.Address = "old:1"
	f.Put(time.Second, again)
	g.Expect(f.Servers("llm")).To(HaveLen(1))
	g.Expect(f.Servers("llm")[0].ID).To(Equal("new"))
}

// Symptom: a server that came back after a crash gets no request on any VM for good.
// Sequence: a VM starts and reads the entries of the crashed process and of its
// successor in one list. Cause: the one read last ends the other, and the other VMs
// are told.
func TestOfTwoEntriesAtAnAddressTheNewerOneCounts(t *testing.T) {
	old, again := server("old", "a", "fast", 0, 80), server("new", "a", "fast", 0, 80)
	old.Revision, again.Revision, again.Address = 5, 9, old.Address
	for _, list := range [][]backends.Server{{old, again}, {again, old}} {
		g := NewWithT(t)
		f := backends.New()
		f.Replace(0, list, 10)
		g.Expect(f.Servers("llm")).To(Equal([]backends.Server{again}))
		g.Expect(f.News()).To(BeEmpty())
	}
}

// Symptom: first events are late though servers idle. Sequence: a server works at a
// quarter of its speed; it says so when asked. Cause: its entry is all that counts.
func TestASlowServerGetsLessUntilItIsFastAgain(t *testing.T) {
	g := NewWithT(t)
	f := backends.New()
	f.Replace(0, []backends.Server{server("s1", "a", "fast", 0, 40), server("s2", "a", "fast", 0, 40), server("s3", "a", "fast", 40, 80)}, 1)
	g.Expect(path(g, f, request())).To(Equal("s1[0,40) s3[40,80)"))
	f.Paced(time.Second, "s1", 4)
	f.Paced(time.Second, "s3", 1)
	at := func(now time.Duration) string {
		choice, err := f.Path(now, service(), request())
		g.Expect(err).NotTo(HaveOccurred())
		return choice.Path.String()
	}
	g.Expect(at(time.Second)).To(Equal("s2[0,40) s3[40,80)"))
	g.Expect(f.Paces(time.Second, time.Second)).To(Equal(map[string]float64{"s1": 4}))
	g.Expect(f.Slow(3*time.Second, time.Second)).To(HaveLen(1), "asked again")
	f.Paced(3*time.Second, "s1", 1)
	g.Expect(at(3 * time.Second)).To(Equal("s1[0,40) s3[40,80)"))
	g.Expect(f.Paces(3*time.Second, time.Second)).To(Equal(map[string]float64{"s1": 1}), "others know it as slow")
	g.Expect(f.Slow(5*time.Second, time.Second)).To(BeEmpty())
}

// Symptom: a range without a holder is not covered for two seconds after the platform's
// outage. Sequence: a server falls silent; the platform is away until its entry has
// lapsed; then lapsed entries are given time to come back. Cause: what other servers
// found before is forgotten.
func TestAServerThatFellSilentBeforeAnOutageIsNotWaitedFor(t *testing.T) {
	g := NewWithT(t)
	f := backends.New()
	f.Replace(time.Second, []backends.Server{server("s1", "a", "fast", 0, 40), server("s2", "a", "fast", 40, 80)}, 1)
	f.Dark(2*time.Second, "s1", 4*time.Second)
	g.Expect(f.IsDark(3*time.Second, "s1")).To(BeTrue())
	f.Outage()
	g.Expect(f.IsDark(8*time.Second, "s1")).To(BeFalse(), "its entry is there as far as this VM knows")
	f.Back(12 * time.Second)
	f.Replace(12*time.Second, nil, 9)
	g.Expect(f.IsDark(12*time.Second, "s1")).To(BeTrue())
	g.Expect(f.IsDark(12*time.Second, "s2")).To(BeFalse())
	again := server("s1", "a", "fast", 0, 40)
	again.Revision = 12
	f.Put(13*time.Second, again)
	g.Expect(f.IsDark(13*time.Second, "s1")).To(BeFalse(), "it has written its entry again")
}

// Symptom: a server counts as slow for ever. Sequence: two VMs tell one another what
// each heard. Cause: a word that goes round looks new each time.
func TestAPaceThatWasHeardIsNotPassedOn(t *testing.T) {
	g := NewWithT(t)
	f := backends.New()
	f.Put(0, server("s1", "a", "fast", 0, 80))
	f.HeardPace(time.Second, "s1", 4)
	g.Expect(f.Paces(time.Second, time.Second)).To(BeEmpty())
	g.Expect(f.Pace(time.Second, "s1")).To(Equal(4.0))
	g.Expect(f.Pace(10*time.Second, "s1")).To(Equal(1.0), "old word")
}

// Symptom: first events are a second late right after a loss of power. Sequence: the
// callers of all VMs come back within a moment; each VM finds the same path the
// cheapest. Cause: what the others put there since they told it isn't thought of.
func TestVMsThatChooseAtOnceSpreadOut(t *testing.T) {
	g := NewWithT(t)
	fleets := make([]*backends.Fleet, 8)
	for i := range fleets {
		fleets[i] = backends.New()
		fleets[i].Replace(0, []backends.Server{
			server("s1", "a", "fast", 0, 40), server("s2", "a", "fast", 40, 80),
			server("t1", "a", "slow", 0, 20), server("t2", "a", "slow", 20, 40), server("t3", "a", "slow", 40, 60), server("t4", "a", "slow", 60, 80),
		}, 1)
		fleets[i].Heard(nil, len(fleets)-1)
	}
	slow := 0
	for _, f := range fleets {
		f.Loads()
		for range 12 {
			choice, err := f.Path(0, service(), request())
			if errors.Is(err, backends.ErrFull) {
				break
			}
			g.Expect(err).NotTo(HaveOccurred())
			f.Begin(choice.Load(1000))
			if choice.First.Card == "slow" {
				slow++
			}
		}
	}
	g.Expect(slow).To(BeNumerically(">=", 16), "of 96, each VM alone would send none there")
}

func TestMovedRequestsKeepTheirFirstPart(t *testing.T) {
	g := NewWithT(t)
	f := backends.New()
	f.Replace(0, []backends.Server{
		server("s1", "a", "slow", 0, 40), server("s2", "a", "fast", 0, 40), server("s3", "a", "fast", 40, 80), server("s4", "a", "fast", 40, 80),
	}, 1)
	first, err := f.Path(0, service(), backends.Request{DataCentre: "a", Prompt: 800, Answer: 200, Avoid: []string{"s2"}})
	g.Expect(err).NotTo(HaveOccurred())
	moved := request()
	moved.Keep, moved.Avoid, moved.Force = &first.Path[0], []string{"s3"}, true
	g.Expect(path(g, f, moved)).To(Equal("s1[0,40) s4[40,80)"))
}

// Symptom: servers that were cut off for some seconds never get a request again.
// Sequence: their entries lapse, the cut heals, they write their entries again under
// the same ID. Cause: an ID that left is taken to be gone for good.
func TestAServerWhoseEntryIsWrittenAgainIsBack(t *testing.T) {
	g := NewWithT(t)
	f := backends.New()
	first := server("s1", "a", "fast", 0, 80)
	first.Revision = 5
	f.Put(0, first)
	f.Remove(time.Second, "s1", 9)
	f.Put(time.Second, first)
	g.Expect(f.Servers("llm")).To(BeEmpty(), "an old word")
	again := first
	again.Revision = 12
	f.Put(5*time.Second, again)
	g.Expect(f.Servers("llm")).To(HaveLen(1))
	f.Leave(6*time.Second, backends.Departure{ID: "s1", Revision: 9})
	g.Expect(f.Servers("llm")).To(HaveLen(1), "another VM's word is older than the entry")
	f.Leave(6*time.Second, backends.Departure{ID: "s1", Revision: 20})
	g.Expect(f.Servers("llm")).To(BeEmpty())
}

// Symptom: requests are refused with 421 by servers that crashed and came back.
// Sequence: a new process registers; a sign of life of the old one, under way for
// seconds, is written after its entry was removed. Cause: it is taken for a return.
func TestALateSignOfLifeBringsNobodyBack(t *testing.T) {
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
