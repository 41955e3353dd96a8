// Package budget bounds the repeats of requests. Without a bound, servers in
// trouble get every request several times just when they can bear the least. It
// does no I/O and reads no clock.
package budget

import (
	"math"
	"time"
)

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
	// Random is a random number in [0, 1). Nil is one half each time.
	Random func() float64
}

// The parts of the bound.
const (
	// buckets is into how many parts a window is cut to be counted.
	buckets = 40
	// togetherPart is the part of the whole bound up to which any VM may repeat while it
	// knows what all others do, and ownPart the part of its share that each always has:
	// together they stay below the bound.
	togetherPart = 0.88
	ownPart      = 0.1
	// apartPart is the part of its share that a VM has which doesn't know that.
	apartPart = 0.9
	// toldFresh is how old the others' sum may be.
	toldFresh = 1500 * time.Millisecond
	// toldWithin is how long what a VM does takes to be in all others' sums: to the hub of
	// its data centre, from there to another hub, and to that one's VMs, 0.25 s each.
	toldWithin = 750 * time.Millisecond
	// lotDeviations is how many standard deviations of what chance may give out are kept back.
	lotDeviations = 2
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
	// others is what all other VMs were last told to have done, and most the most VMs
	// that such a sum was of, this one included, and when.
	others told
	most   int
	mostAt time.Duration
	// live is how many VMs there are, this one included. 0 is not known.
	live int
	// begun is when the first request came.
	begun time.Duration
}

type told struct {
	at     time.Duration
	vms    int
	counts map[string]Count
}

type window struct {
	requests, repeats [buckets]int
	at                int64
	// draw is this VM's lot for what is left where that is less than one repeat for each VM,
	// and drawnAt when it was drawn.
	draw    float64
	drawnAt time.Duration
	drawn   bool
}

// New makes a budget.
func New(options Options) *Budget {
	if options.Random == nil {
		options.Random = func() float64 { return 0.5 }
	}
	return &Budget{options: options, services: make(map[string]*window)}
}

// Heard takes the sums by service of what so many other VMs did.
func (b *Budget) Heard(now time.Duration, vms int, counts map[string]Count) {
	b.others = told{at: now, vms: vms, counts: counts}
	if vms+1 >= b.most || now-b.mostAt > 2*b.options.Window {
		b.most, b.mostAt = vms+1, now
	}
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

// Begun tells whether this VM or those that it heard of had requests in their last window.
func (b *Budget) Begun(now time.Duration) bool {
	for _, count := range b.others.counts {
		if count.Requests > 0 {
			return true
		}
	}
	for service := range b.services {
		if b.own(now, service).Requests > 0 {
			return true
		}
	}
	return false
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
// Sums are up to toldWithin old. When all VMs see the same trouble at the same moment,
// each would use all that the others seem to leave; so in the time that a sum takes, a VM
// uses its part of that only.
//
// Troubles meet VMs unevenly, so a VM that knows of the others may use what they
// leave. One that is cut off, or restarted just now, keeps to its own share: the
// shares of all VMs together are within the bound whatever each of them knows. Of VMs
// that hear one another only, as on one side of a cut, each side has its part of the slack.
func (b *Budget) Repeat(now time.Duration, service string, part float64) bool {
	own := b.own(now, service)
	share := b.bound(own.Requests) - b.options.Slack + b.options.Slack/float64(b.vms(now))
	next := float64(own.Repeats + 1)
	allowed := next <= part*ownPart*share
	if b.others.vms > 0 && now-b.others.at <= toldFresh && now >= b.begun+b.options.UnknownFor {
		group := float64(b.others.vms + 1)
		done := b.others.counts[service]
		bound := b.options.Ratio*float64(own.Requests+done.Requests) + b.options.Slack*group/max(group, float64(b.vms(now)))
		left := part*togetherPart*bound - float64(own.Repeats+done.Repeats)
		if left < group {
			// There is less than one repeat for each VM: chance decides which ones take it, and how
			// many they are.
			left -= lotDeviations * math.Sqrt(max(left, 0))
		}
		allowed = allowed || float64(b.recent(now, service))+b.lot(now, service) < left/group
	} else {
		allowed = allowed || next <= part*apartPart*share
	}
	if allowed {
		w := b.window(now, service)
		w.repeats[w.at%buckets]++
	}
	return allowed
}

// lot is a random number that holds for the time that a sum takes. A VM that drew one for each
// look would win in the end, as would all others, before any of them hears of the rest.
func (b *Budget) lot(now time.Duration, service string) float64 {
	w := b.window(now, service)
	if !w.drawn || now-w.drawnAt >= toldWithin {
		w.draw, w.drawnAt, w.drawn = b.options.Random(), now, true
	}
	return w.draw
}

func (b *Budget) bound(requests int) float64 {
	return b.options.Ratio*float64(requests) + b.options.Slack
}

// vms is over how many VMs the slack is divided. After a loss of power all VMs start at
// the same moment and know of nobody: if each took a large share then, together they
// would go far beyond the bound.
func (b *Budget) vms(now time.Duration) int {
	known := max(b.options.VMs, b.most, b.live, 1)
	if b.live == 0 && now < b.begun+b.options.UnknownFor {
		return max(known, b.options.UnknownVMs)
	}
	return known
}

// Live takes how many VMs there are, this one included.
func (b *Budget) Live(vms int) { b.live = vms }

func (b *Budget) own(now time.Duration, service string) Count {
	w := b.window(now, service)
	var count Count
	for i := range buckets {
		count.Requests += w.requests[i]
		count.Repeats += w.repeats[i]
	}
	return count
}

// recent counts the repeats that the others may not know of yet: those of this part of
// the window and of the parts before it in which a sum may be on its way.
func (b *Budget) recent(now time.Duration, service string) int {
	w := b.window(now, service)
	count := 0
	for back := range int64(toldWithin/(b.options.Window/buckets)) + 1 {
		count += w.repeats[(w.at+buckets-back%buckets)%buckets]
	}
	return count
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
