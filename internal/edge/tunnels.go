package edge

import (
	"context"
	"net"

	"oleandershunt.example/oleandershunt/internal/bootclock"
	"oleandershunt.example/oleandershunt/internal/relay"
	"oleandershunt.example/oleandershunt/internal/serverconn"
	"oleandershunt.example/oleandershunt/internal/tunnel"
)

// connectTunnels lets this VM reach servers through the others, and the others through this one.
// forwarded counts the bytes of the others.
func (t *peerNetwork) connectTunnels(servers *serverconn.Connector, dispatcher *relay.Dispatcher, forwarded *byteCounter) *tunnel.Server {
	servers.SetTunnels(tunnel.NewDialer(tunnel.DialerOptions{
		VMs:    func() (local, remote []string) { return t.members.current().otherNames(t.self, t.dataCentre) },
		DialVM: t.dialer.DialVM,
		Header: t.identity.Header,
		Service: func(address string) string {
			service, _ := dispatcher.ServiceAt(address)
			return service
		},
		Now: bootclock.Now,
	}))
	connect := func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := servers.ConnectForPeer(ctx, address)
		if err != nil {
			return nil, err
		}
		return forwarded.conn(conn), nil
	}
	t.tunnels = tunnel.NewServer(tunnel.ServerOptions{Connect: connect, Registered: func(address string) bool {
		_, registered := dispatcher.ServiceAt(address)
		return registered
	}})
	return t.tunnels
}
