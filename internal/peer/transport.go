package peer

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"oleandershunt.example/oleandershunt/internal/wire"
)

// Timeouts of connections between VMs.
const (
	connectTimeout    = time.Second
	readHeaderTimeout = 5 * time.Second
	// idleTimeout is long enough to keep connections to VMs that are called only
	// now and then: opening a TLS connection costs more bytes than many exchanges.
	idleTimeout = 5 * time.Minute
)

// ErrUnknownVM is returned for a call to a VM that is not in the directory.
var ErrUnknownVM = eris.New("VM is not known: wait for membership to spread")

// Server serves calls from other VMs. Handlers must be added before it serves.
type Server struct {
	mux      *http.ServeMux
	self     Identity
	keys     *Keys
	onReject func(from, address string, err error)
}

// NewServer returns a server without handlers. If keys is nil, the calls are
// unencrypted. onReject is called for every rejected call, with the name that the
// caller claims, its address and the reason.
func NewServer(self Identity, keys *Keys, onReject func(from, address string, err error)) *Server {
	return &Server{mux: http.NewServeMux(), self: self, keys: keys, onReject: onReject}
}

// Handle adds a connect-go handler, with the arguments as its constructor returns
// them.
func (s *Server) Handle(path string, handler http.Handler) { s.mux.Handle(path, handler) }

// HTTPServer returns an HTTP server for the handlers over HTTP/1.1 and HTTP/2.
func (s *Server) HTTPServer() *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{Handler: s.verify(s.mux), Protocols: protocols, ReadHeaderTimeout: readHeaderTimeout}
}

// Listener wraps a listener in TLS if the server has keys.
func (s *Server) Listener(listener net.Listener) net.Listener {
	if s.keys == nil {
		return listener
	}
	return tls.NewListener(listener, s.keys.serverConfig())
}

// Dialer provides HTTP clients for calls to other VMs. It is safe for concurrent
// use.
type Dialer struct {
	directory *Directory
	self      Identity
	scheme    string
	transport *http.Transport

	mu      sync.Mutex
	clients map[string]*http.Client
}

// NewDialer returns a dialer for the VMs of a directory. If keys is nil, the calls
// are unencrypted.
func NewDialer(directory *Directory, self Identity, keys *Keys) *Dialer {
	d := &Dialer{directory: directory, self: self, scheme: "http", clients: make(map[string]*http.Client)}
	protocols := new(http.Protocols)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	d.transport = &http.Transport{
		Protocols:       protocols,
		DialContext:     d.dial,
		IdleConnTimeout: idleTimeout,
	}
	if keys != nil {
		d.scheme = "https"
		d.transport.DialTLSContext = func(ctx context.Context, network, host string) (net.Conn, error) {
			return d.dialTLS(ctx, keys, network, host)
		}
		keys.OnReload(d.transport.CloseIdleConnections)
	}
	return d
}

// Endpoint returns the HTTP client and base URL to pass to a connect-go client
// constructor for the named VM. It returns ErrUnknownVM if the VM is not in the
// directory.
func (d *Dialer) Endpoint(vm string) (*http.Client, string, error) {
	if _, ok := d.directory.Member(vm); !ok {
		return nil, "", eris.Wrap(ErrUnknownVM, vm)
	}
	host := Identity{Name: vm, Deployment: d.self.Deployment}.Host()
	return d.client(vm), d.scheme + "://" + host, nil
}

// Seed is like Endpoint for an address, host:port, of a VM whose name is unknown.
// Only the deployment of the VM is verified.
func (d *Dialer) Seed(address string) (*http.Client, string) {
	return d.client(""), d.scheme + "://" + address
}

// Close closes the idle connections.
func (d *Dialer) Close() { d.transport.CloseIdleConnections() }

func (d *Dialer) client(vm string) *http.Client {
	d.mu.Lock()
	defer d.mu.Unlock()
	client, ok := d.clients[vm]
	if !ok {
		client = &http.Client{Transport: headerTransport{self: d.self, to: vm, next: d.transport}}
		d.clients[vm] = client
	}
	return client
}

// dial resolves the VM's name in a URL to its address, and connects. An IP
// address is used as it is.
func (d *Dialer) dial(ctx context.Context, network, host string) (net.Conn, error) {
	address := host
	if name, _, err := net.SplitHostPort(host); err == nil && net.ParseIP(name) == nil {
		member, ok := d.directory.Member(parseHost(name).Name)
		if !ok {
			return nil, eris.Wrap(ErrUnknownVM, name)
		}
		address = member.Address
	}
	dialer := net.Dialer{Timeout: connectTimeout, Control: wire.EndSilent}
	return dialer.DialContext(ctx, network, address)
}

func (d *Dialer) dialTLS(ctx context.Context, keys *Keys, network, host string) (net.Conn, error) {
	raw, err := d.dial(ctx, network, host)
	if err != nil {
		return nil, err
	}
	want := Identity{Deployment: d.self.Deployment}
	if name, _, err := net.SplitHostPort(host); err == nil && net.ParseIP(name) == nil {
		want = parseHost(name)
	}
	conn := tls.Client(raw, keys.clientConfig(want))
	if err := conn.HandshakeContext(ctx); err != nil {
		_ = raw.Close()
		return nil, err
	}
	return conn, nil
}
