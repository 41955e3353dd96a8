package claim

import (
	"maps"

	"oleandershunt.example/oleandershunt/internal/core"
)

// entry is the state of one key.
type entry struct {
	body    uint64
	request uint64
	// index is the journal index of the op that last changed the entry.
	index  uint64
	origin uint32
	kind   OpKind
	// granted is set once this VM has granted the claim to the request's VM.
	granted bool
}

// table holds the state of a shard's keys.
type table struct {
	entries map[KeyHash]entry
}

func newTable() table { return table{entries: make(map[KeyHash]entry)} }

// apply applies one op to the table. Ops must be applied in index order.
func (t *table) apply(index uint64, op Op) {
	known, exists := t.entries[op.Key]
	if op.Kind == OpClaim {
		t.entries[op.Key] = entry{body: op.Body, request: op.Request, index: index, origin: op.Origin, kind: OpClaim}
		return
	}
	if exists && known.request != op.Request {
		// A delayed settlement of an earlier request: another request has claimed the key since.
		return
	}
	if op.Kind == OpFree {
		if known.kind == OpClaim {
			delete(t.entries, op.Key)
		}
		return
	}
	t.entries[op.Key] = entry{body: op.Body, request: op.Request, index: index, origin: op.Origin, kind: op.Kind}
}

// expire removes the keys whose last op has an index below end.
func (t *table) expire(end uint64) {
	maps.DeleteFunc(t.entries, func(_ KeyHash, e entry) bool { return e.index < end })
}

// verdict returns the verdict for a claim of a key that has an entry. live is
// whether the process that claimed the key is still alive.
func (e entry) verdict(op Op, live bool) core.Verdict {
	switch {
	case e.request == op.Request && e.kind == OpClaim:
		return core.VerdictGranted
	case e.body != op.Body:
		return core.VerdictBodyDiffers
	case e.kind == OpRan:
		return core.VerdictRan
	case e.kind == OpClaim && live:
		return core.VerdictRunning
	default:
		return core.VerdictMayHaveRun
	}
}
