package edge

import (
	"context"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/core/tally"
	tallyv1 "oleandershunt.example/oleandershunt/internal/peer/gen/peer/tally/v1"
	"oleandershunt.example/oleandershunt/internal/relay"
)

// fakeFindings are the findings of a VM.
type fakeFindings struct{ list []relay.Finding }

func (f *fakeFindings) Findings() []relay.Finding            { return f.list }
func (f *fakeFindings) ReceiveFinding(finding relay.Finding) { f.list = append(f.list, finding) }

// Guards against VMs that restart and let a blocked request body crash servers again: they learn from
// their hub what is blocked, and a hub that restarts learns it from its VMs.
func TestStartedVMLearnsBlockedBodies(t *testing.T) {
	g := NewWithT(t)
	blocked := relay.Finding{Path: "app/x", Hash: 7, Crashes: 3, Condemned: true, Server: "s1"}
	newVM := func(findings ...relay.Finding) (*tallyExchanger, *fakeFindings) {
		store := &fakeFindings{findings}
		return &tallyExchanger{
			self: "vm-1", dataCentre: "a", hub: tally.NewHub("a", 1, anyServer), proof: newProofTracker(),
			reachability: newReachabilityTracker(), findings: store, log: logr.Discard(),
		}, store
	}
	tell := func(to *tallyExchanger, request *tallyv1.TellRequest) []byte {
		request.Vm, request.Tally = "vm-2", encodeTally(tally.Tally{VMs: 1}, time.Second)
		answer, err := to.Tell(context.Background(), connect.NewRequest(request))
		g.Expect(err).NotTo(HaveOccurred())
		return answer.Msg.GetFindings()
	}
	hub, _ := newVM(blocked)
	vm, learnt := newVM()
	vm.receiveFindings("vm-1", tell(hub, &tallyv1.TellRequest{Starting: true}))
	g.Expect(learnt.list).To(Equal([]relay.Finding{blocked}))
	g.Expect(tell(hub, &tallyv1.TellRequest{})).To(BeEmpty(), "a VM that runs knows them")

	restarted, passedOn := newVM()
	tell(restarted, &tallyv1.TellRequest{Findings: vm.encodeFindings()})
	g.Expect(passedOn.list).To(Equal([]relay.Finding{blocked}))
	vm.receiveFindings("vm-1", []byte("{"))
	g.Expect(learnt.list).To(HaveLen(1), "what can't be read is left out")
}
