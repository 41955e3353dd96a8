package claim_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"oleandershunt.example/oleandershunt/internal/core"
	"oleandershunt.example/oleandershunt/internal/core/claim"
	"oleandershunt.example/oleandershunt/internal/core/lease"
	"oleandershunt.example/oleandershunt/internal/testutil"
)

// singleVMShard is a shard with a single VM, whose platform answers at once.
type singleVMShard struct {
	shard   *claim.Shard
	now     time.Duration
	version uint64
	granted int
}

func newSingleVMShard() *singleVMShard {
	self := lease.VM{Name: "a", DataCentre: "bornova", Incarnation: "a-1"}
	s := &singleVMShard{shard: claim.New(claim.Options{
		Shard: "bornova.0", Home: "bornova", Self: self, WriteInterval: 50 * time.Millisecond, LeaseDuration: 4 * time.Second,
		Retention: time.Hour, ClaimTimeout: time.Second, PollInterval: 500 * time.Millisecond,
		PageOps: 4000, MaxOps: 15_000, MaxKeys: 10_000_000,
	})}
	s.step(claim.LiveVMs{VMs: []lease.VM{self}})
	return s
}

func (s *singleVMShard) step(event claim.Event) {
	queue := []claim.Event{event}
	for len(queue) > 0 {
		event, queue = queue[0], queue[1:]
		for _, action := range s.shard.Step(s.now, event) {
			switch a := action.(type) {
			case claim.Decided:
				s.granted++
			case claim.ReadHead:
				queue = append(queue, claim.HeadRead{Sent: s.now})
			case claim.WriteHead:
				s.version++
				queue = append(queue, claim.HeadWritten{Number: a.Number, Result: claim.ResultDone, Version: s.version})
			case claim.WritePage:
				queue = append(queue, claim.PageWritten{Ref: a.Ref, Result: claim.ResultDone})
			}
		}
	}
}

func (s *singleVMShard) claimAndSettle(i int) {
	key := core.ClaimKey{Account: "growers", Key: fmt.Sprintf("5f3c9a52-0000-4000-8000-%012d", i)}
	op := claim.Op{Kind: claim.OpClaim, Key: claim.HashKey(key), Body: 7, Request: uint64(i), Origin: 1}
	s.step(claim.Requested{Call: uint64(i), Op: op})
	op.Kind = claim.OpRan
	s.step(claim.Settled{Op: op})
	if i%100 == 0 {
		s.now += 50 * time.Millisecond
		s.step(claim.Tick{})
	}
}

// BenchmarkOwner measures the CPU time of one claim and its settlement, in batches
// of 100, and the memory per remembered key. Run it with -benchtime 100000x and
// 200000x: the slope between the two is the memory per key.
func BenchmarkOwner(b *testing.B) {
	s := newSingleVMShard()
	before := testutil.Heap()
	b.ResetTimer()
	for i := range b.N {
		s.claimAndSettle(i)
	}
	b.StopTimer()
	if s.shard.Keys() != b.N {
		b.Fatalf("%d keys after %d claims", s.shard.Keys(), b.N)
	}
	b.ReportMetric(float64(testutil.Heap()-before)/float64(b.N), "B/key")
	runtime.KeepAlive(s)
}
