package edge

import (
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/bootclock"
	"oleandershunt.example/oleandershunt/internal/peer"
	"oleandershunt.example/oleandershunt/internal/peer/gen/peer/config/v1/configv1connect"
	objects "oleandershunt.example/oleandershunt/internal/platform"
)

// Guards against all VMs of a deployment reading the configuration from the platform after a
// power loss, because their contact, which started at the same moment, has none yet.
func TestStartingContactIsWaitedFor(t *testing.T) {
	g := NewWithT(t)
	contact := newProofTracker()
	server := peer.NewServer(peer.Identity{Name: "vm-1", Deployment: deployment}, nil, func(string, string, error) {})
	server.Handle(configv1connect.NewConfigServiceHandler(&configService{proofs: contact}))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	serving := server.HTTPServer()
	go func() { _ = serving.Serve(listener) }()
	t.Cleanup(func() { _ = serving.Close() })
	peers := &configPeers{
		dialer:   peer.NewDialer(peer.NewDirectory(), peer.Identity{Name: "vm-2", Deployment: deployment}, nil),
		contacts: []string{listener.Addr().String()},
	}
	time.AfterFunc(4*startupWait, func() {
		contact.recordProof(7, objects.Object{Value: []byte("{}")}, bootclock.Now())
	})
	var learnt []uint64
	peers.queryContacts(t.Context(), startupWait, func(state configState) { learnt = append(learnt, state.configVersion) })
	g.Expect(learnt).To(Equal([]uint64{7}))
}

// Guards against a VM that reads the platform because its contact listens a moment later than
// itself.
func TestContactsAreQueriedAgainWhileTheyStart(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	address := listener.Addr().String()
	g.Expect(listener.Close()).To(Succeed())
	contact := newProofTracker()
	contact.recordProof(7, objects.Object{Value: []byte("{}")}, bootclock.Now())
	server := peer.NewServer(peer.Identity{Name: "vm-1", Deployment: deployment}, nil, func(string, string, error) {})
	server.Handle(configv1connect.NewConfigServiceHandler(&configService{proofs: contact}))
	serving := server.HTTPServer()
	t.Cleanup(func() { _ = serving.Close() })
	started := make(chan error, 1)
	time.AfterFunc(4*startRetryInterval, func() {
		listener, err := net.Listen("tcp", address)
		started <- err
		if err == nil {
			_ = serving.Serve(listener)
		}
	})
	peers := &configPeers{
		dialer:   peer.NewDialer(peer.NewDirectory(), peer.Identity{Name: "vm-2", Deployment: deployment}, nil),
		contacts: []string{address},
	}
	g.Expect(peers.queryContacts(t.Context(), startupWait, func(configState) {})).To(BeTrue())
	g.Expect(<-started).To(Succeed())
}

// Guards against reads that fail because all VMs read at once and that go on at the same pace.
func TestReadsOfStartingVMsBecomeFewer(t *testing.T) {
	g := NewWithT(t)
	for failures, limit := range []time.Duration{readRetryInterval, 2 * readRetryInterval, 4 * readRetryInterval, 8 * readRetryInterval, 8 * readRetryInterval} {
		for range 100 {
			g.Expect(startReadDelay(failures)).To(BeNumerically("~", limit, limit/2))
		}
	}
}
