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
