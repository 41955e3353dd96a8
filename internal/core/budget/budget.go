// Package budget limits the retries of requests across all VMs (a retry budget). Without a
// limit, overloaded or failing servers receive every request several times just when they can
// handle the least. The package does no I/O and reads no clock.
package budget

import (
	"math"
	"time"
)

// Options configures the budget, which applies to all VMs together.
type Options struct {
	// Ratio is the number of retries allowed per request, and Slack the number allowed in
	// addition in each Window.
	Ratio  float64
	Slack  float64
	Window time.Duration
	// StartedAt is when this process started. What the VM did before is unknown to it.
	StartedAt time.Duration
	// MinVMs is the minimum number of VMs among which the slack is divided. StartupVMs is the
	// minimum while the number of live VMs is unknown, for StartupPeriod after the first request.
	MinVMs, StartupVMs int
	StartupPeriod      time.Duration
	// Random returns a random number in [0, 1). Nil means always 0.5.
	Random func() float64
}

// Parameters of the budget.
const (
	// buckets is the number of buckets in which a window is counted, and keptBuckets how many
	// are kept: those of a History, whose last part is partly older than the window.
	buckets     = 2 * HistoryBuckets
	keptBuckets = 2 * HistoryLength
	// sharedFraction is the fraction of the whole budget up to which any VM may retry while it
	// has current counts of all other VMs, and reservedFraction the fraction of its own share
	// that each VM always has: together they stay below the limit. The reserve grows with the
	// age of the process until it is as old as the window, so that the processes of a VM that
	// restarts again and again have one reserve together.
	sharedFraction   = 0.88
	reservedFraction = 0.1
	// isolatedFraction is the fraction of its share that a VM has without counts of the others
	// within the last window.
	isolatedFraction = 0.9
	// propagationDelay is how long it takes until the counts of a VM are in the sums of all
	// others: 0.25 s each to the hub of its data centre, from there to another hub, and to that
	// hub's VMs.
	propagationDelay = 750 * time.Millisecond
	// drawDeviations is how many standard deviations of the number of random winners are held
	// back.
	drawDeviations = 2
)

// Budget counts one VM's requests and retries by service.
type Budget struct {
	options  Options
	services map[string]*window
	// peers are the latest complete counts of all other VMs, as of peersAt, and traffic the latest ones,
	// which may lack some. mostVMs is the largest number of VMs, this one included, that this VM or another
	// one saw report.
	peers   PeerCounts
	peersAt time.Duration
	traffic map[string]Count
	mostVMs KnownVMs
	// liveVMs is the number of live VMs, this one included; 0 means unknown.
	liveVMs int
	// firstRequestAt is when the first request was counted.
	firstRequestAt time.Duration
}

// KnownVMs is a number of VMs that reported at the same time, and when that was.
type KnownVMs struct {
	VMs int
	At  time.Duration
}

// Merge returns the larger of this number and another VM's, ignoring those older than retention. Of equal ones it
// returns this one: the age of the other is too low by the transit time of its message, so VMs that adopted it from
// one another would keep it for ever.
func (k KnownVMs) Merge(now time.Duration, other KnownVMs, retention time.Duration) KnownVMs {
	if now-other.At <= retention && (other.VMs > k.VMs || now-k.At > retention) {
		return other
	}
	return k
}

// PeerCounts are the counts of the other VMs.
type PeerCounts struct {
	// VMs is the number of VMs that report now, and OldestAge the age of the oldest of their reports.
	VMs       int
	OldestAge time.Duration
	// Counts are what the other VMs did in the last window, by service. They must include VMs that
	// have ended since.
	Counts map[string]Count
	// Absent is the part of Counts of VMs that don't report now. They have ended, or can't be reached
	// and go on to retry.
	Absent map[string]Count
}

type window struct {
	requests, retries [keptBuckets]int
	bucket            int64
	// draw is the random number of this VM that decides whether it may retry when less than one
	// retry per VM is left, and drawnAt when it was drawn.
	draw    float64
	drawnAt time.Duration
	drawn   bool
}

// New returns a budget without any counts.
func New(options Options) *Budget {
	if options.Random == nil {
		options.Random = func() float64 { return 0.5 }
	}
	return &Budget{options: options, services: make(map[string]*window)}
}

// SetPeerCounts sets the counts of the other VMs.
func (b *Budget) SetPeerCounts(now time.Duration, peers PeerCounts) {
	b.peers, b.peersAt, b.traffic = peers, now, peers.Counts
	if seen := (KnownVMs{VMs: peers.VMs + 1, At: now}); seen.VMs == b.mostVMs.VMs {
		b.mostVMs = seen
	} else {
		b.mostVMs = b.mostVMs.Merge(now, seen, 2*b.options.Window)
	}
}

// LearnVMs merges the number of VMs that another VM knows of.
func (b *Budget) LearnVMs(now time.Duration, known KnownVMs) {
	b.mostVMs = b.mostVMs.Merge(now, known, 2*b.options.Window)
}

// MostVMs returns the largest number of VMs, this one included, that this VM or another one saw report.
func (b *Budget) MostVMs() KnownVMs { return b.mostVMs }

// SetPeerTraffic sets counts of the other VMs that may lack some. They show only whether there is
// traffic.
func (b *Budget) SetPeerTraffic(counts map[string]Count) { b.traffic = counts }

// HasTraffic reports whether this VM, or another one whose counts it has, received requests in the
// last window.
func (b *Budget) HasTraffic(now time.Duration) bool {
	for _, count := range b.traffic {
		if count.Requests > 0 {
			return true
		}
	}
	for service := range b.services {
		if b.ownCount(now, service).Requests > 0 {
			return true
		}
	}
	return false
}

// CountRequest counts a request for a service.
func (b *Budget) CountRequest(now time.Duration, service string) {
	if b.firstRequestAt == 0 {
		b.firstRequestAt = now
	}
	w := b.window(now, service)
	w.requests[w.bucket%keptBuckets]++
}

// TakeRetry takes one retry and reports true if the retries used so far are below the given part of
// the budget (1 is all of it). Less important retries pass a smaller part and leave the rest.
//
// Counts of other VMs are up to propagationDelay old. If all VMs see the same failure at the
// same moment, each would use everything that the others appear to leave, so within one
// propagation delay a VM uses only its part of what is left.
//
// Failures affect VMs unevenly, so a VM with current counts of the others may use what they
// leave. A VM that no longer receives counts may use its part of what the last ones left, and once
// they are as old as the window its own share: the shares of all VMs together are within the limit
// whatever each of them knows. A VM that has just started knows nothing of what was used before,
// by itself or by others, and has its reserve only. If VMs receive the counts of only some others,
// as on one side of a partition, each side has the budget of its own requests and its part of the slack.
func (b *Budget) TakeRetry(now time.Duration, service string, part float64) bool {
	own := b.ownCount(now, service)
	share := b.limit(own.Requests) - b.options.Slack + b.options.Slack/float64(b.vmCount(now))
	next := float64(own.Retries + 1)
	age := now - b.options.StartedAt
	allowed := next <= part*reservedFraction*share*min(age.Seconds()/b.options.Window.Seconds(), 1)
	switch countsAge := now - b.peersAt; {
	case b.peers.VMs > 0 && countsAge <= b.options.Window:
		unknown := b.retriesSince(now, service, countsAge+b.peers.OldestAge+propagationDelay)
		allowed = allowed || float64(unknown)+b.randomDraw(now, service) < b.partLeft(now, service, own, part)
	case age >= b.options.Window:
		allowed = allowed || next <= part*isolatedFraction*share
	}
	if allowed {
		w := b.window(now, service)
		w.retries[w.bucket%keptBuckets]++
	}
	return allowed
}

// RecordSent counts a retry that was taken at a time for now, when it is sent: it may have waited for a server
// meanwhile.
func (b *Budget) RecordSent(now time.Duration, service string, takenAt time.Duration) {
	if b.ReturnRetry(now, service, takenAt) {
		w := b.window(now, service)
		w.retries[w.bucket%keptBuckets]++
	}
}

// ReturnRetry gives back a retry that was taken at a time and is not sent. It reports whether it still counted.
func (b *Budget) ReturnRetry(now time.Duration, service string, takenAt time.Duration) bool {
	w := b.window(now, service)
	age := w.bucket - int64(takenAt/(b.options.Window/buckets))
	if age < 0 || age >= keptBuckets || w.at(age).Retries == 0 {
		return false
	}
	w.retries[(w.bucket-age)%keptBuckets]--
	return true
}

// partLeft returns this VM's part of the retries that all VMs have left, by the last counts of the
// others.
func (b *Budget) partLeft(now time.Duration, service string, own Count, part float64) float64 {
	vms, all := float64(b.peers.VMs+1), float64(max(b.peers.VMs+1, b.vmCount(now)))
	absent := b.peers.Absent[service]
	present := own.Add(b.peers.Counts[service]).Subtract(absent)
	limit := b.options.Ratio*float64(present.Requests) + b.options.Slack*vms/all
	absentLimit := b.options.Ratio*float64(absent.Requests) + b.options.Slack*(all-vms)/all
	// VMs that don't report may still use the rest of their own budget. What they used beyond it is
	// subtracted from that of the VMs that report.
	borrowed := max(float64(absent.Retries)-sharedFraction*absentLimit, 0)
	left := part*sharedFraction*limit - float64(present.Retries) - borrowed
	if left < vms {
		// Less than one retry per VM is left: random draws decide which VMs take one, and
		// how many do.
		left -= drawDeviations * math.Sqrt(max(left, 0))
	}
	return left / vms
}

// randomDraw returns a random number that stays the same for one propagation delay. A VM that
// drew a new one for each attempt would win eventually, and so would all others, before any of
// them learns of the rest.
func (b *Budget) randomDraw(now time.Duration, service string) float64 {
	w := b.window(now, service)
	if !w.drawn || now-w.drawnAt >= propagationDelay {
		w.draw, w.drawnAt, w.drawn = b.options.Random(), now, true
	}
	return w.draw
}

func (b *Budget) limit(requests int) float64 {
	return b.options.Ratio*float64(requests) + b.options.Slack
}

// vmCount returns the number of VMs among which the slack is divided. After a power failure all
// VMs start at the same moment and don't know one another: if each took a large share, together
// they would far exceed the limit.
func (b *Budget) vmCount(now time.Duration) int {
	known := max(b.options.MinVMs, b.mostVMs.VMs, b.liveVMs, 1)
	if b.liveVMs == 0 && now < b.firstRequestAt+b.options.StartupPeriod {
		return max(known, b.options.StartupVMs)
	}
	return known
}

// SetLiveVMs sets the number of live VMs, this one included.
func (b *Budget) SetLiveVMs(vms int) { b.liveVMs = vms }

func (b *Budget) ownCount(now time.Duration, service string) Count {
	w := b.window(now, service)
	var count Count
	for i := range keptBuckets {
		count.Requests += w.requests[i]
		count.Retries += w.retries[i]
	}
	for age := int64(buckets); age < keptBuckets; age++ {
		count.Requests -= w.at(age).Requests
	}
	return count
}

// at returns the counts of the bucket that is that many buckets old.
func (w *window) at(age int64) Count {
	i := (w.bucket + keptBuckets - age) % keptBuckets
	return Count{Requests: w.requests[i], Retries: w.retries[i]}
}

// retriesSince counts the retries in the current bucket and in the earlier ones of a time. The
// other VMs may not know yet of those of the last propagation delay.
func (b *Budget) retriesSince(now time.Duration, service string, since time.Duration) int {
	w := b.window(now, service)
	count := 0
	for age := range min(int64(since/(b.options.Window/buckets))+1, keptBuckets) {
		count += w.at(age).Retries
	}
	return count
}

// window advances a service's window to now, clearing the buckets that have passed, and returns
// it.
func (b *Budget) window(now time.Duration, service string) *window {
	bucket := int64(now / (b.options.Window / buckets))
	w, ok := b.services[service]
	if !ok {
		w = &window{bucket: bucket}
		b.services[service] = w
	}
	for passed := 0; w.bucket < bucket && passed < keptBuckets; passed++ {
		w.bucket++
		w.requests[w.bucket%keptBuckets], w.retries[w.bucket%keptBuckets] = 0, 0
	}
	w.bucket = max(w.bucket, bucket)
	return w
}
