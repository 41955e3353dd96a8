package node

import (
	"fmt"
	"time"

	"oleandershunt.example/oleandershunt/internal/peer"
	"oleandershunt.example/oleandershunt/internal/peer/gossip"
	"oleandershunt.example/oleandershunt/internal/telemetry"
)

// assemblePeers makes what speaks to other VMs.
func (p *parts) assemblePeers() error {
	s := p.settings
	// A later process of the VM has a higher incarnation. Should the clock have
	// been set back, the gossip finds out and raises it.
	incarnation := uint64(time.Now().UnixMicro())
	p.self.Incarnation = fmt.Sprintf("%016x", incarnation)
	identity := peer.Identity{Name: s.VM.Name, Deployment: s.VM.Deployment}
	if s.TLS.Set() {
		keys, err := peer.NewKeys(keySource(s.TLS))
		if err != nil {
			return err
		}
		p.keys = keys
	}
	p.peers = peer.NewServer(identity, p.keys, func(from, address string, err error) {
		telemetry.PeerRefused.Fail(p.log, err, "from", from, "address", address)
	})
	p.dialer = peer.NewDialer(p.directory, identity, p.keys)
	p.gossip = gossip.New(gossip.Options{
		Self:        p.self,
		Incarnation: incarnation,
		Directory:   p.directory,
		Dialer:      p.dialer,
		Interval:    s.Peers.Interval,
		Contacts:    p.contacts.list,
		Now:         p.loop.Now,
		Seed:        incarnation,
	})
	return nil
}
