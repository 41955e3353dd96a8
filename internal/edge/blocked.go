package edge

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	objects "oleandershunt.example/oleandershunt/internal/platform"
	"oleandershunt.example/oleandershunt/internal/relay"
	"oleandershunt.example/oleandershunt/internal/telemetry"
)

const (
	// kindBlocked is the kind of the objects that keep blocked contents.
	kindBlocked = "oleandershunt-blocked"
	// blockedRetention is how long a block counts, as in memory.
	blockedRetention = time.Hour
	// maxBlockedDelay spreads the reads of VMs that start together, and blockedRetryInterval is the time
	// between two tries of a call that fails.
	maxBlockedDelay      = 500 * time.Millisecond
	blockedRetryInterval = time.Second
	// maxQueuedBlocks bounds the blocks that wait to be written.
	maxQueuedBlocks = 64
)

// blockedStore keeps the contents that VMs found out to crash servers in the platform's store.
//
// What can go wrong: all VMs are killed at once. What they had found out is gone, and a request that was
// refused crashes further servers until it is found out again.
type blockedStore struct {
	log      logr.Logger
	store    *objects.Client
	findings findingStore
	// firstStart says that no VM ran before.
	firstStart bool
	queue      chan relay.Block
}

func newBlockedStore(p Options, findings findingStore) *blockedStore {
	return &blockedStore{log: p.Log, store: p.Store, findings: findings, firstStart: p.Settings.FirstStart, queue: make(chan relay.Block, maxQueuedBlocks)}
}

// blockedRecord is the value of such an object.
type blockedRecord struct {
	// AtMS is when the content was blocked, in Unix milliseconds.
	AtMS     int64           `json:"atMs"`
	Findings []relay.Finding `json:"findings"`
}

// keep has a block written. While many wait, further ones are kept in memory only.
func (b *blockedStore) keep(block relay.Block) {
	select {
	case b.queue <- block:
	default:
		countBlocked("dropped")
	}
}

// run reads what is kept, and writes what is found out, until ctx ends.
func (b *blockedStore) run(ctx context.Context) error {
	if !b.firstStart {
		sleep(ctx, rand.N(maxBlockedDelay))
		b.untilDone(ctx, b.read)
	}
	for {
		select {
		case block := <-b.queue:
			b.untilDone(ctx, func(ctx context.Context) error { return b.write(ctx, block) })
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// untilDone repeats a call until it succeeds or ctx ends.
func (b *blockedStore) untilDone(ctx context.Context, call func(context.Context) error) {
	for call(ctx) != nil && ctx.Err() == nil {
		sleep(ctx, blockedRetryInterval)
	}
}

func (b *blockedStore) write(ctx context.Context, block relay.Block) error {
	record := blockedRecord{AtMS: time.Now().UnixMilli(), Findings: block.Findings}
	_, err := b.store.Create(ctx, kindBlocked, fmt.Sprintf("%016x", block.ID), record)
	switch {
	case errors.Is(err, objects.ErrConflict): // another VM has written it
		countBlocked("known")
		return nil
	case errors.Is(err, objects.ErrRejected):
		countBlocked("rejected")
		telemetry.BlockNotKept.Fail(b.log, err, "block", block.ID)
		return nil
	case err != nil:
		countBlocked("failed")
		return err
	}
	countBlocked("written")
	return nil
}

// read applies the blocks that are kept, and removes those that have expired.
func (b *blockedStore) read(ctx context.Context) error {
	list, err := b.store.List(ctx, kindBlocked, "")
	if err != nil {
		countBlocked("unread")
		return err
	}
	for _, object := range list.Items {
		var record blockedRecord
		if err := json.Unmarshal(object.Value, &record); err != nil {
			telemetry.BlockUnread.Fail(b.log, err, "block", object.Name)
			continue
		}
		age := time.Since(time.UnixMilli(record.AtMS))
		if age >= blockedRetention {
			_ = b.store.Delete(ctx, kindBlocked, object.Name, object.Version) // another VM may have done so
			continue
		}
		b.apply(record, max(age, 0))
	}
	telemetry.BlocksRead.Log(b.log, "blocks", len(list.Items))
	return nil
}

func (b *blockedStore) apply(record blockedRecord, age time.Duration) {
	countBlocked("read")
	for _, finding := range record.Findings {
		finding.AgeMS += age.Milliseconds()
		b.findings.ReceiveFinding(finding)
	}
}

func countBlocked(result string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("oleandershunt_blocked_contents_total{result=%q}", result)).Inc()
}
