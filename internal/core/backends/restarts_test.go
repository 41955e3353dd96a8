package backends_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/core/backends"
	"oleandershunt.example/oleandershunt/internal/core/history"
)

// s1Process is the process of server s1 that started at the given time. It holds the first layers.
func s1Process(started string, revision history.Version) backends.Server {
	s := server("s1@"+started, "a", "fast", 0, 40)
	s.Name, s.Address, s.Revision = "s1", "s1:1", revision
	return s
}

// Guards against an idle, healthy server getting no requests for seconds, or too many, after a
// restart under the same name: requests of the former process still end, and other VMs still report
// its state.
func TestServerStateEndsWithItsProcess(t *testing.T) {
	g := NewWithT(t)
	f := backends.New()
	f.Put(0, server("s2", "a", "fast", 40, 80))
	f.Put(0, s1Process("1", 1))
	before, err := f.Path(0, service(), request())
	g.Expect(err).NotTo(HaveOccurred())
	load := before.Load(1000)
	f.AddLoad(load)
	f.Suspect(0, "s1@1", time.Minute)
	f.MarkUnresponsive(0, "s1@1", time.Minute)
	f.SetPace(0, "s1@1", 9)
	f.MarkFull(0, "s1@1")

	f.Put(time.Second, s1Process("2", 2))
	choice, err := f.Path(time.Second, service(), request())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(choice.First.ID).To(Equal("s1@2"))
	g.Expect(choice.First.Name).To(Equal("s1"))
	g.Expect(f.Pace(time.Second, "s1@2")).To(Equal(1.0))
	g.Expect(f.IsUnresponsive(time.Second, "s1@2")).To(BeFalse())
	g.Expect(f.MemoryUtilisation(service().Engine, "s1@2")).To(BeZero())
	_, former := f.Server("s1@1")
	g.Expect(former).To(BeFalse())

	f.AddLoad(choice.Load(1000))
	used := f.MemoryUtilisation(service().Engine, "s1@2")
	f.RemoveLoad(load)
	f.ApplyDeparture(time.Second, backends.Departure{ID: "s1@1"})
	f.Suspect(time.Second, "s1@1", time.Minute)
	g.Expect(f.MemoryUtilisation(service().Engine, "s1@2")).To(Equal(used), "the load of the former process isn't counted")
	g.Expect(f.Servers("llm")).To(HaveLen(2))

	f.Put(2*time.Second, s1Process("1", 1))
	g.Expect(f.Servers("llm")[0].ID).To(Equal("s1@2"), "a late entry of the former process")
	f.Remove(2*time.Second, "s1", 3)
	g.Expect(f.Servers("llm")).To(HaveLen(1), "the removed entry stands for every process of the server")
}

// Guards against a healthy server getting no requests after another program writes a newer entry
// with its address, for a service that isn't configured.
func TestEntryOfAnUnknownServiceReplacesNoServer(t *testing.T) {
	g := NewWithT(t)
	f := backends.New()
	f.Put(0, server("s2", "a", "fast", 40, 80))
	f.SetServices([]string{"app", "llm"})
	f.Put(0, server("s1", "a", "fast", 0, 40))
	other := server("x", "a", "fast", 0, 40)
	other.Address, other.Service, other.Revision = "s1:1", "nobody's", 9
	f.Put(0, other)
	g.Expect(f.Servers("llm")).To(HaveLen(2))
	other.ID, other.Name, other.Service = "y", "y", "app"
	f.Put(0, other)
	g.Expect(f.Servers("llm")).To(HaveLen(1), "another configured service reuses the address")
}

// Guards against all requests going to one server and failing: its entry names a kind of
// accelerator that isn't configured, and the pace of that kind counts as 0.
func TestServerWithUnknownCardIsNotUsed(t *testing.T) {
	g := NewWithT(t)
	f := backends.New()
	f.Put(0, server("s2", "a", "fast", 40, 80))
	f.Put(0, server("s1", "a", "fast", 0, 40))
	f.Put(0, server("s0", "a", "other", 0, 80))
	g.Expect(path(g, f, request())).To(Equal("s1[0,40) s2[40,80)"))
}
