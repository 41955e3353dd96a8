package edge

import (
	"context"
	"time"

	"github.com/go-logr/logr"

	"oleandershunt.example/oleandershunt/internal/bootclock"
	objects "oleandershunt.example/oleandershunt/internal/platform"
	"oleandershunt.example/oleandershunt/internal/relay"
	"oleandershunt.example/oleandershunt/internal/telemetry"
)

// Intervals of configuration reads, as fractions of the time within which a new version
// must be in force. Every platform read is billed, so one VM per data centre reads and the
// others long-poll it. The worst case is a version written just after a read, a reader
// lost just before its next read, and a follower's wait that has just begun: 0.45 + 0.25
// of the time plus a few hundred milliseconds.
const (
	// readFraction is the interval between two reads.
	readFraction = 0.45
	// followFraction is the duration of one long poll of another VM.
	followFraction = 0.25
	// proofDelayFraction is the extra age that a proof may have beyond the read interval
	// and the long polls on its path.
	proofDelayFraction = 0.1
	// readRetryInterval is the delay before the next read after a failed one, for the VM
	// that reads for its data centre. It grows by half for each rank behind that VM, up to
	// maxReadRetryInterval: the tallies spread the news that the platform is available
	// again within half a second, while 195 VMs that each read twice a second make 3,100
	// billed calls in an outage of eight seconds. A VM that is partitioned from the others
	// ranks first in its own view.
	readRetryInterval    = 500 * time.Millisecond
	maxReadRetryInterval = 2500 * time.Millisecond
	// proofMargin is how long before its bound a proof expires: the time from the decision
	// to a server's work.
	proofMargin = 150 * time.Millisecond
)

// configReader keeps the configuration in force and the age of the proof that it is the
// newest. A watch is no proof, because it may have stalled silently. Only the response to
// a request that was sent at a known time shows what was in force then: a response of the
// platform, or of a VM that the platform answered.
type configReader struct {
	parts      Options
	log        logr.Logger
	dispatcher *relay.Dispatcher
	proofs     *proofTracker
	// peers queries other VMs when the platform doesn't answer; nil without other VMs.
	peers     *configPeers
	proofLost bool
	// platformOlder is set while the platform's last response was older than the
	// configuration in force.
	platformOlder bool
}

func newConfigReader(p Options, d *relay.Dispatcher) *configReader {
	return &configReader{parts: p, log: p.Log, dispatcher: d, proofs: newProofTracker()}
}

// proven reports whether the proof is recent enough to accept keys.
func (c *configReader) proven() bool {
	at := c.proofs.get().provenAt
	return at > 0 && bootclock.Now()-at < c.parts.current.get().MaxProofAge-proofMargin
}

func (c *configReader) run(ctx context.Context) error {
	if c.peers != nil {
		wait := startupWait
		if c.parts.Settings.FirstStart {
			wait = c.applyTimeFraction(followFraction)
		}
		c.peers.queryContact(ctx, wait, c.receiveState)
		c.logProofChange(nil)
	}
	for ctx.Err() == nil {
		if c.followPeer(ctx) {
			c.logProofChange(nil)
			continue
		}
		wait := c.applyTimeFraction(readFraction)
		err := c.read(ctx)
		if err != nil {
			wait = readRetryDelay(c.readRank())
		}
		c.logProofChange(err)
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

// readRank is this VM's rank, from 0, among the VMs of its data centre that may read.
func (c *configReader) readRank() int {
	if c.peers == nil {
		return 0
	}
	_, position := c.peers.rank()
	return max(position, 0)
}

// readRetryDelay returns the delay before a VM's next read after a failed one, by its
// rank.
func readRetryDelay(rank int) time.Duration {
	return min(readRetryInterval+time.Duration(rank)*readRetryInterval/2, maxReadRetryInterval)
}

func (c *configReader) applyTimeFraction(fraction float64) time.Duration {
	return time.Duration(fraction * float64(c.parts.current.get().ConfigApplyTime))
}

// followPeer learns from the VM that reads for this one. It returns false when there is
// none, or when its proof is too old because it is cut off from the platform or paused.
func (c *configReader) followPeer(ctx context.Context) bool {
	if c.peers == nil {
		return false
	}
	known := c.proofs.get().configVersion
	upstreamVersion, hops := c.peers.follow(ctx, known, c.applyTimeFraction(followFraction), c.receiveState)
	now := c.proofs.get()
	if hops == 0 || now.configVersion < upstreamVersion {
		return false
	}
	return bootclock.Now()-now.provenAt < c.applyTimeFraction(readFraction+float64(hops)*followFraction+proofDelayFraction)
}

// read reads the platform, and queries other VMs when it doesn't answer.
func (c *configReader) read(ctx context.Context) error {
	sent := bootclock.Now()
	object, err := c.parts.Store.Get(ctx, c.parts.Config.Kind, c.parts.Config.Name)
	if err == nil {
		c.logOlderConfig(c.applyConfig(object, sent), object)
	} else if c.peers != nil {
		c.peers.queryPeers(ctx, c.proofs.get().configVersion, c.receiveState)
	}
	return err
}

// logOlderConfig logs that the platform's configuration is older than the one in force,
// once per occurrence.
func (c *configReader) logOlderConfig(version uint64, object objects.Object) {
	now := c.proofs.get()
	older := version > 0 && version < now.configVersion
	if older && !c.platformOlder {
		telemetry.PlatformOlder.Log(c.log, "kind", c.parts.Config.Kind, "revision", object.Version.String(), "version", version, "inForce", now.configVersion)
	}
	c.platformOlder = older
}

// receiveState applies another VM's response. A response without a value confirms a known
// version.
func (c *configReader) receiveState(state configState) {
	if len(state.object.Value) == 0 {
		c.proofs.renewProof(state.configVersion, state.provenAt)
		return
	}
	c.applyConfig(state.object, state.provenAt)
}

// applyConfig applies a configuration that was the newest at the given time and returns
// its own version. One that can't be decoded is no proof; its version is 0.
func (c *configReader) applyConfig(object objects.Object, at time.Duration) uint64 {
	known := c.proofs.get()
	if known.configVersion > 0 && object.Version > 0 && object.Version == known.object.Version {
		c.proofs.recordProof(known.configVersion, known.object, at)
		return known.configVersion
	}
	table, err := c.parts.Decode.Routes(object.Value)
	if err != nil {
		telemetry.RelayConfigBad.Fail(c.log, err, "revision", object.Version.String())
		return 0
	}
	if c.dispatcher.SetTable(table) {
		telemetry.RelayConfigInForce.Log(c.log, "version", table.Version, "revision", object.Version.String())
	}
	c.proofs.recordProof(table.Version, object, at)
	return table.Version
}

// logProofChange logs when the proof expires and when there is a valid one again.
func (c *configReader) logProofChange(err error) {
	proven := c.proven()
	switch {
	case !proven && !c.proofLost && c.proofs.get().provenAt > 0:
		c.proofLost = true
		telemetry.RelayProofLost.Log(c.log, "cause", telemetry.Cause(err))
	case proven && c.proofLost:
		c.proofLost = false
		telemetry.RelayProofBack.Log(c.log)
	}
}
