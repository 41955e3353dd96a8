package configuration

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"oleandershunt.example/oleandershunt/api"
	"oleandershunt.example/oleandershunt/internal/core/config"
	"oleandershunt.example/oleandershunt/internal/peer"
	"oleandershunt.example/oleandershunt/internal/platform"
	"oleandershunt.example/oleandershunt/internal/standin"
	"oleandershunt.example/oleandershunt/internal/testutil"
)

// countedClient is a platform client whose bytes are counted.
func countedClient(store *standin.Platform, vm string) (*platform.Client, *atomic.Int64) {
	bytes := new(atomic.Int64)
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		var dialer net.Dialer
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return testutil.CountConn(conn, bytes), nil
	}
	client := platform.NewClient(store.URL(), platform.WithVM(vm), platform.WithBudget(1e6, 1e6),
		platform.WithTransport(&http.Transport{DialContext: dial}))
	return client, bytes
}

// acceptNext makes one attempt of an acceptor, from given changes.
func acceptNext(tb testing.TB, a *acceptor, change config.Change) {
	release, objectVersion, err := a.newestRelease(tb.Context())
	if err != nil {
		tb.Fatal(err)
	}
	inForce, _ := a.store.current()
	outcome, err := config.Accept(config.AcceptInput{
		InForce: inForce.set, Release: release, Changes: []config.Change{change},
		Seen: map[api.Kind]uint64{change.Kind: change.Version}, By: "accepts", At: "2026-12-02T12:00:00Z",
	})
	if err == nil {
		err = a.publish(tb.Context(), release, objectVersion, outcome)
	}
	if err != nil {
		tb.Fatal(err)
	}
}

// BenchmarkPlatformBytes measures what one changed account costs towards the
// platform, both ways above TCP: a VM that watches the release, and the one that
// accepts it, its watch of the records left out.
func BenchmarkPlatformBytes(b *testing.B) {
	for _, n := range []int{1_000, 31_000} {
		b.Run(fmt.Sprintf("accounts=%d", n), func(b *testing.B) {
			benchmarkPlatformBytes(b, n)
		})
	}
}

func benchmarkPlatformBytes(b *testing.B, n int) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	store := standin.StartPlatform(listener)
	b.Cleanup(store.Stop)
	p := newPair(b)
	p.accept(accounts(n)...)
	accepts := &acceptor{Manager: p.from}
	var accepted, watched *atomic.Int64
	p.from.platform, accepted = countedClient(store, "accepts")
	watches := idleManager(peer.Member{Name: "watches", DataCentre: "a"})
	watches.platform, watched = countedClient(store, "watches")
	inForce, _ := p.from.store.current()
	outcome := config.AcceptResult{Release: &inForce.release, Set: inForce.set, NewPages: append(inForce.set.Pages(), indexesOf(inForce.release)...)}
	if err := accepts.publish(b.Context(), api.Release{}, 0, outcome); err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	watching := start(ctx, watches.watchRelease)
	defer watching.stop()
	defer cancel()
	waitFor(b, watches, inForce.release.Sequence)
	acceptedBefore, watchedBefore := accepted.Load(), watched.Load()
	version := p.nextVersion
	for b.Loop() {
		version++
		change := account(int(version)*7919%n, int(version))
		change.Version = version
		acceptNext(b, accepts, change)
		inForce, _ = p.from.store.current()
		waitFor(b, watches, inForce.release.Sequence)
	}
	b.ReportMetric(float64(accepted.Load()-acceptedBefore)/float64(b.N), "accept-wire-B/change")
	b.ReportMetric(float64(watched.Load()-watchedBefore)/float64(b.N), "watch-wire-B/change")
}

// waitFor waits until a release is in force on a VM.
func waitFor(tb testing.TB, m *Manager, sequence uint64) {
	for {
		inForce, changed := m.store.current()
		if inForce.release.Sequence >= sequence {
			return
		}
		select {
		case <-changed:
		case <-tb.Context().Done():
			tb.Fatal("release is not in force")
		}
	}
}
