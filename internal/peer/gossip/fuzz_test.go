package gossip

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"oleandershunt.example/oleandershunt/internal/core/digest"
	"oleandershunt.example/oleandershunt/internal/peer"
	membershipv1 "oleandershunt.example/oleandershunt/internal/peer/gen/peer/membership/v1"
)

// FuzzMessage feeds a VM what another may send, broken or not: it answers and
// keeps its own part.
func FuzzMessage(f *testing.F) {
	newGossip := func(name string) *Gossip {
		directory := peer.NewDirectory()
		return New(Options{
			Self:        peer.Member{Name: name, DataCentre: "bornova", Address: "127.0.0.1:1"},
			Incarnation: 1,
			Directory:   directory,
			Dialer:      peer.NewDialer(directory, peer.Identity{Name: name, Deployment: "test"}, nil),
			Interval:    time.Second,
			Contacts:    func() []string { return nil },
			Now:         func() time.Duration { return time.Second },
		})
	}
	other := newGossip("vm-2")
	other.PutGauge(7, 3)
	other.store.Heartbeat()
	hello := other.hello("")
	full := other.take("vm-3", hello)
	full.Deltas = wireDeltas(append(other.store.Deltas("bornova", digest.State, nil, messageBudget),
		other.store.Deltas("bornova", digest.Local, nil, messageBudget)...))
	for _, message := range []*membershipv1.Message{hello, full, {}} {
		data, err := proto.Marshal(message)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var message membershipv1.Message
		if proto.Unmarshal(data, &message) != nil {
			return
		}
		g := newGossip("vm-1")
		before := g.store.Version(digest.State)
		if g.take("vm-2", &message) == nil {
			t.Fatal("no answer")
		}
		if g.store.Version(digest.State) < before {
			t.Fatal("a message took back this VM's own part")
		}
	})
}
