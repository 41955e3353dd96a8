// Package soak runs VMs as separate processes against stand-ins of the platform and of backend
// servers, with callers that check the answers, and injects faults according to a seeded plan. It
// finds defects that tests with simulated time can't: those of real sockets, signals, descriptors
// and goroutines.
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
	// VMs: a planned stop, a kill, a freeze, a reload of the settings.
	VMStop   Kind = "vm_stop"
	VMKill   Kind = "vm_kill"
	VMFreeze Kind = "vm_freeze"
	VMReload Kind = "vm_reload"
	// The store: unavailable, slow, rejecting calls, losing the responses to writes, compacting
	// its history; or one VM is cut off from it, with silent or with reset connections.
	StoreDown   Kind = "store_down"
	StoreSlow   Kind = "store_slow"
	StoreFull   Kind = "store_full"
	StoreLoses  Kind = "store_loses"
	StoreForget Kind = "store_forget"
	StoreSilent Kind = "store_silent"
	StoreResets Kind = "store_resets"
	// Servers: a crash and a restart under the same name, a planned departure with a successor,
	// no response, resets of all connections, delayed connections.
	ServerCrash  Kind = "server_crash"
	ServerLeave  Kind = "server_leave"
	ServerSilent Kind = "server_silent"
	ServerResets Kind = "server_resets"
	ServerDelay  Kind = "server_delay"
	// StoreCopy: the store is restored from a snapshot after a short outage, and what was written
	// since the snapshot is written again. ServerRate: a server sets a request rate.
	StoreCopy  Kind = "store_copy"
	ServerRate Kind = "server_rate"
	// ServerPause: a server rejects all requests and requests pauses. ServerSays: a server announces
	// in its answers that it leaves, seconds before its entry does.
	ServerPause Kind = "server_pause"
	ServerSays  Kind = "server_says"
	// VMSeries: a VM is killed again and again while a server rejects all requests. ReaderCut: the VM
	// that reads the configuration for its data centre is cut off from the store.
	VMSeries  Kind = "vm_series"
	ReaderCut Kind = "store_reader"
	// VMServersCut: a VM, or all VMs of a data centre, is cut off from all servers: silently, with
	// resets, or so that only new connections fail. VMServersSeries: a VM is so three times in a row.
	VMServersCut         Kind = "vm_servers"
	DataCentreServersCut Kind = "data_centre_servers"
	VMServersSeries      Kind = "vm_servers_series"
	// CrashingBody: a request that ends each server that runs it comes at all VMs. CrashingPart: so do
	// requests with one part of their prompts in common. Skew: most requests go to one VM.
	CrashingBody Kind = "crashing_body"
	CrashingPart Kind = "crashing_part"
	Skew         Kind = "skew"
	// FloodOne: one account sends many times its usual load. FloodAll: all accounts do.
	FloodOne Kind = "flood_one"
	FloodAll Kind = "flood_all"
	// StoreSilence: the store answers nobody for seconds, and just after VMs must be in touch again a server's
	// entry is removed, without a word of the server, which serves on for a time.
	StoreSilence Kind = "store_silence"
	// ServerMute: a model server is sound, but streams through it pause.
	ServerMute Kind = "server_mute"
	// DarkPart: requests with one part of their prompts in common come, under which servers go dark: they
	// accept no connections, and open ones are silent. Uploads: many callers upload slowly, and half of the
	// VMs are killed together meanwhile.
	DarkPart Kind = "dark_part"
	Uploads  Kind = "uploads"
	// ConfigChange is a new version of the operator's configuration.
	ConfigChange Kind = "config_change"
)

// plannedKinds are the kinds of planned work, during which no request may be lost.
var plannedKinds = []Kind{VMStop, VMReload, ServerLeave, ConfigChange}

// suddenKinds are the kinds of unplanned faults.
var suddenKinds = []Kind{
	VMKill, VMFreeze, StoreDown, StoreSlow, StoreFull, StoreLoses, StoreForget, StoreSilent, StoreResets,
	ServerCrash, ServerSilent, ServerResets, ServerDelay,
}

// rareKinds, signalKinds, seriesKinds, linkKinds and crashKinds have separate plans. Each of these faults lasts for seconds, and kinds that
// are added to the main plan would change the plans of all seeds.
var (
	rareKinds   = []Kind{StoreCopy, ServerRate}
	signalKinds = []Kind{ServerPause, ServerSays}
	seriesKinds = []Kind{VMSeries, ReaderCut}
	linkKinds   = []Kind{VMServersCut, DataCentreServersCut, VMServersSeries}
	crashKinds  = []Kind{CrashingBody, CrashingPart, Skew}
)

// Every silentStore-th seed, counted from silentStoreFirst, has one StoreSilence: what happens in it excuses much.
const (
	silentStore      = 3
	silentStoreFirst = 1
)

// soundKinds are no disturbance: nothing excuses what is lost under them. heavyKinds take much of the VMs or
// of the servers.
var (
	soundKinds = []Kind{ServerMute}
	heavyKinds = []Kind{Uploads, DarkPart}
)

// Every heavyPlans-th seed has uploads, and the one after it servers that go dark.
const heavyPlans = 4

// heavyPlan returns the faults of a seed that take much of the VMs or of the servers.
func heavyPlan(seed uint64, within time.Duration) []Fault {
	switch seed % heavyPlans {
	case 0:
		return []Fault{{At: 2 * time.Second, For: minFaultTime, Kind: Uploads, Target: int(seed)}}
	case 1:
		return []Fault{{At: 2 * time.Second, For: within / 2, Kind: DarkPart, Target: int(seed)}}
	default:
		return nil
	}
}

// hasUploads reports whether a seed has uploads.
func hasUploads(seed uint64) bool { return seed%plannedOnly != 0 && seed%heavyPlans == 0 }

// floodKinds are in the plans of all seeds: a flood excuses no lost request.
var floodKinds = []Kind{FloodOne, FloodAll}

// Fault is one fault of a plan.
type Fault struct {
	// At is the time from the start of the load to the start of the fault, and For its duration.
	At, For time.Duration
	Kind    Kind
	// Target selects a VM or server, modulo their number.
	Target int
}

func (f Fault) String() string {
	return fmt.Sprintf("%s %s %d for %s", f.At.Round(time.Millisecond), f.Kind, f.Target, f.For.Round(time.Millisecond))
}

// Parameters of a plan.
const (
	// meanFaultInterval is the mean time between two faults. It is shorter than most faults, so that
	// some overlap.
	meanFaultInterval = 900 * time.Millisecond
	// minFaultTime and maxFaultTime bound the duration of a fault.
	minFaultTime = 300 * time.Millisecond
	maxFaultTime = 2500 * time.Millisecond
	// meanRareInterval is the mean time between two of the rare faults.
	meanRareInterval = 5 * time.Second
	// Every plannedOnly-th seed has planned work only, so that nothing excuses a lost request.
	plannedOnly = 3
	// plannedFraction is the fraction of planned work in the plans of the other seeds.
	plannedFraction = 0.35
)

// Plan returns the faults of a seed within a time, in order. The same seed gives the same plan.
func Plan(seed uint64, within time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, 0))
	calm := seed%plannedOnly == 0
	var plan []Fault
	for at := time.Duration(0); ; {
		at += time.Duration(random.ExpFloat64() * float64(meanFaultInterval))
		if at >= within {
			break
		}
		kinds := suddenKinds
		if calm || random.Float64() < plannedFraction {
			kinds = plannedKinds
		}
		plan = append(plan, Fault{
			At: at, For: minFaultTime + time.Duration(random.Int64N(int64(maxFaultTime-minFaultTime))),
			Kind: kinds[random.IntN(len(kinds))], Target: random.IntN(1 << 16),
		})
	}
	if !calm {
		plan = append(plan, rarePlan(rareKinds, seed, 1, within)...)
		plan = append(plan, rarePlan(signalKinds, seed, 2, within)...)
		plan = append(plan, rarePlan(seriesKinds, seed, 3, within)...)
		plan = append(plan, rarePlan(linkKinds, seed, 4, within)...)
		plan = append(plan, rarePlan(crashKinds, seed, 5, within)...)
		plan = append(plan, heavyPlan(seed, within)...)
	}
	if calm {
		plan = append(plan, mutePlan(seed, within)...)
	}
	if seed%silentStore == silentStoreFirst {
		plan = append(plan, Fault{At: within, For: minFaultTime, Kind: StoreSilence, Target: int(seed)}) // after all others
	}
	plan = append(plan, floodPlan(seed, within)...)
	slices.SortStableFunc(plan, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return plan
}

// rarePlan returns the rare faults of some kinds for a seed. Each stream gives an independent plan.
func rarePlan(kinds []Kind, seed, stream uint64, within time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, stream))
	var plan []Fault
	for at := time.Duration(0); ; {
		at += time.Duration(random.ExpFloat64() * float64(meanRareInterval))
		if at >= within {
			return plan
		}
		plan = append(plan, Fault{At: at, For: minFaultTime + time.Duration(random.Int64N(int64(maxFaultTime-minFaultTime))), Kind: kinds[random.IntN(len(kinds))], Target: random.IntN(1 << 16)})
	}
}

const (
	// meanMuteInterval is the mean time between two pauses of sound servers, and maxMuteTime the longest
	// pause: callers wait for two seconds.
	meanMuteInterval = 1500 * time.Millisecond
	maxMuteTime      = 1600 * time.Millisecond
)

// mutePlan returns pauses of sound servers.
func mutePlan(seed uint64, within time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, 7))
	var plan []Fault
	for at := time.Duration(0); ; {
		at += time.Duration(random.ExpFloat64() * float64(meanMuteInterval))
		if at >= within {
			return plan
		}
		plan = append(plan, Fault{At: at, For: minFaultTime + time.Duration(random.Int64N(int64(maxMuteTime-minFaultTime))), Kind: ServerMute, Target: random.IntN(1 << 16)})
	}
}

// floodPlan returns one flood of each kind, in the two halves of the time. Floods don't overlap: an
// account is within its share only while no other flood runs.
func floodPlan(seed uint64, within time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, 6))
	plan := make([]Fault, len(floodKinds))
	for i, k := range random.Perm(len(floodKinds)) {
		plan[i] = Fault{At: time.Duration(i) * within / time.Duration(len(floodKinds)), For: minFaultTime + time.Duration(random.Int64N(int64(maxFaultTime-minFaultTime))), Kind: floodKinds[k], Target: random.IntN(1 << 16)}
	}
	return plan
}
