package configuration

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"net"
	"sync/atomic"
	"testing"

	"github.com/go-logr/logr"

	"oleandershunt.example/oleandershunt/api"
	"oleandershunt.example/oleandershunt/internal/core/config"
	"oleandershunt.example/oleandershunt/internal/peer"
	"oleandershunt.example/oleandershunt/internal/peer/gen/peer/config/v1/configv1connect"
	"oleandershunt.example/oleandershunt/internal/testutil"
)

// pair is a VM and another that learns releases from it, without a platform.
type pair struct {
	tb          testing.TB
	from, to    *Manager
	fromMember  peer.Member
	bytes       atomic.Int64
	nextVersion uint64
}

func newPair(tb testing.TB) *pair {
	return newPairAnswering(tb, func(s service) configv1connect.ConfigServiceHandler { return s })
}

// newPairAnswering makes a pair whose first VM answers in a way of its own.
func newPairAnswering(tb testing.TB, handler func(service) configv1connect.ConfigServiceHandler) *pair {
	p := &pair{tb: tb, nextVersion: 1}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	p.fromMember = peer.Member{Name: "from", DataCentre: "a", Address: listener.Addr().String()}
	p.from = idleManager(p.fromMember)
	p.to = idleManager(peer.Member{Name: "to", DataCentre: "a"})
	p.to.directory.Put(p.fromMember)
	server := peer.NewServer(peer.Identity{Name: "from", Deployment: "test"}, nil, func(string, string, error) {})
	server.Handle(configv1connect.NewConfigServiceHandler(handler(service{store: p.from.store})))
	serving := server.HTTPServer()
	go func() { _ = serving.Serve(testutil.CountListener(listener, &p.bytes)) }()
	tb.Cleanup(func() { _ = serving.Close() })
	return p
}

// idleManager is a manager that does only what a test calls.
func idleManager(self peer.Member) *Manager {
	directory := peer.NewDirectory()
	return New(Options{
		Log:       logr.Discard(),
		Self:      self,
		Directory: directory,
		Dialer:    peer.NewDialer(directory, peer.Identity{Name: self.Name, Deployment: "test"}, nil),
		Apply:     func(*config.Set) {},
	})
}

// accept brings changes in force on the first VM.
func (p *pair) accept(changes ...config.Change) {
	p.tb.Helper()
	inForce, _ := p.from.store.current()
	for i := range changes {
		changes[i].Version = p.nextVersion
		p.nextVersion++
	}
	last := changes[len(changes)-1]
	out, err := config.Accept(config.AcceptInput{
		InForce: inForce.set, Release: inForce.release, Changes: changes,
		Seen: map[api.Kind]uint64{last.Kind: last.Version}, By: "from", At: "2026-12-02T12:00:00Z",
	})
	if err != nil || out.Release == nil {
		p.tb.Fatalf("not accepted: %v %v", err, out.Records)
	}
	value, err := json.Marshal(out.Release)
	if err != nil {
		p.tb.Fatal(err)
	}
	p.from.adopt(version{release: *out.Release, value: value, set: out.Set}, config.FromPlatform)
}

// ask has the second VM ask the first, and checks that both then run the same.
func (p *pair) ask() {
	p.tb.Helper()
	if err := p.to.askMember(p.tb.Context(), p.fromMember, true, 0); err != nil {
		p.tb.Fatal(err)
	}
	p.alike()
}

func (p *pair) alike() {
	p.tb.Helper()
	here, _ := p.from.InForce()
	there, _ := p.to.InForce()
	if here.Digest() != there.Digest() {
		p.tb.Fatalf("release %d is in force on one VM and %d on the other", here.Sequence, there.Sequence)
	}
}

// account is a client account's record; requests distinguishes its versions.
func account(i, requests int) config.Change {
	sum := sha256.Sum256(fmt.Appendf(nil, "key-%d", i))
	name := fmt.Sprintf("account-%05d", i)
	raw := fmt.Sprintf(`{"kind":"ClientAccount","schemaVersion":"v1","name":%q,"spec":{"keySHA256":["%x"],"weight":1,"requestsPerSecond":%d,"burst":%d,"homeDataCentre":"bornova"}}`,
		name, sum, requests, i%7)
	return config.Change{Kind: api.KindClientAccount, Name: name, Raw: json.RawMessage(raw)}
}

func accounts(n int) []config.Change {
	changes := make([]config.Change, 0, n)
	for i := range n {
		changes = append(changes, account(i, i%50+1))
	}
	return changes
}
