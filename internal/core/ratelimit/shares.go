package ratelimit

import (
	"cmp"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"oleandershunt.example/oleandershunt/internal/core/lease"
)

const (
	// usedPart is the part of a server's rate that all VMs together use. The rest is for
	// moments in which VMs differ on who lives.
	usedPart = 0.9
	// leastPerSecond is what a server gets that sets a lower rate: its next answer tells
	// whether the limit still holds.
	leastPerSecond = 0.25
	// burst is the most requests that a VM sends at once.
	burst = 1
)

// role is what VMs are ranked for, per server.
const role = "limited/"

// Live takes this VM and all that live, this one included while it may send requests.
func (l *Limits) Live(now time.Duration, self string, vms []lease.VM) {
	vms = slices.SortedFunc(slices.Values(vms), func(a, b lease.VM) int { return cmp.Compare(a.Name, b.Name) })
	if l.self == self && slices.Equal(l.vms, vms) {
		return
	}
	l.self, l.vms = self, vms
	for id, known := range l.servers {
		l.divide(now, id, known)
	}
}

// divide finds this VM's share of a server's rate.
func (l *Limits) divide(now time.Duration, id string, known *server) {
	share := 0.0
	if known.word.Limited() {
		share = l.share(id, known.dataCentre, max(known.word.PerSecond, leastPerSecond))
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
		// Empty at first: VMs that take over from one another would each add a burst.
		known.bucket.AllowN(moment(now), burst)
		return
	}
	known.bucket.SetLimitAt(moment(now), rate.Limit(share))
}

// share is this VM's part of a rate, 0 for none. Only as many VMs send to a limited server
// as have one request a second each: the burst of one for each of hundreds would be more
// than the server takes.
func (l *Limits) share(id, dataCentre string, perSecond float64) float64 {
	senders := sendersOf(id, dataCentre, l.vms)
	senders = senders[:min(len(senders), max(int(usedPart*perSecond), 1))]
	if !slices.ContainsFunc(senders, func(vm lease.VM) bool { return vm.Name == l.self }) {
		return 0
	}
	return usedPart * perSecond / float64(len(senders))
}

// sendersOf ranks the VMs that may send to a limited server: those of its data centre, where
// any of them lives. VMs that know the same ones live have the same order.
func sendersOf(id, dataCentre string, vms []lease.VM) []lease.VM {
	near := slices.DeleteFunc(slices.Clone(vms), func(vm lease.VM) bool { return vm.DataCentre != dataCentre })
	if len(near) == 0 {
		near = slices.Clone(vms)
	}
	for i := range near {
		// Not by processor time, or the same VMs would be the senders of all servers.
		near[i].Cores = 0
	}
	return lease.Rank(role+id, dataCentre, near)
}

// Allows tells whether this VM may send a request to a server now.
func (l *Limits) Allows(now time.Duration, id string) bool {
	known, ok := l.servers[id]
	if !ok || !known.word.Limited() {
		return true
	}
	return known.bucket != nil && known.bucket.TokensAt(moment(now)) >= 1
}

// Sent counts a request that is sent to a server.
func (l *Limits) Sent(now time.Duration, id string) {
	if known, ok := l.servers[id]; ok && known.bucket != nil {
		known.bucket.AllowN(moment(now), 1)
	}
}

// Next is in what time this VM may send a request to a limited server, and its share of the
// server's rate. The share is 0 where it may send none.
func (l *Limits) Next(now time.Duration, id string) (wait time.Duration, share float64) {
	known, ok := l.servers[id]
	if !ok || known.bucket == nil {
		return 0, 0
	}
	lacks := max(1-known.bucket.TokensAt(moment(now)), 0)
	return time.Duration(lacks / known.share * float64(time.Second)), known.share
}

// moment makes a time of the VM's clock, which counts from the start.
func moment(now time.Duration) time.Time { return time.Unix(0, 0).Add(now) }
