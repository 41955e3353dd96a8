package gossip

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/core/digest"
	"oleandershunt.example/oleandershunt/internal/peer"
	membershipv1 "oleandershunt.example/oleandershunt/internal/peer/gen/peer/membership/v1"
	"oleandershunt.example/oleandershunt/internal/testutil"
)

// The files hold messages that a process of the previous build wrote: a VM with a gauge, an entry
// and five heartbeats. Guards against a change of the messages by which VMs of the two builds
// lose one another while an operator replaces them.
func TestMessagesOfThePreviousBuildAreRead(t *testing.T) {
	g := NewWithT(t)
	directory := peer.NewDirectory()
	one := New(Options{
		Self: peer.Member{Name: "vm-new", DataCentre: "bornova", Address: "127.0.0.1:2"}, Incarnation: 1, Directory: directory,
		Dialer: peer.NewDialer(directory, peer.Identity{Name: "vm-new", Deployment: "test"}, nil), Interval: time.Second,
		Contacts: func() []string { return nil }, Now: func() time.Duration { return time.Second },
	})
	messages := make(map[string]*membershipv1.Message)
	for _, name := range []string{"first", "reply", "deltas"} {
		messages[name] = new(membershipv1.Message)
		testutil.ReadMessage(t, "testdata/previous-build/gossip-"+name+".hex", messages[name])
	}
	reply := one.handleMessage("vm-old", messages["first"])
	g.Expect(reply.GetDigests()).NotTo(BeEmpty(), "it asks for what it lacks")
	one.handleMessage("vm-old", messages["deltas"])
	one.handleMessage("vm-old", messages["reply"])
	member, ok := directory.Member("vm-old")
	g.Expect(ok).To(BeTrue())
	g.Expect(member.Cores).To(Equal(0.8))
	value, _ := one.store.Entry("vm-old", digest.State, "s/runner")
	g.Expect(string(value)).To(Equal("leaving"))
	g.Expect(one.store.Watermarks("bornova", digest.Local)).To(ContainElement(HaveField("Version", BeEquivalentTo(5))))
}
