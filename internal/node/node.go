// Package node assembles one VM's process: the core in its loop, the callers'
// server and the duties round them, each an actor of one run.Group.
package node

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/oklog/run"
	"github.com/rotisserie/eris"

	"oleandershunt.example/oleandershunt/internal/actors"
	"oleandershunt.example/oleandershunt/internal/settings"
	"oleandershunt.example/oleandershunt/internal/telemetry"
	"oleandershunt.example/oleandershunt/internal/trace"
)

// ErrListen marks an address that can't be listened on.
var ErrListen = eris.New("address can't be listened on: set one of this machine that no other process has")

// Node is one VM's process.
type Node struct {
	settings   settings.Settings
	log        logr.Logger
	callers    net.Listener
	operations net.Listener
	peers      net.Listener
	// forced is closed by Force.
	forced    chan struct{}
	forceOnce sync.Once
	recorder  *trace.Recorder
}

// Provision opens the node's sockets. Run must follow.
func Provision(s settings.Settings, log logr.Logger) (*Node, error) {
	n := &Node{settings: s, log: log.WithValues("vm", s.VM.Name), forced: make(chan struct{})}
	sockets := []struct {
		listener *net.Listener
		key      string
		address  string
	}{
		{&n.callers, "listen.callers", s.Listen.Callers},
		{&n.operations, "listen.operations", s.Listen.Operations},
		{&n.peers, "listen.peers", s.Listen.Peers},
	}
	for _, socket := range sockets {
		listener, err := net.Listen("tcp", socket.address)
		if err != nil {
			n.closeSockets()
			return nil, fmt.Errorf("%w: %s: %w", ErrListen, socket.key, err)
		}
		*socket.listener = listener
	}
	return n, nil
}

func (n *Node) closeSockets() {
	for _, listener := range []net.Listener{n.callers, n.operations, n.peers} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

// CallersAddress is where callers reach the node.
func (n *Node) CallersAddress() string { return n.callers.Addr().String() }

// OperationsAddress is where metrics are served.
func (n *Node) OperationsAddress() string { return n.operations.Addr().String() }

// PeersAddress is where other VMs reach the node.
func (n *Node) PeersAddress() string { return n.peers.Addr().String() }

// Force ends a planned stop that waits for requests: they are told truthfully
// what ran. Before a planned stop it has no effect until one begins.
func (n *Node) Force() { n.forceOnce.Do(func() { close(n.forced) }) }

// Run serves until ctx ends and the requests in flight are answered.
func (n *Node) Run(ctx context.Context) error {
	p, err := n.assemble()
	if err != nil {
		n.closeSockets()
		return err
	}
	callers := p.entry.HTTPServer()
	telemetry.VMStarted.Log(n.log, "callers", n.CallersAddress(), "operations", n.OperationsAddress())
	var group run.Group
	{
		// Decisions: the core in its loop.
		p.stopLoop = addLoop(&group, p.loop)
	}
	{
		// Clock: how well this VM keeps up, so that its own delays are not
		// taken for those of others.
		actors.AddContext(&group, p.clock.Run)
	}
	{
		// Requests: claims of keys, and notes that explain each request.
		addRequests(p)
	}
	{
		// Routing: the pipelines' bounds as metrics, links, and word of caches.
		addRouting(&group, p)
	}
	{
		// Placement: orders to the data centre's servers, by one VM of it.
		addPlacement(&group, p)
	}
	{
		// Configuration: records from the platform, in force on this VM.
		addConfiguration(&group, p)
	}
	{
		// Fleet: the talk between VMs, and what is known of backend servers.
		addFleet(&group, p)
	}
	{
		// Membership: this VM in the platform, and the others from it.
		addMembership(&group, p)
	}
	{
		// Claims: at most one dispatch for each key of a non-idempotent request.
		addClaims(&group, p)
	}
	{
		// Keys: the certificate for calls between VMs, loaded anew when it changes.
		addKeys(&group, p)
	}
	{
		// Peers: calls from other VMs. Duties above have mounted their handlers.
		actors.AddServer(&group, p.peers.Listener(n.peers), p.peers.HTTPServer())
	}
	{
		// Operations: metrics and profiles.
		actors.AddServer(&group, n.operations, operationsServer(p.operations))
	}
	{
		// Recording: what the core took and decided, for replay.
		addRecording(&group, p)
	}
	{
		// Callers: requests from outside.
		actors.AddServer(&group, n.callers, callers)
	}
	{
		// Planned stop: ends the group once the requests in flight are answered.
		addStop(ctx, &group, p, callers, n.forced)
	}
	return ignoreCancelled(group.Run())
}

func operationsServer(mux *http.ServeMux) *http.Server {
	return &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
}
