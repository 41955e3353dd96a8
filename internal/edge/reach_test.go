package edge

import (
	"context"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/core/lease"
	"oleandershunt.example/oleandershunt/internal/core/tally"
	"oleandershunt.example/oleandershunt/internal/peer"
	"oleandershunt.example/oleandershunt/internal/peer/gen/peer/tally/v1/tallyv1connect"
)

// Symptom: for three seconds after a data centre is cut off, the VMs of all others go on
// opening connections to its servers, 700 attempts fail, and the repeats of all are used up.
// Sequence: its VMs stop answering, or their connections are refused; later one answers
// again. Cause: each VM finds out for itself, server by server.
func TestAHubFindsThatADataCentreIsOutOfReach(t *testing.T) {
	g := NewWithT(t)
	directory := peer.NewDirectory()
	identity := peer.Identity{Name: "a1", Deployment: deployment}
	hub := &tallies{
		self: "a1", dataCentre: "a", hub: tally.NewHub("a"), proof: newProofKeeper(), reaches: newReaches(),
		dialer: peer.NewDialer(directory, identity, nil),
	}
	far := []string{"b1", "b2", "b3"}
	for i, vm := range far {
		silent, err := net.Listen("tcp", "127.0.0.1:0") // connections are made, nothing is read
		g.Expect(err).NotTo(HaveOccurred())
		t.Cleanup(func() { _ = silent.Close() })
		if i == 0 {
			g.Expect(silent.Close()).To(Succeed()) // connections are refused
		}
		directory.Put(peer.Member{Name: vm, DataCentre: "b", Address: silent.Addr().String()})
	}
	hub.tellFar(context.Background(), "b", far)
	g.Eventually(hub.reaches.lost, "2s").Should(Equal([]string{"b"}))

	other := &tallies{self: "b1", dataCentre: "b", hub: tally.NewHub("b"), proof: newProofKeeper(), reaches: newReaches()}
	server := peer.NewServer(peer.Identity{Name: "b4", Deployment: deployment}, nil, func(string, string, error) {})
	server.Handle(tallyv1connect.NewTallyServiceHandler(other))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	serving := server.HTTPServer()
	go func() { _ = serving.Serve(listener) }()
	t.Cleanup(func() { _ = serving.Close() })
	directory.Put(peer.Member{Name: "b4", DataCentre: "b", Address: listener.Addr().String()})
	hub.reaches.reach.RecordNoAnswer(time.Hour, "b", "b1", 3) // the loss would not end by itself
	hub.tellFar(context.Background(), "b", []string{"b4"})
	g.Expect(hub.reaches.lost()).To(BeEmpty())
}

// Symptom: a data centre that is cut off is tried again by all VMs a second later. Sequence:
// its VMs count as dead by then. Cause: what isn't known to live isn't asked.
func TestADataCentreWithoutLivingVMsIsStillAsked(t *testing.T) {
	g := NewWithT(t)
	r := newReaches()
	vm := func(name, dataCentre string) lease.VM { return lease.VM{Name: name, DataCentre: dataCentre} }
	all := []lease.VM{vm("a1", "a"), vm("b2", "b"), vm("b1", "b"), vm("c1", "c")}
	g.Expect(r.update(0, all, "a")["b"].names).To(Equal([]string{"b2", "b1"}))
	later := r.update(farKept, all[:1], "a")
	g.Expect(later).To(HaveLen(2))
	g.Expect(later["b"].names).To(Equal([]string{"b2", "b1"}))
	g.Expect(r.update(farKept+time.Second, all[:1], "a")).To(BeEmpty(), "it has left for good")
}
