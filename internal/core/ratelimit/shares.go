package ratelimit

import (
	"cmp"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"oleandershunt.example/oleandershunt/internal/core/lease"
)

const (
	// usableFraction is the fraction of a server's rate that all VMs together use. The rest
	// absorbs periods in which VMs disagree about which VMs are live.
	usableFraction = 0.9
	// minPerSecond is the rate used for a server that sets a lower one: the next answer tells
	// whether the limit still applies.
	minPerSecond = 0.25
	// demandFraction is the fraction of a rate that is divided by what callers send to each VM, of all
	// data centres. The rest is divided evenly among the VMs of the server's data centre, which are
	// nearest to it, so that a VM that gets its first callers may send.
	demandFraction = 0.8
	// burst is the maximum number of requests that a VM sends at once.
	burst = 1
)

// rankPrefix is prepended to a server's ID to form the role for which VMs are ranked.
const rankPrefix = "limited/"

// SetLiveVMs sets the live VMs. They include this VM as long as it may send requests.
func (l *Limits) SetLiveVMs(now time.Duration, self string, vms []lease.VM) {
	vms = slices.SortedFunc(slices.Values(vms), func(a, b lease.VM) int { return cmp.Compare(a.Name, b.Name) })
	if l.self == self && slices.Equal(l.vms, vms) {
		return
	}
	l.self, l.vms = self, vms
	for id, known := range l.servers {
		l.updateShare(now, id, known)
	}
}

// updateShare recomputes this VM's share of a server's rate.
func (l *Limits) updateShare(now time.Duration, id string, known *serverState) {
	share := 0.0
	if known.report.Limited() {
		share = l.computeShare(id, known, max(known.report.PerSecond, minPerSecond))
	}
	if share == known.share {
		return
	}
	known.share = share
	if share == 0 {
		known.bucket = nil
		return
	}
	if known.bucket == nil {
		known.bucket = rate.NewLimiter(rate.Limit(share), burst)
		// The bucket starts empty: otherwise VMs that take over from one another would each add
		// a burst.
		known.bucket.AllowN(toTime(now), burst)
		return
	}
	known.bucket.SetLimitAt(toTime(now), rate.Limit(share))
}

// computeShare returns this VM's part of a rate, or 0 if it must not send. The number of VMs
// that send to a limited server is bounded so that each has at least one request per second:
// with hundreds of senders, their bursts of one request each would exceed what the server
// accepts.
func (l *Limits) computeShare(id string, known *serverState, perSecond float64) float64 {
	usable := usableFraction * perSecond
	even := l.evenShare(id, known.dataCentre, usable)
	if !known.demandKnown || float64(len(l.vms)) > usable {
		return even
	}
	return (1-demandFraction)*even + demandFraction*known.demand*usable
}

// evenShare returns this VM's part of a rate that is divided evenly among the VMs that may send.
func (l *Limits) evenShare(id, dataCentre string, usable float64) float64 {
	senders := rankSenders(id, dataCentre, l.vms)
	senders = senders[:min(len(senders), max(int(usable), 1))]
	if !slices.ContainsFunc(senders, func(vm lease.VM) bool { return vm.Name == l.self }) {
		return 0
	}
	return usable / float64(len(senders))
}

// Empty reports whether no server is known to set a rate.
func (l *Limits) Empty() bool { return len(l.servers) == 0 }

// SetDemand sets this VM's part of what callers send to the service of each server, from 0 to 1. It
// is unknown where demand returns false.
func (l *Limits) SetDemand(now time.Duration, demand func(id string) (float64, bool)) {
	for id, known := range l.servers {
		known.demand, known.demandKnown = demand(id)
		l.updateShare(now, id, known)
	}
}

// rankSenders ranks the VMs that may send to a limited server: those of its data centre, or all
// of them if none of those is live. VMs that agree on the live VMs compute the same order.
func rankSenders(id, dataCentre string, vms []lease.VM) []lease.VM {
	local := slices.DeleteFunc(slices.Clone(vms), func(vm lease.VM) bool { return vm.DataCentre != dataCentre })
	if len(local) == 0 {
		local = slices.Clone(vms)
	}
	for i := range local {
		// Ignore processor cores, or the same VMs would be the senders for all servers.
		local[i].Cores = 0
	}
	return lease.Rank(rankPrefix+id, dataCentre, local)
}

// Allows reports whether this VM may send a request to a server now.
func (l *Limits) Allows(now time.Duration, id string) bool {
	known, ok := l.servers[id]
	if !ok || !known.report.Limited() {
		return true
	}
	return known.bucket != nil && known.bucket.TokensAt(toTime(now)) >= 1
}

// RecordSent records that a request was sent to a server.
func (l *Limits) RecordSent(now time.Duration, id string) {
	if known, ok := l.servers[id]; ok && known.bucket != nil {
		known.bucket.AllowN(toTime(now), 1)
	}
}

// NextSend returns how long this VM has to wait before it may send a request to a limited server,
// and its share of the server's rate in requests per second. The share is 0 if it may send none.
func (l *Limits) NextSend(now time.Duration, id string) (wait time.Duration, share float64) {
	known, ok := l.servers[id]
	if !ok || known.bucket == nil {
		return 0, 0
	}
	missing := max(1-known.bucket.TokensAt(toTime(now)), 0)
	return time.Duration(missing / known.share * float64(time.Second)), known.share
}

// toTime converts a time since the VM's clock started to a time.Time.
func toTime(now time.Duration) time.Time { return time.Unix(0, 0).Add(now) }
