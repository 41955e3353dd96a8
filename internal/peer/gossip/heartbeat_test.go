package gossip

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/peer"
)

// Guards against VMs that started together writing their heartbeats for other data centres
// in the same round: each VM would merge the entries of all others within two seconds.
func TestRemoteHeartbeatsOfVMsThatStartTogetherAreSpread(t *testing.T) {
	const vms = 60
	g := NewWithT(t)
	written := make(map[uint64]int)
	for i := range vms {
		directory := peer.NewDirectory()
		identity := peer.Identity{Name: fmt.Sprint("vm-", i), Deployment: "test"}
		one := New(Options{
			Self: peer.Member{Name: identity.Name, DataCentre: "bornova"}, Incarnation: 1, Directory: directory,
			Dialer: peer.NewDialer(directory, identity, nil), Interval: time.Second,
			Contacts: func() []string { return nil }, Now: func() time.Duration { return 0 }, Seed: uint64(i),
		})
		one.beginRound()
		for other := range vms {
			one.vms.Add(0, fmt.Sprint("vm-", other), "bornova")
		}
		for one.round < 400 {
			one.beginRound()
			if one.lastHeartbeatRound == one.round {
				written[one.round]++
			}
		}
	}
	g.Expect(written).NotTo(BeEmpty())
	for round, count := range written {
		g.Expect(count).To(BeNumerically("<=", vms/6), "round %d", round)
	}
}
