package configuration

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"oleandershunt.example/oleandershunt/internal/core/config"
	"oleandershunt.example/oleandershunt/internal/peer"
	configv1 "oleandershunt.example/oleandershunt/internal/peer/gen/peer/config/v1"
	"oleandershunt.example/oleandershunt/internal/peer/gen/peer/config/v1/configv1connect"
	"oleandershunt.example/oleandershunt/internal/telemetry"
)

const (
	// fanOut is how many VMs of a data centre poll one VM for releases. It bounds the
	// cost of a change for each VM, whatever the size of the data centre.
	fanOut = 2
	// longPollWait is how long a call waits for a newer release.
	longPollWait = 20 * time.Second
	// bootstrapWait is that wait, and the retry delay, while no release is in force.
	bootstrapWait = 500 * time.Millisecond
	// peerCallTimeout is how long such a call may take beyond its wait, and the
	// timeout of a call for pages.
	peerCallTimeout = 2 * time.Second
	// failuresBeforePlatform is the number of consecutive peer failures after which
	// the release is read from the platform.
	failuresBeforePlatform = 3
	// catchUpInterval is how often the directory is checked for a VM that reports a
	// newer release.
	catchUpInterval = time.Second
	// crossCheckRounds is the number of such checks after which a random VM is queried.
	crossCheckRounds = 5
)

var errNoPeer = eris.New("no other VM is known: set peers.seeds, or wait for membership")

// upstream returns the VM that this one gets releases from. The first VMs of each
// data centre watch the platform and also poll one another across data centres, so
// that releases reach a data centre that is cut off from the platform. The others
// form a tree below them.
func (m *Manager) upstream() (peer.Member, bool) {
	r := m.ranks()
	if r.release < len(r.local) && r.release >= releaseWatchers {
		return m.directory.Member(r.local[(r.release-releaseWatchers)/fanOut])
	}
	if len(r.watchers) == 0 {
		return m.randomPeer()
	}
	return m.directory.Member(r.watchers[int(m.random()*float64(len(r.watchers)))])
}

// randomPeer returns a random VM other than this one.
func (m *Manager) randomPeer() (peer.Member, bool) {
	var others []peer.Member
	for _, member := range m.directory.Members() {
		if member.Name != m.self.Name {
			others = append(others, member)
		}
	}
	return m.pickRandom(others)
}

func (m *Manager) pickRandom(members []peer.Member) (peer.Member, bool) {
	if len(members) == 0 {
		return peer.Member{}, false
	}
	return members[int(m.random()*float64(len(members)))], true
}

// pollPeers queries other VMs for releases newer than the one in force, until ctx ends.
func (m *Manager) pollPeers(ctx context.Context) error {
	backoff := m.platform.NewBackoff()
	failures := 0
	m.bootstrap(ctx)
	for ctx.Err() == nil {
		target, ok := m.upstream()
		if failures > 0 {
			target, ok = m.randomPeer()
		}
		err := m.queryMember(ctx, target, ok, longPollWait)
		if err == nil {
			failures = 0
			backoff.Reset()
			continue
		}
		failures++
		if failures%failuresBeforePlatform == 0 {
			_ = m.readRelease(ctx)
		}
		if backoff.Wait(ctx) != nil {
			break
		}
	}
	return ctx.Err()
}

// bootstrap queries members and seeds alternately until a release is in force. With
// members alone, VMs that start together during an outage would wait for one
// another while a seed has the release.
func (m *Manager) bootstrap(ctx context.Context) {
	for round := 0; ctx.Err() == nil; round++ {
		inForce, changed := m.store.current()
		if inForce.release.Sequence > 0 {
			return
		}
		target, known := m.randomPeer()
		err := m.queryMember(ctx, target, known && (round%2 == 0 || len(m.seeds) == 0), bootstrapWait)
		if err == nil {
			continue
		}
		select {
		case <-changed:
		case <-m.clock.After(m.jittered(bootstrapWait)):
		case <-ctx.Done():
		}
	}
}

// catchUp looks for VMs that run a newer release. An upstream VM that is itself cut
// off answers that there is nothing newer, and without a second path this VM would
// stay stale with it.
func (m *Manager) catchUp(ctx context.Context) error {
	for round := 1; ; round++ {
		select {
		case <-m.clock.After(m.jittered(catchUpInterval)):
		case <-ctx.Done():
			return ctx.Err()
		}
		inForce, _ := m.store.current()
		for _, member := range m.directory.Members() {
			if member.Name != m.self.Name && member.Release > inForce.release.Sequence {
				_ = m.queryMember(ctx, member, true, 0)
				break
			}
		}
		if round%crossCheckRounds == 0 {
			target, ok := m.randomPeer()
			_ = m.queryMember(ctx, target, ok, 0)
		}
	}
}

// queryMember queries one VM, or a seed when no member is known.
func (m *Manager) queryMember(ctx context.Context, target peer.Member, known bool, wait time.Duration) error {
	if !known {
		return m.querySeed(ctx, wait)
	}
	http, url, err := m.dialer.Endpoint(target.Name)
	if err != nil {
		return err
	}
	return m.query(ctx, configv1connect.NewConfigServiceClient(http, url, connect.WithReadMaxBytes(maxCallBytes)), wait)
}

// querySeed queries a random VM from the settings, since a VM that starts while
// the platform is down knows no other.
func (m *Manager) querySeed(ctx context.Context, wait time.Duration) error {
	if len(m.seeds) == 0 {
		return errNoPeer
	}
	seed := m.seeds[int(m.random()*float64(len(m.seeds)))]
	http, url := m.dialer.Seed(seed)
	return m.query(ctx, configv1connect.NewConfigServiceClient(http, url, connect.WithReadMaxBytes(maxCallBytes)), wait)
}

// query requests a release newer than the one in force. If a delta can't be
// applied, the full release is requested: without a digest in the request, the peer
// doesn't send a delta.
func (m *Manager) query(ctx context.Context, client configv1connect.ConfigServiceClient, wait time.Duration) error {
	inForce, _ := m.store.current()
	response, err := requestNewer(ctx, client, inForce, inForce.digest, wait)
	if err != nil {
		return err
	}
	if delta := response.GetDelta(); delta != nil {
		next, err := applyDelta(inForce, delta)
		if err == nil {
			return m.offerFromDelta(ctx, next)
		}
		telemetry.DeltaRefused.Fail(m.log, err, "release", response.GetRelease(), "from", inForce.release.Sequence)
		if response, err = requestNewer(ctx, client, inForce, "", 0); err != nil {
			return err
		}
	}
	if len(response.GetValue()) == 0 {
		return nil
	}
	return m.offer(ctx, response.GetValue(), config.FromPeer, peerPageReader(client), m.readPlatformPages)
}

// requestNewer requests a release newer than a known one. Without a digest the
// response is never a delta.
func requestNewer(ctx context.Context, client configv1connect.ConfigServiceClient, known loadedRelease, digest string, wait time.Duration) (*configv1.InForceResponse, error) {
	callCtx, cancel := context.WithTimeout(ctx, wait+peerCallTimeout)
	defer cancel()
	response, err := client.InForce(callCtx, connect.NewRequest(&configv1.InForceRequest{
		Known:      known.release.Sequence,
		WaitMillis: uint32(wait.Milliseconds()),
		Digest:     digest,
	}))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

// peerPageReader returns a pageReader for another VM.
func peerPageReader(client configv1connect.ConfigServiceClient) pageReader {
	return func(ctx context.Context, hashes []string, add func(hash string, value []byte) error) error {
		for len(hashes) > 0 {
			batch := hashes[:min(len(hashes), maxPages)]
			hashes = hashes[len(batch):]
			callCtx, cancel := context.WithTimeout(ctx, peerCallTimeout)
			response, err := client.Pages(callCtx, connect.NewRequest(&configv1.PagesRequest{Hashes: batch}))
			cancel()
			if err != nil {
				return err
			}
			for hash, page := range response.Msg.GetPages() {
				if err := add(hash, page); err != nil {
					return err
				}
			}
		}
		return nil
	}
}
