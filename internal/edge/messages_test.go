package edge

import (
	"context"
	"net"
	"testing"
	"time"

	"connectrpc.com/connect"
	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/core/backends"
	"oleandershunt.example/oleandershunt/internal/core/budget"
	"oleandershunt.example/oleandershunt/internal/core/tally"
	"oleandershunt.example/oleandershunt/internal/peer"
	tallyv1 "oleandershunt.example/oleandershunt/internal/peer/gen/peer/tally/v1"
	"oleandershunt.example/oleandershunt/internal/peer/gen/peer/tally/v1/tallyv1connect"
	"oleandershunt.example/oleandershunt/internal/testutil"
)

// previousBuildHub answers with a message that a process of the previous build wrote.
type previousBuildHub struct {
	tallyv1connect.UnimplementedTallyServiceHandler
	response *tallyv1.TellResponse
	request  *tallyv1.TellRequest
}

func (h *previousBuildHub) Tell(_ context.Context, request *connect.Request[tallyv1.TellRequest]) (*connect.Response[tallyv1.TellResponse], error) {
	h.request = request.Msg
	return connect.NewResponse(h.response), nil
}

// The files hold messages of the previous build: 3 units and 2 requests on s1. Guards against loads
// that are taken off twice, or not at all, while an operator replaces the VMs.
func TestMessagesOfThePreviousBuildAreRead(t *testing.T) {
	g := NewWithT(t)
	old := &previousBuildHub{response: new(tallyv1.TellResponse)}
	testutil.ReadMessage(t, "testdata/previous-build/tally-response.hex", old.response)
	server := peer.NewServer(peer.Identity{Name: "vm-old", Deployment: deployment}, nil, func(string, string, error) {})
	server.Handle(tallyv1connect.NewTallyServiceHandler(old))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	serving := server.HTTPServer()
	go func() { _ = serving.Serve(listener) }()
	t.Cleanup(func() { _ = serving.Close() })
	directory := peer.NewDirectory()
	directory.Put(peer.Member{Name: "vm-old", DataCentre: "a", Address: listener.Addr().String()})
	vm := &tallyExchanger{
		self: "vm-new", dataCentre: "a", hub: tally.NewHub("a", 1, anyServer), view: tally.NewView(anyServer), proof: newProofTracker(),
		reachability: newReachabilityTracker(), dialer: peer.NewDialer(directory, peer.Identity{Name: "vm-new", Deployment: deployment}, nil),
	}
	own := tally.Tally{VMs: 1, Loads: map[string]backends.Usage{"s1": {Memory: tally.LoadUnit, Running: 1}}}
	response, err := vm.report(t.Context(), "vm-old", own, true)
	g.Expect(err).NotTo(HaveOccurred())
	load := backends.Usage{Memory: 3 * tally.LoadUnit, Running: 2}
	g.Expect(response.tally.Partial).To(BeFalse())
	g.Expect(response.tally.Loads).To(Equal(map[string]backends.Usage{"s1": load}), "the sum of the others as it is")
	g.Expect(response.unreachable).To(Equal([]string{"c"}))
	g.Expect(decodeTally(old.request.Tally, 0).Loads).To(Equal(own.Loads), "in the fields that it reads")

	var request, sum tallyv1.TellRequest
	testutil.ReadMessage(t, "testdata/previous-build/tally-request.hex", &request)
	testutil.ReadMessage(t, "testdata/previous-build/tally-sum.hex", &sum)
	vm.answer(time.Second, &sum, decodeTally(sum.Tally, time.Second))
	answer := decodeTally(vm.answer(time.Second, &request, decodeTally(request.Tally, time.Second)).Tally, time.Second)
	g.Expect(answer.Loads).To(Equal(map[string]backends.Usage{"s1": load}), "without its own")
	g.Expect(answer.Counts).To(Equal(map[string]budget.History{"llm": {{Requests: 40, Retries: 3}}}))
	g.Expect(answer.Full).To(Equal(map[string]time.Duration{"s9": 400 * time.Millisecond}))
}
