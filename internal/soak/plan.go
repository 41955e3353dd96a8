// Package soak runs VMs as processes of their own before stand-ins, with callers that check
// what they get, and disturbs them from outside by a plan that a seed decides. It finds what
// simulated time hides: real sockets, signals, descriptors and goroutines.
package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of fault.
type Kind string

// The kinds of faults.
const (
	// VMs: a planned stop, a kill, a freeze; settings that are to be read again.
	VMStop   Kind = "vm_stop"
	VMKill   Kind = "vm_kill"
	VMFreeze Kind = "vm_freeze"
	VMReload Kind = "vm_reload"
	// The store: down, slow, turning calls away, losing the answers of writes, without
	// its history; or one VM is cut off from it, in silence or by resets.
	StoreDown   Kind = "store_down"
	StoreSlow   Kind = "store_slow"
	StoreFull   Kind = "store_full"
	StoreLoses  Kind = "store_loses"
	StoreForget Kind = "store_forget"
	StoreSilent Kind = "store_silent"
	StoreResets Kind = "store_resets"
	// Servers: a crash and a start under the same name, a planned leave and a successor,
	// silence, resets of all connections, delay on the way.
	ServerCrash  Kind = "server_crash"
	ServerLeave  Kind = "server_leave"
	ServerSilent Kind = "server_silent"
	ServerResets Kind = "server_resets"
	ServerDelay  Kind = "server_delay"
	// StoreCopy: the store is away for a moment and comes back from a copy; what was written
	// since the copy is written again. ServerRate: a server sets a request rate.
	StoreCopy  Kind = "store_copy"
	ServerRate Kind = "server_rate"
	// ServerPause: a server refuses all requests and asks for pauses. ServerSays: a server's
	// answers say that it leaves, seconds before its entry does.
	ServerPause Kind = "server_pause"
	ServerSays  Kind = "server_says"
	// ConfigChange is a new version of the operator's configuration.
	ConfigChange Kind = "config_change"
)

// planned are the kinds that are no disturbance: nothing may be lost by them.
var planned = []Kind{VMStop, VMReload, ServerLeave, ConfigChange}

// sudden are the others.
var sudden = []Kind{
	VMKill, VMFreeze, StoreDown, StoreSlow, StoreFull, StoreLoses, StoreForget, StoreSilent, StoreResets,
	ServerCrash, ServerSilent, ServerResets, ServerDelay,
}

// rare have a plan of their own, since each lasts for seconds, and asking another, so that the
// plans of seeds stay what they were.
var (
	rare   = []Kind{StoreCopy, ServerRate}
	asking = []Kind{ServerPause, ServerSays}
)

// Fault is one fault of a plan.
type Fault struct {
	// At is when it begins, from the start of the load, and For how long it lasts.
	At, For time.Duration
	Kind    Kind
	// Target chooses among the VMs or servers, modulo how many there are.
	Target int
}

func (f Fault) String() string {
	return fmt.Sprintf("%s %s %d for %s", f.At.Round(time.Millisecond), f.Kind, f.Target, f.For.Round(time.Millisecond))
}

// The figures of a plan.
const (
	// meanGap is the mean time between two faults, so that some overlap.
	meanGap = 900 * time.Millisecond
	// shortest and longest bound a fault's time.
	shortest = 300 * time.Millisecond
	longest  = 2500 * time.Millisecond
	// rareGap is the mean time between two of the rare faults.
	rareGap = 5 * time.Second
	// plannedOnly of each so many seeds have planned work only: what is lost then has no
	// excuse.
	plannedOnly = 3
	// plannedPart is the part of planned work in the plans of other seeds.
	plannedPart = 0.35
)

// Plan is the faults of a seed within a time, in order. The same seed gives the same plan.
func Plan(seed uint64, within time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, 0))
	calm := seed%plannedOnly == 0
	var plan []Fault
	for at := time.Duration(0); ; {
		at += time.Duration(random.ExpFloat64() * float64(meanGap))
		if at >= within {
			break
		}
		kinds := sudden
		if calm || random.Float64() < plannedPart {
			kinds = planned
		}
		plan = append(plan, Fault{
			At: at, For: shortest + time.Duration(random.Int64N(int64(longest-shortest))),
			Kind: kinds[random.IntN(len(kinds))], Target: random.IntN(1 << 16),
		})
	}
	if !calm {
		plan = append(plan, rarePlan(rare, seed, 1, within)...)
		plan = append(plan, rarePlan(asking, seed, 2, within)...)
	}
	slices.SortStableFunc(plan, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return plan
}

// rarePlan is the rare faults of some kinds of a seed. Each stream of it is a plan of its own.
func rarePlan(kinds []Kind, seed, stream uint64, within time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, stream))
	var plan []Fault
	for at := time.Duration(0); ; {
		at += time.Duration(random.ExpFloat64() * float64(rareGap))
		if at >= within {
			return plan
		}
		plan = append(plan, Fault{At: at, For: shortest + time.Duration(random.Int64N(int64(longest-shortest))), Kind: kinds[random.IntN(len(kinds))], Target: random.IntN(1 << 16)})
	}
}
