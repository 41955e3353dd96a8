package claim

import (
	"fmt"
	"slices"
	"time"

	"oleandershunt.example/oleandershunt/internal/core/lease"
)

// Head is a shard's object in the platform: its owner and the newest part of its
// journal. Every write is conditional on the object's version, so one write both
// journals ops and proves that the writer still owns the shard: the next write of
// a former owner fails, regardless of its clock.
type Head struct {
	// Epoch increases by one with each change of owner.
	Epoch uint64 `json:"epoch"`
	// Owner is the VM that decides the shard's keys.
	Owner lease.VM `json:"owner"`
	// Standbys are the only VMs that may take over without a gap in the journal.
	// If there are none, the owner grants only claims that the platform has stored.
	Standbys []lease.VM `json:"standbys,omitempty"`
	// Released is set when the owner has given up the shard.
	Released bool `json:"released,omitempty"`
	// Renewal counts the owner's writes, so that each of them changes the object.
	Renewal uint64 `json:"renewal"`
	// Duration is the lease: how long the head must stay unchanged before another VM may take over.
	Duration time.Duration `json:"duration"`
	// Start is the index of the first op in Ops, counted from the shard's first op.
	Start uint64 `json:"start"`
	// Ops is the newest part of the journal.
	Ops Journal `json:"ops,omitempty"`
	// Pages are the older parts of the journal that are still retained, in order.
	Pages []PageRef `json:"pages,omitempty"`
	// Gap is set after a takeover by a VM that can't know which claims the former
	// owner committed on its standbys only.
	Gap *Gap `json:"gap,omitempty"`
}

// Gap marks that keys claimed before the takeover may be missing from the journal.
type Gap struct {
	// Age is the time from the takeover to the write of the head.
	Age time.Duration `json:"age"`
}

// PageRef refers to a sealed part of the journal.
type PageRef struct {
	Name  string `json:"name"`
	Start uint64 `json:"start"`
	End   uint64 `json:"end"`
	// Age is the time from the sealing of the page to the write of the head. It
	// is an age and not a date, so that no VM's wall clock can expire a claim early.
	Age time.Duration `json:"age"`
}

// Page is the platform object that stores a sealed part of the journal.
type Page struct {
	Ops Journal `json:"ops"`
}

// End returns the index after the last op in the head.
func (h Head) End() uint64 { return h.Start + uint64(len(h.Ops)) }

// isStandby reports whether this process, not just its VM, is named as a standby.
func (h Head) isStandby(vm lease.VM) bool {
	return slices.ContainsFunc(h.Standbys, func(s lease.VM) bool { return sameProcess(s, vm) })
}

func sameProcess(a, b lease.VM) bool { return a.Name == b.Name && a.Incarnation == b.Incarnation }

func pageName(shard string, epoch, start, end uint64) string {
	return fmt.Sprintf("%s.%d-%d-%d", shard, epoch, start, end)
}
