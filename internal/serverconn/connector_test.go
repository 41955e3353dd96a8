package serverconn_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/go-logr/logr/funcr"
	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/bootclock"
	"oleandershunt.example/oleandershunt/internal/core/reach"
	"oleandershunt.example/oleandershunt/internal/serverconn"
	"oleandershunt.example/oleandershunt/internal/tunnel"
	"oleandershunt.example/oleandershunt/internal/wire"
)

const service = "llm"

// errSilent makes a direct connect get no response.
var errSilent = errors.New("silent")

// rig is a connector whose direct paths and whose tunnels fail as the test says.
type rig struct {
	*WithT
	connector *serverconn.Connector
	// servers are the addresses of two servers that answer with the request's body.
	servers []string

	mu sync.Mutex
	// direct are the errors of direct connects by address, and through that of tunnels.
	direct  map[string]error
	through error
	// tunnels counts the tunnels that were opened, and dials the direct connects.
	tunnels, dials int
	logged         []string
}

func newRig(t *testing.T) *rig {
	r := &rig{WithT: NewWithT(t), direct: make(map[string]error)}
	for range 2 {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) { _, _ = io.Copy(w, request.Body) }))
		t.Cleanup(server.Close)
		r.servers = append(r.servers, strings.TrimPrefix(server.URL, "http://"))
	}
	r.connector = serverconn.New(serverconn.Options{Log: funcr.New(r.observeLog, funcr.Options{}), Dial: r.dialDirect, Now: bootclock.Now, Service: func(string) (string, bool) { return service, true }})
	r.connector.SetTunnels(r)
	go func() { _ = r.connector.Run(t.Context()) }()
	return r
}

func (r *rig) observeLog(_, line string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.logged = append(r.logged, line)
}

func (r *rig) logs() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return strings.Join(r.logged, "\n")
}

// fail sets the errors of direct connects to all servers, and of tunnels.
func (r *rig) fail(direct, through error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, address := range r.servers {
		r.direct[address] = direct
	}
	r.through = through
}

func (r *rig) dialDirect(ctx context.Context, network, address string) (net.Conn, error) {
	r.mu.Lock()
	err := r.direct[address]
	r.dials++
	r.mu.Unlock()
	if errors.Is(err, errSilent) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if err != nil {
		return nil, err
	}
	return wire.Dial(ctx, network, address)
}

// HasVMs implements serverconn.Tunnels.
func (r *rig) HasVMs() bool { return true }

// SetAside implements serverconn.Tunnels.
func (r *rig) SetAside(string, string) {}

// Dial implements serverconn.Tunnels.
func (r *rig) Dial(ctx context.Context, address string) (*tunnel.Conn, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.through != nil {
		return nil, r.through
	}
	conn, err := wire.Dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	r.tunnels++
	return tunnel.NewConn(conn, "vm-1"), nil
}

func (r *rig) opened() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tunnels
}

// connectAll connects to each server directly.
func (r *rig) connectAll(t *testing.T) {
	for _, address := range r.servers {
		if conn, err := r.connector.DialDirect(t.Context(), "tcp", address); err == nil {
			r.Expect(conn.Close()).To(Succeed())
		}
	}
}

// Guards against taking a server for ended because this VM's own links are lost: a connection that
// is refused proves it only if another server is reached.
func TestARefusalByAllServersIsNoProofThatOneHasEnded(t *testing.T) {
	r := newRig(t)
	r.connectAll(t)
	r.fail(syscall.ECONNREFUSED, tunnel.ErrNoVM)
	r.Expect(r.connector.HasEnded(t.Context(), r.servers[0], syscall.ECONNREFUSED)).To(BeFalse())
	r.fail(syscall.ECONNREFUSED, tunnel.ErrServerRefused)
	r.Eventually(func() bool { return r.connector.HasEnded(t.Context(), r.servers[0], syscall.ECONNREFUSED) }, "2s").Should(BeTrue(), "another VM says so")
	r.fail(nil, tunnel.ErrNoVM)
	r.mu.Lock()
	r.direct[r.servers[0]] = syscall.ECONNREFUSED
	r.mu.Unlock()
	r.Eventually(func() bool { return r.connector.HasEnded(t.Context(), r.servers[0], syscall.ECONNREFUSED) }, "2s").Should(BeTrue(), "the other server is reached")
}

// Guards against a VM that answers another one that a server has ended, when it has lost its own
// links.
func TestAVMThatLostItsPathsOpensNoTunnels(t *testing.T) {
	r := newRig(t)
	r.connectAll(t)
	r.fail(syscall.ECONNREFUSED, tunnel.ErrNoVM)
	_, err := r.connector.ConnectForPeer(t.Context(), r.servers[0])
	r.Expect(err).To(MatchError(tunnel.ErrUnavailable))
	r.fail(nil, tunnel.ErrNoVM)
	r.Eventually(func() error {
		conn, err := r.connector.ConnectForPeer(t.Context(), r.servers[0])
		if err == nil {
			err = conn.Close()
		}
		return err
	}, "2s").Should(Succeed())
}

// Guards against connecting again and again, for other VMs, to a server that doesn't respond.
func TestASilentServerIsNotTriedForEachVM(t *testing.T) {
	r := newRig(t)
	r.connectAll(t)
	r.fail(errSilent, tunnel.ErrNoVM)
	_, err := r.connector.ConnectForPeer(t.Context(), r.servers[0])
	r.Expect(err).To(MatchError(tunnel.ErrServerSilent))
	r.mu.Lock()
	before := r.dials
	r.mu.Unlock()
	for range 5 {
		_, err = r.connector.ConnectForPeer(t.Context(), r.servers[0])
		r.Expect(err).To(MatchError(tunnel.ErrServerSilent))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Expect(r.dials).To(Equal(before))
}

// Guards against needing a request to find out that a path works again, and against a loss that
// on-call can't see.
func TestALostPathIsFoundToWorkAgain(t *testing.T) {
	r := newRig(t)
	r.connectAll(t)
	r.fail(context.DeadlineExceeded, nil)
	r.connectAll(t)
	for _, address := range r.servers {
		conn, err := r.connector.DialThrough(t.Context(), "tcp", address)
		r.Expect(err).NotTo(HaveOccurred())
		r.Expect(conn.Close()).To(Succeed())
	}
	r.Expect(r.connector.State(service)).To(Equal(reach.Lost))
	_, err := r.connector.DialDirect(t.Context(), "tcp", r.servers[0])
	r.Expect(err).To(MatchError(serverconn.ErrPathLost))
	r.Eventually(r.logs, "1s").Should(ContainSubstring(`"state"="lost"`))
	r.fail(nil, nil)
	r.Eventually(func() reach.State { return r.connector.State(service) }, "1s").Should(Equal(reach.Direct))
	r.Expect(r.logs()).To(ContainSubstring("paths to backend servers work again"))
}

// Guards against orders and questions for reports that a VM gives up because its own path is lost.
func TestAnOrderGoesThroughAnotherVM(t *testing.T) {
	r := newRig(t)
	r.fail(syscall.ECONNREFUSED, nil)
	client := http.Client{Transport: r.connector.Transports(1)}
	response, err := client.Post("http://"+r.servers[0]+"/", "text/plain", strings.NewReader("order"))
	r.Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	r.Expect(io.ReadAll(response.Body)).To(BeEquivalentTo("order"))
	r.Expect(r.opened()).To(BeNumerically(">=", 1), "probes open tunnels too")
}

// Guards against taking a lack of descriptors in this VM for lost paths.
func TestAnErrorOfThisVMIsNoLostPath(t *testing.T) {
	r := newRig(t)
	r.fail(syscall.EMFILE, nil)
	r.connectAll(t)
	r.connectAll(t)
	r.Expect(r.connector.State(service)).To(Equal(reach.Direct))
}
