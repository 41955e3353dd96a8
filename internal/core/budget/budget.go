// Package budget bounds the repeats of requests. Without a bound, servers in
// trouble get every request several times just when they can bear the least. It
// does no I/O and reads no clock.
package budget

import "time"

// Options are the bound, for all VMs together.
type Options struct {
	// Ratio is the repeats allowed for each request, and Slack those allowed
	// besides, in each Window.
	Ratio  float64
	Slack  float64
	Window time.Duration
	// VMs is over how many VMs the slack is divided at least, and UnknownVMs over how
	// many while it isn't known who there is, for UnknownFor after the first request.
	VMs, UnknownVMs int
	UnknownFor      time.Duration
}

// The parts of the bound.
const (
	// buckets is into how many parts a window is cut to be counted.
	buckets = 20
	// ownPart is the part of a VM's share that it always has.
	ownPart = 0.25
	// togetherPart is the part of the whole bound up to which any VM may repeat
	// while it knows what all others do. What the others add to their own parts
	// then stays below the rest: a quarter of the shares of the idle ones.
	togetherPart = 0.75
	// apartPart is the part of its share that a VM has which doesn't know that.
	apartPart = 0.9
	// toldFresh is how old another VM's word may be.
	toldFresh = 1500 * time.Millisecond
)

// Count is what a VM did in the last window.
type Count struct {
	Requests int `json:"requests"`
	Repeats  int `json:"repeats"`
}

// Budget counts one VM's requests and repeats by service.
type Budget struct {
	options  Options
	services map[string]*window
	// others is what other VMs told.
	others map[string]told
	// live is how many VMs there are, this one included. 0 is not known.
	live int
	// begun is when the first request came.
	begun time.Duration
}

type told struct {
	at     time.Duration
	counts map[string]Count
}

type window struct {
	requests, repeats [buckets]int
	at                int64
}

// New makes a budget.
func New(options Options) *Budget {
	return &Budget{options: options, services: make(map[string]*window), others: make(map[string]told)}
}

// Heard takes another VM's counts by service.
func (b *Budget) Heard(now time.Duration, vm string, counts map[string]Count) {
	b.others[vm] = told{at: now, counts: counts}
}

// Counts are this VM's counts, for the others.
func (b *Budget) Counts(now time.Duration) map[string]Count {
	counts := make(map[string]Count, len(b.services))
	for service := range b.services {
		if count := b.own(now, service); count != (Count{}) {
			counts[service] = count
		}
	}
	return counts
}

// Request counts a request for a service.
func (b *Budget) Request(now time.Duration, service string) {
	if b.begun == 0 {
		b.begun = now
	}
	w := b.window(now, service)
	w.requests[w.at%buckets]++
}

// Repeat takes one repeat, if no more than a part of the budget is used up, 1
// being all of it. What matters less takes a smaller part, and leaves the rest.
//
// Words are up to half a second old. When all VMs see the same trouble at the same
// moment, each would use all that the others seem to leave; so in the time that a
// word takes, a VM uses its part of that only.
//
// Troubles meet VMs unevenly, so a VM that knows of the others may use what they
// leave. One that is cut off, or restarted just now, keeps to its own share: the
// shares of all VMs together are within the bound whatever each of them knows.
func (b *Budget) Repeat(now time.Duration, service string, part float64) bool {
	own := b.own(now, service)
	share := b.bound(own.Requests) - b.options.Slack + b.options.Slack/float64(b.vms(now))
	all, fresh := b.all(now, service, own)
	next := float64(own.Repeats + 1)
	allowed := next <= part*ownPart*share
	if fresh {
		left := part*togetherPart*b.bound(all.Requests) - float64(all.Repeats)
		allowed = allowed || (left >= 1 && float64(b.recent(now, service)) < left/float64(len(b.others)+1))
	} else {
		allowed = allowed || next <= part*apartPart*share
	}
	if allowed {
		w := b.window(now, service)
		w.repeats[w.at%buckets]++
	}
	return allowed
}

func (b *Budget) bound(requests int) float64 {
	return b.options.Ratio*float64(requests) + b.options.Slack
}

// vms is over how many VMs the slack is divided. After a loss of power all VMs start at
// the same moment and know of nobody: if each took a large share then, together they
// would go far beyond the bound.
func (b *Budget) vms(now time.Duration) int {
	known := max(b.options.VMs, len(b.others)+1, b.live, 1)
	if b.live == 0 && now < b.begun+b.options.UnknownFor {
		return max(known, b.options.UnknownVMs)
	}
	return known
}

// Live takes how many VMs there are, this one included.
func (b *Budget) Live(vms int) { b.live = vms }

// all adds up what the VMs did. It is not fresh when some VM was silent lately.
func (b *Budget) all(now time.Duration, service string, own Count) (sum Count, fresh bool) {
	sum, fresh = own, len(b.others) > 0
	for vm, other := range b.others {
		if now-other.at > 2*b.options.Window {
			delete(b.others, vm)
			continue
		}
		fresh = fresh && now-other.at <= toldFresh
		sum.Requests += other.counts[service].Requests
		sum.Repeats += other.counts[service].Repeats
	}
	return sum, fresh
}

func (b *Budget) own(now time.Duration, service string) Count {
	w := b.window(now, service)
	var count Count
	for i := range buckets {
		count.Requests += w.requests[i]
		count.Repeats += w.repeats[i]
	}
	return count
}

// recent counts the repeats that the others may not know of yet: those of this
// part of the window and of the one before.
func (b *Budget) recent(now time.Duration, service string) int {
	w := b.window(now, service)
	return w.repeats[w.at%buckets] + w.repeats[(w.at+buckets-1)%buckets]
}

// window moves a service's window on to now.
func (b *Budget) window(now time.Duration, service string) *window {
	at := int64(now / (b.options.Window / buckets))
	w, ok := b.services[service]
	if !ok {
		w = &window{at: at}
		b.services[service] = w
	}
	for passed := 0; w.at < at && passed < buckets; passed++ {
		w.at++
		w.requests[w.at%buckets], w.repeats[w.at%buckets] = 0, 0
	}
	w.at = max(w.at, at)
	return w
}
