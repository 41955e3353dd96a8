package tunnel_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/bootclock"
	"oleandershunt.example/oleandershunt/internal/peer"
	"oleandershunt.example/oleandershunt/internal/tunnel"
	"oleandershunt.example/oleandershunt/internal/wire"
)

const deployment = "test"

// vm is a VM through which others connect.
type vm struct {
	name   string
	server *tunnel.Server
}

// rig is a backend server, VMs that reach it, and a dialer of another VM.
type rig struct {
	*WithT
	t         *testing.T
	directory *peer.Directory
	dialer    *tunnel.Dialer
	names     []string
	// backend is the backend server, and handle what it does with a request.
	backend *httptest.Server
	handle  http.HandlerFunc
}

func newRig(t *testing.T) *rig {
	r := &rig{WithT: NewWithT(t), t: t, directory: peer.NewDirectory()}
	r.backend = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) { r.handle(w, request) }))
	t.Cleanup(r.backend.Close)
	self := peer.Identity{Name: "self", Deployment: deployment}
	peers := peer.NewDialer(r.directory, self, nil)
	r.dialer = tunnel.NewDialer(tunnel.DialerOptions{
		VMs:    func() (local, remote []string) { return r.names, nil },
		DialVM: peers.DialVM, Header: self.Header, Now: bootclock.Now,
		Service: func(string) string { return "llm" },
	})
	return r
}

func (r *rig) address() string { return strings.TrimPrefix(r.backend.URL, "http://") }

// connectDirectly connects as a VM does whose paths work.
func connectDirectly(ctx context.Context, address string) (net.Conn, error) {
	conn, err := wire.Dial(ctx, "tcp", address)
	if err != nil {
		return nil, tunnel.ErrServerRefused
	}
	return conn, nil
}

// addVM starts a VM whose connects to servers go through connect.
func (r *rig) addVM(name string, connect func(context.Context, string) (net.Conn, error)) *vm {
	v := &vm{name: name}
	v.server = tunnel.NewServer(tunnel.ServerOptions{Connect: connect, Registered: func(address string) bool { return address == r.address() }})
	server := peer.NewServer(peer.Identity{Name: name, Deployment: deployment}, nil, func(string, string, error) {})
	server.HandleConnect(v.server)
	r.serveVM(name, server)
	return v
}

func (r *rig) serveVM(name string, server *peer.Server) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	r.Expect(err).NotTo(HaveOccurred())
	web := server.HTTPServer()
	go func() { _ = web.Serve(listener) }()
	r.t.Cleanup(func() { _ = web.Close() })
	r.addAddress(name, listener.Addr().String())
}

func (r *rig) addAddress(name, address string) {
	r.directory.Put(peer.Member{Name: name, Deployment: deployment, Address: address})
	r.names = append(r.names, name)
}

// get sends a request through a tunnel and returns the response.
func (r *rig) get(conn net.Conn) *http.Response {
	request, err := http.NewRequest(http.MethodGet, r.backend.URL+"/", nil)
	r.Expect(err).NotTo(HaveOccurred())
	r.Expect(request.Write(conn)).To(Succeed())
	response, err := http.ReadResponse(bufio.NewReader(conn), request)
	r.Expect(err).NotTo(HaveOccurred())
	return response
}

func (r *rig) dial() *tunnel.Conn {
	conn, err := r.dialer.Dial(r.t.Context(), r.address())
	r.Expect(err).NotTo(HaveOccurred())
	r.t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func TestATunnelCarriesRequestAndResponse(t *testing.T) {
	r := newRig(t)
	r.handle = func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole response") }
	carrier := r.addVM("vm-1", connectDirectly)
	conn := r.dial()
	r.Expect(conn.VM).To(Equal("vm-1"))
	r.Expect(io.ReadAll(r.get(conn).Body)).To(BeEquivalentTo("whole response"))
	r.Expect(carrier.server.Open()).To(Equal(1))
	r.Expect(conn.Close()).To(Succeed())
	r.Eventually(carrier.server.Open, "2s").Should(BeZero())
}

// Guards against an open proxy: a VM that connects anybody to any address.
func TestATunnelLeadsFromAVMToARegisteredServerOnly(t *testing.T) {
	r := newRig(t)
	r.addVM("vm-1", connectDirectly)
	other := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(other.Close)
	elsewhere := strings.TrimPrefix(other.URL, "http://")
	_, err := r.dialer.Dial(t.Context(), elsewhere)
	r.Expect(err).To(MatchError(tunnel.ErrNoVM))
	member, _ := r.directory.Member("vm-1")
	self := peer.Identity{Name: "self", Deployment: deployment}
	stranger := peer.Identity{Name: "self", Deployment: "other"}
	for name, sent := range map[string]struct {
		address string
		header  http.Header
	}{
		"unregistered address": {elsewhere, self.Header("vm-1")},
		"no identity":          {r.address(), http.Header{}},
		"other deployment":     {r.address(), stranger.Header("vm-1")},
		"for another VM":       {r.address(), self.Header("vm-2")},
	} {
		conn, err := net.Dial("tcp", member.Address)
		r.Expect(err).NotTo(HaveOccurred())
		request, err := http.NewRequest(http.MethodConnect, "http://"+sent.address, nil)
		r.Expect(err).NotTo(HaveOccurred())
		request.Header = sent.header
		r.Expect(request.Write(conn)).To(Succeed())
		response, err := http.ReadResponse(bufio.NewReader(conn), request)
		r.Expect(err).NotTo(HaveOccurred())
		r.Expect(response.StatusCode).To(Equal(http.StatusForbidden), name)
		r.Expect(conn.Close()).To(Succeed())
	}
}

// Guards against waiting for a VM that is frozen, and against asking it again at once.
func TestASilentVMIsNotWaitedFor(t *testing.T) {
	r := newRig(t)
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	r.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = silent.Close() })
	r.addAddress("silent", silent.Addr().String())
	r.addVM("vm-1", connectDirectly)
	for range 4 {
		r.Expect(r.dial().VM).To(Equal("vm-1"))
	}
}

// Guards against tunnels through a VM of a build that has none, which other builds run beside.
func TestAVMOfABuildWithoutTunnelsIsSkipped(t *testing.T) {
	r := newRig(t)
	r.serveVM("older", peer.NewServer(peer.Identity{Name: "older", Deployment: deployment}, nil, func(string, string, error) {}))
	_, err := r.dialer.Dial(t.Context(), r.address())
	r.Expect(err).To(MatchError(tunnel.ErrNoVM))
	r.addVM("vm-1", connectDirectly)
	r.Expect(r.dial().VM).To(Equal("vm-1"))
}

// refuse returns a connect that fails.
func refuse(err error) func(context.Context, string) (net.Conn, error) {
	return func(context.Context, string) (net.Conn, error) { return nil, err }
}

// Guards against taking a server for lost that only one VM can't connect to.
func TestOneVMDoesNotTellThatAServerIsSilent(t *testing.T) {
	r := newRig(t)
	dial := func() error { _, err := r.dialer.Dial(t.Context(), r.address()); return err }
	r.addVM("cut off", refuse(tunnel.ErrUnavailable))
	r.Expect(dial()).To(MatchError(tunnel.ErrNoVM))
	r.addVM("silent from here", refuse(tunnel.ErrServerSilent))
	r.Expect(dial()).To(MatchError(tunnel.ErrNoVM))
	r.addVM("silent from there", refuse(tunnel.ErrServerSilent))
	r.Expect(dial()).To(MatchError(tunnel.ErrServerSilent))
}

// Guards against taking a server for ended that some VM connects to, while the paths of others to
// its service are lost.
func TestAServerHasEndedOnlyIfNoVMConnects(t *testing.T) {
	r := newRig(t)
	for _, name := range []string{"vm-1", "vm-2", "vm-3", "vm-4"} {
		r.addVM(name, refuse(tunnel.ErrServerRefused))
	}
	_, err := r.dialer.Dial(t.Context(), r.address())
	r.Expect(err).To(MatchError(tunnel.ErrServerRefused))
	r.addVM("vm-5", connectDirectly)
	for range 4 {
		r.Expect(r.dial().VM).To(Equal("vm-5"))
	}
}

// Guards against a response that looks complete although its connection broke: one without a length
// ends with its connection.
func TestABrokenServerConnectionBreaksTheTunnel(t *testing.T) {
	r := newRig(t)
	r.handle = func(w http.ResponseWriter, _ *http.Request) {
		conn, buffered, err := w.(http.Hijacker).Hijack()
		r.Expect(err).NotTo(HaveOccurred())
		_, _ = buffered.WriteString("HTTP/1.1 200 OK\r\n\r\nbeginning")
		_ = buffered.Flush()
		time.Sleep(100 * time.Millisecond)
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
	r.addVM("vm-1", connectDirectly)
	body, err := io.ReadAll(r.get(r.dial()).Body)
	r.Expect(string(body)).To(Equal("beginning"))
	r.Expect(err).To(HaveOccurred())
}

// Guards against servers that work on for callers that have left, since the VM in between keeps the
// connection open.
func TestTheServerSeesThatThePeerLeft(t *testing.T) {
	r := newRig(t)
	left := make(chan struct{})
	r.handle = func(w http.ResponseWriter, request *http.Request) {
		w.(http.Flusher).Flush()
		<-request.Context().Done()
		close(left)
	}
	r.addVM("vm-1", connectDirectly)
	conn := r.dial()
	r.get(conn)
	r.Expect(conn.Close()).To(Succeed())
	r.Eventually(left, "2s").Should(BeClosed())
}

// Guards against cutting other VMs' requests at the planned stop of the VM in between.
func TestAStoppingVMFinishesItsTunnels(t *testing.T) {
	r := newRig(t)
	proceed := make(chan struct{})
	r.handle = func(w http.ResponseWriter, _ *http.Request) {
		w.(http.Flusher).Flush()
		<-proceed
		_, _ = io.WriteString(w, "whole response")
	}
	carrier := r.addVM("vm-1", connectDirectly)
	conn := r.dial()
	response := r.get(conn)
	carrier.server.StopOpening()
	_, err := r.dialer.Dial(t.Context(), r.address())
	r.Expect(err).To(MatchError(tunnel.ErrNoVM), "it opens no more")
	short, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	r.Expect(carrier.server.Drain(short)).To(Equal(1))
	close(proceed)
	r.Expect(io.ReadAll(response.Body)).To(BeEquivalentTo("whole response"))
	r.Expect(conn.Close()).To(Succeed())
	r.Expect(carrier.server.Drain(t.Context())).To(BeZero())
}

// Guards against taking a VM in between that has ended for one that lives.
func TestAVMThatEndedDoesNotRespond(t *testing.T) {
	r := newRig(t)
	r.addVM("lives", connectDirectly)
	r.Expect(r.dialer.Responds(t.Context(), "lives")).To(BeTrue())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	r.Expect(err).NotTo(HaveOccurred())
	r.addAddress("ended", listener.Addr().String())
	r.Expect(listener.Close()).To(Succeed())
	r.Expect(r.dialer.Responds(t.Context(), "ended")).To(BeFalse())
	r.Expect(r.dialer.Responds(t.Context(), "unknown")).To(BeFalse())
}

// Guards against taking a VM for alive whose process was killed, and whose kernel still accepts connections.
func TestAVMThatOnlyAcceptsConnectionsDoesNotRespond(t *testing.T) {
	r := newRig(t)
	r.addVM("alive", connectDirectly)
	r.Expect(r.dialer.Responds(t.Context(), "alive")).To(BeTrue())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	r.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = listener.Close() })
	r.addAddress("killed", listener.Addr().String())
	r.Expect(r.dialer.Responds(t.Context(), "killed")).To(BeFalse())
}

// addOddVM adds a VM that sends head to all connections, and then rest until they are closed. written counts the
// bytes that it could send.
func (r *rig) addOddVM(name, head, rest string) (written *atomic.Int64) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	r.Expect(err).NotTo(HaveOccurred())
	r.t.Cleanup(func() { _ = listener.Close() })
	r.addAddress(name, listener.Addr().String())
	written = new(atomic.Int64)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				_, err := io.WriteString(conn, head)
				for err == nil && rest != "" {
					var n int
					n, err = io.WriteString(conn, rest)
					written.Add(int64(n))
				}
				_, _ = io.Copy(io.Discard, conn)
			}()
		}
	}()
	return written
}

// Guards against a tunnel, or a sign of life, from a response that is none in the protocol.
func TestAnInvalidResponseOpensNoTunnel(t *testing.T) {
	for name, head := range map[string]string{
		"status 000":      "HTTP/1.1 000 No\r\n\r\n",
		"status 101":      "HTTP/1.1 101 Switching Protocols\r\n\r\n",
		"blank in a name": "HTTP/1.1 200 Connection established\r\nX Odd: 1\r\n\r\n",
		"no HTTP/1":       "HTTP/2.0 200 Connection established\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			r.addOddVM("odd", head, "")
			_, err := r.dialer.Dial(t.Context(), r.address())
			r.Expect(err).To(MatchError(tunnel.ErrNoVM))
			r.Expect(r.dialer.Responds(t.Context(), "odd")).To(BeFalse())
			r.addVM("vm-1", connectDirectly)
			r.Expect(r.dial().VM).To(Equal("vm-1"))
		})
	}
}

// Guards against keeping a head without an end that another VM sends in place of a tunnel.
func TestAHeadWithoutAnEndIsNotKept(t *testing.T) {
	for name, bytes := range map[string][2]string{
		"a line":        {"HTTP/1.1 200 OK\r\nX-Odd: ", strings.Repeat("x", 1<<20)},
		"lines":         {"HTTP/1.1 200 OK\r\n", strings.Repeat("X-Odd: x\r\n", 1<<17)},
		"no head":       {"", strings.Repeat("x", 1<<20)},
		"interim heads": {"", strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 1<<15)},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			written := r.addOddVM("odd", bytes[0], bytes[1])
			_, err := r.dialer.Dial(t.Context(), r.address())
			r.Expect(err).To(MatchError(tunnel.ErrNoVM))
			const socketBuffers = 16 << 20
			r.Expect(written.Load()).To(BeNumerically("<", socketBuffers))
		})
	}
}
