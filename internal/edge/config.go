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

// The pace of reading the configuration.
const (
	// readEvery is the time between two reads: a new version is in force well within
	// the two seconds that operators allow. Every read is paid for.
	readEvery = 1200 * time.Millisecond
	// readAgain is the time to the next read after one that failed. Other VMs are asked
	// meanwhile.
	readAgain = 500 * time.Millisecond
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
	keeper     proofKeeper
	// peers are the VMs that are asked when the platform doesn't answer; nil for none.
	peers *configPeers
	lost  bool
}

func newConfigReader(p Parts, d *relay.Dispatcher) *configReader {
	return &configReader{parts: p, log: p.Log, dispatcher: d}
}

// proven tells whether keys may be trusted.
func (c *configReader) proven() bool {
	at := c.keeper.get().provenAt
	return at > 0 && bootclock.Now()-at < c.parts.current.get().KeyTrust-trustMargin
}

func (c *configReader) run(ctx context.Context) error {
	for {
		sent := bootclock.Now()
		object, err := c.parts.Store.Get(ctx, c.parts.Config.Kind, c.parts.Config.Name)
		if err == nil {
			c.take(object, sent)
		} else if c.peers != nil {
			c.peers.ask(ctx, c.keeper.get().object.Version, c.take)
		}
		c.tell(err)
		wait := readEvery
		if err != nil {
			wait = readAgain
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// take brings an object in force that was the newest at a moment. One that can't
// be read proves nothing.
func (c *configReader) take(object objects.Object, at time.Duration) {
	if object.Version > c.keeper.get().object.Version {
		table, err := c.parts.Decode.Routes(object.Value)
		if err != nil {
			telemetry.RelayConfigBad.Fail(c.log, err, "revision", object.Version)
			return
		}
		if c.dispatcher.SetTable(table) {
			telemetry.RelayConfigInForce.Log(c.log, "version", table.Version, "revision", object.Version)
		}
	}
	c.keeper.prove(object, at)
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
