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

// The pace of reading the configuration, in parts of the time in which a new version
// must be in force. Every read of the platform is paid for, so one VM of each data
// centre reads and the others wait for its word. At worst a version was written just
// after a read, the next one is due when the reader is lost, and a wait has just begun:
// 0.45 + 0.25 of the time and a few hundred milliseconds.
const (
	// readPart is the part between two reads.
	readPart = 0.45
	// followPart is the part that one wait for another VM's word takes.
	followPart = 0.25
	// latePart is by how much a word's proof may be older than the read and the waits
	// on its way make it.
	latePart = 0.1
	// readAgain is the time to the next read after one that failed, of the VM that reads for
	// its data centre. It grows by half with each place behind that one, up to readAgainMost:
	// that the platform is back comes with the sums of loads half a second later, and of 195
	// VMs that each read twice a second in an outage of eight seconds come 3,100 calls, all
	// of which are paid for. A VM that is cut off from the others comes first in its own view.
	readAgain     = 500 * time.Millisecond
	readAgainMost = 2500 * time.Millisecond
	// trustMargin is how much before the bound a proof ends: the time from the
	// decision to a server's work.
	trustMargin = 150 * time.Millisecond
)

// configReader keeps the configuration in force and knows how old the proof is
// that it is the newest. A watch proves nothing: it may have gone deaf. Only an
// answer to a question asked at a moment tells what was in force then: the
// platform's, or that of a VM which the platform answered.
type configReader struct {
	parts      Parts
	log        logr.Logger
	dispatcher *relay.Dispatcher
	keeper     *proofKeeper
	// peers are the VMs that are asked when the platform doesn't answer; nil for none.
	peers *configPeers
	lost  bool
	// older says that the platform's last answer was older than what is in force.
	older bool
}

func newConfigReader(p Parts, d *relay.Dispatcher) *configReader {
	return &configReader{parts: p, log: p.Log, dispatcher: d, keeper: newProofKeeper()}
}

// proven tells whether keys may be trusted.
func (c *configReader) proven() bool {
	at := c.keeper.get().provenAt
	return at > 0 && bootclock.Now()-at < c.parts.current.get().KeyTrust-trustMargin
}

func (c *configReader) run(ctx context.Context) error {
	if c.peers != nil {
		wait := beginWait
		if c.parts.Settings.FirstStart {
			wait = c.part(followPart)
		}
		c.peers.begin(ctx, wait, c.heard)
		c.tell(nil)
	}
	for ctx.Err() == nil {
		if c.followed(ctx) {
			c.tell(nil)
			continue
		}
		wait := c.part(readPart)
		err := c.read(ctx)
		if err != nil {
			wait = againAfter(c.place())
		}
		c.tell(err)
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

// place is this VM's place among those of its data centre, from 0, in the order in which
// they read.
func (c *configReader) place() int {
	if c.peers == nil {
		return 0
	}
	_, position := c.peers.place()
	return max(position, 0)
}

// againAfter is the time to the next read of a VM after one that failed.
func againAfter(place int) time.Duration {
	return min(readAgain+time.Duration(place)*readAgain/2, readAgainMost)
}

func (c *configReader) part(part float64) time.Duration {
	return time.Duration(part * float64(c.parts.current.get().ApplyWithin))
}

// followed learns from the VM that reads for this one. False when there is none, or
// its proof is too old: it may be cut off from the platform, or paused.
func (c *configReader) followed(ctx context.Context) bool {
	if c.peers == nil {
		return false
	}
	known := c.keeper.get().config
	said, hops := c.peers.follow(ctx, known, c.part(followPart), c.heard)
	now := c.keeper.get()
	if hops == 0 || now.config < said {
		return false
	}
	return bootclock.Now()-now.provenAt < c.part(readPart+float64(hops)*followPart+latePart)
}

// read asks the platform, and other VMs where it doesn't answer.
func (c *configReader) read(ctx context.Context) error {
	sent := bootclock.Now()
	object, err := c.parts.Store.Get(ctx, c.parts.Config.Kind, c.parts.Config.Name)
	if err == nil {
		c.tellOlder(c.take(object, sent), object)
	} else if c.peers != nil {
		c.peers.ask(ctx, c.keeper.get().config, c.heard)
	}
	return err
}

// tellOlder logs that the platform's configuration is older than the one in force.
func (c *configReader) tellOlder(config uint64, object objects.Object) {
	now := c.keeper.get()
	older := config > 0 && config < now.config
	if older && !c.older {
		telemetry.PlatformOlder.Log(c.log, "kind", c.parts.Config.Kind, "revision", object.Version.String(), "version", config, "inForce", now.config)
	}
	c.older = older
}

// heard takes another VM's word. One without a value tells of what is known already.
func (c *configReader) heard(word inForce) {
	if len(word.object.Value) == 0 {
		c.keeper.renew(word.config, word.provenAt)
		return
	}
	c.take(word.object, word.provenAt)
}

// take brings a configuration in force that was the newest at a moment, and returns its own
// version. One that can't be read proves nothing; its version is 0.
func (c *configReader) take(object objects.Object, at time.Duration) uint64 {
	held := c.keeper.get()
	if held.config > 0 && object.Version > 0 && object.Version == held.object.Version {
		c.keeper.prove(held.config, held.object, at)
		return held.config
	}
	table, err := c.parts.Decode.Routes(object.Value)
	if err != nil {
		telemetry.RelayConfigBad.Fail(c.log, err, "revision", object.Version.String())
		return 0
	}
	if c.dispatcher.SetTable(table) {
		telemetry.RelayConfigInForce.Log(c.log, "version", table.Version, "revision", object.Version.String())
	}
	c.keeper.prove(table.Version, object, at)
	return table.Version
}

// tell logs when the proof is lost and when it is back.
func (c *configReader) tell(err error) {
	proven := c.proven()
	switch {
	case !proven && !c.lost && c.keeper.get().provenAt > 0:
		c.lost = true
		telemetry.RelayProofLost.Log(c.log, "cause", telemetry.Cause(err))
	case proven && c.lost:
		c.lost = false
		telemetry.RelayProofBack.Log(c.log)
	}
}
