package edge

import (
	"bytes"
	"net"
	"net/http"
	"strings"
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
	for failures, limit := range []time.Duration{startReadInterval, 2 * startReadInterval, 4 * startReadInterval, 8 * startReadInterval, 8 * startReadInterval} {
		for range 100 {
			g.Expect(startReadDelay(failures)).To(BeNumerically("~", limit, limit/2))
		}
	}
}

// serveConfig serves a VM's configuration to others, and returns a client of it in its data centre.
func serveConfig(t *testing.T, proofs *proofTracker) *configPeers {
	g := NewWithT(t)
	server := peer.NewServer(peer.Identity{Name: "vm-1", Deployment: deployment}, nil, func(string, string, error) {})
	server.Handle(configv1connect.NewConfigServiceHandler(&configService{proofs: proofs}, handlerOptions))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	serving := server.HTTPServer()
	go func() { _ = serving.Serve(listener) }()
	t.Cleanup(func() { _ = serving.Close() })
	directory := peer.NewDirectory()
	directory.Put(peer.Member{Name: "vm-1", DataCentre: "a", Address: listener.Addr().String()})
	return &configPeers{
		dialer: peer.NewDialer(directory, peer.Identity{Name: "vm-2", Deployment: deployment}, nil),
		self:   "vm-2", ranked: func() []string { return []string{"vm-1", "vm-2"} },
	}
}

// Guards against all VMs of a data centre reading the configuration from the platform after a
// power loss because the VM that reads for them has none yet, and against waiting for it for ever.
func TestStartingVMIsWaitedForAFewTimes(t *testing.T) {
	g := NewWithT(t)
	upstream := newProofTracker()
	c := &configReader{
		options: Options{current: newCurrentSettings(Settings{ConfigApplyTime: 100 * time.Millisecond})},
		proofs:  newProofTracker(), peers: serveConfig(t, upstream),
	}
	for range maxStartWaits {
		g.Expect(c.followStarting(t.Context())).To(BeTrue(), "no read of the platform")
	}
	g.Expect(c.followStarting(t.Context())).To(BeFalse(), "its upstream can't read the platform, or is gone")
	upstream.recordProof(7, objects.Object{Value: []byte("{}")}, bootclock.Now())
	var learnt []uint64
	learn := func(state configState) { learnt = append(learnt, state.configVersion) }
	answered, starting := c.peers.follow(t.Context(), "vm-1", configState{}, 0, peerQueryTimeout, learn)
	g.Expect(learnt).To(Equal([]uint64{7}))
	g.Expect(answered).To(BeTrue())
	g.Expect(starting).To(BeFalse())
}

// Guards against compressing answers that have nothing new, with tables larger than they are.
func TestOnlyLargeAnswersAreCompressed(t *testing.T) {
	g := NewWithT(t)
	for size, encoding := range map[int]string{20: "", compressMinBytes: "gzip"} {
		proofs := newProofTracker()
		proofs.recordProof(7, objects.Object{Value: bytes.Repeat([]byte("x"), size)}, bootclock.Now())
		client, url, err := serveConfig(t, proofs).dialer.Endpoint("vm-1")
		g.Expect(err).NotTo(HaveOccurred())
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url+configv1connect.ConfigServiceInForceProcedure, strings.NewReader("{}"))
		g.Expect(err).NotTo(HaveOccurred())
		request.Header.Set("Content-Type", "application/json")
		request.Header.Set("Accept-Encoding", "gzip")
		response, err := client.Do(request)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(response.Body.Close()).To(Succeed())
		g.Expect(response.StatusCode).To(Equal(http.StatusOK))
		g.Expect(response.Header.Get("Content-Encoding")).To(Equal(encoding), "%d bytes", size)
	}
}
