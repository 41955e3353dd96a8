package edge

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/core/lease"
	"oleandershunt.example/oleandershunt/internal/peer"
	"oleandershunt.example/oleandershunt/internal/peer/gossip"
)

// Guards against ranking all VMs of the deployment twenty times a second: the ranks are made
// again only when a VM comes, goes or starts to leave.
func TestMembershipIsRankedOnceUntilItChanges(t *testing.T) {
	g := NewWithT(t)
	directory := peer.NewDirectory()
	identity := peer.Identity{Name: "vm-0", Deployment: deployment}
	self := peer.Member{Name: "vm-0", DataCentre: "a", Deployment: deployment, Cores: 1}
	members := &membershipCache{directory: directory, dataCentre: "a", gossip: gossip.New(gossip.Options{
		Self: self, Incarnation: 1, Directory: directory, Dialer: peer.NewDialer(directory, identity, nil), Interval: time.Second,
		Contacts: func() []string { return nil }, Now: func() time.Duration { return time.Second },
	})}
	first := members.current()
	g.Expect(first.local).To(Equal([]lease.VM{{Name: "vm-0", DataCentre: "a", Cores: 1}}))
	ranked := first.rankAll("tally", "a")
	for i := range 100 {
		directory.Update("vm-0", func(m *peer.Member) { m.Release = uint64(i) }) // as with every message
		g.Expect(members.current()).To(BeIdenticalTo(first))
		g.Expect(&members.current().rankAll("tally", "a")[0]).To(BeIdenticalTo(&ranked[0]), "ranked again")
	}
	directory.Update("vm-0", func(m *peer.Member) { m.Leaving = true })
	g.Expect(members.current().live).To(BeEmpty(), fmt.Sprint(members.current().live))
}
