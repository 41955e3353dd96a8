package backends_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/core/backends"
)

// Guards against one server of a plain service having a queue while the others of its data centre
// are idle: 30 VMs send occasional requests, and each VM without running requests sees all servers
// as idle and takes the first one.
func TestManyVMsBalanceAPlainService(t *testing.T) {
	g := NewWithT(t)
	const vms, servers, stay = 30, 3, 60 * time.Millisecond
	random := rand.New(rand.NewPCG(1, 2))
	var fleets []*backends.Fleet
	for range vms {
		f := backends.New()
		for i := range servers {
			id := fmt.Sprint("p", i)
			f.Put(0, backends.Server{ID: id, Service: "app", Address: id + ":1", DataCentre: "a", Slots: 6})
		}
		f.SetRemoteUsage(nil, vms-1)
		fleets = append(fleets, f)
	}
	sent := make(map[string]int)
	ends := make(map[time.Duration][]func())
	for now := time.Duration(0); now < 20*time.Second; now += 10 * time.Millisecond {
		for _, end := range ends[now] {
			end()
		}
		f := fleets[random.IntN(vms)]
		choice, err := f.Instance(now, "app", request())
		g.Expect(err).NotTo(HaveOccurred())
		sent[choice.First.ID]++
		load := choice.Load(0)
		f.AddLoad(load)
		ends[now+stay] = append(ends[now+stay], func() { f.RemoveLoad(load) })
	}
	t.Logf("%v", sent)
	for id, n := range sent {
		g.Expect(n).To(BeNumerically("<", 900), "%s got more than its share of 2,000", id)
	}
}

// Guards against requests to a plain service being sent to servers whose queues are full: they
// reject them, and each rejection costs a retry.
func TestAPlainServiceWhoseServersAreAllBusyIsFull(t *testing.T) {
	g := NewWithT(t)
	f := backends.New()
	for _, id := range []string{"p1", "p2"} {
		f.Put(0, backends.Server{ID: id, Service: "app", Address: id + ":1", DataCentre: "a", Slots: 3})
	}
	for i := range 12 { // as many queue as run
		choice, err := f.Instance(0, "app", request())
		g.Expect(err).NotTo(HaveOccurred(), "request %d", i)
		f.AddLoad(choice.Load(0))
	}
	_, err := f.Instance(0, "app", request())
	g.Expect(err).To(MatchError(backends.ErrFull))
	f.RemoveLoad(backends.Load{First: "p2"})
	choice, err := f.Instance(0, "app", request())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(choice.First.ID).To(Equal("p2"))
}

// Guards against a request that is larger than the memory of any server waiting for capacity that
// never comes: an idle server decides about it itself.
func TestAnIdleServerTakesARequestOfAnySize(t *testing.T) {
	g := NewWithT(t)
	f := backends.New()
	f.Put(0, server("s1", "a", "fast", 0, 80))
	large := request()
	large.Prompt = 1e9
	choice, err := f.Path(0, service(), large)
	g.Expect(err).NotTo(HaveOccurred())
	f.AddLoad(choice.Load(large.Prompt))
	_, err = f.Path(0, service(), request())
	g.Expect(err).To(MatchError(backends.ErrFull))
}
