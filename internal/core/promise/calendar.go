// Package promise decides when callers that can't be served under overload are to return. It
// forecasts when a queued request starts, and gives each refused caller a time at which a start is
// free for it, so that callers neither return all at once nor in vain. It knows of the promises of
// all VMs, since a caller may return to another one. The package does no I/O and reads no clock; it
// is not safe for concurrent use. Times are durations since the VM's start.
package promise

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Parameters of a Calendar.
const (
	// earliest and latest bound when a caller may return, relative to the promised time: timers and
	// connections take some time.
	earliest = -50 * time.Millisecond
	latest   = time.Second
	// remoteTTL is how long the promises of other VMs count without an update.
	remoteTTL = 1500 * time.Millisecond
	// timelyShare is the share of the starts that is promised for times at which a response can
	// still be in time. The rest covers the error of the rate.
	timelyShare = 0.8
	// lateShare is the same for later times. A late response is worth a quarter of one in time, and
	// takes the start of a new request that could be in time.
	lateShare = 0.1
	// priorityPart is the part of these shares that remains for each lower priority, down to minPart,
	// so that more urgent requests find free buckets earlier.
	priorityPart = 0.75
	minPart      = 0.25
	// windowBuckets is the number of buckets over which promises are spaced out, so that rates that
	// aren't a whole number per bucket are used up.
	windowBuckets = 10
	// never is after any caller's time.
	never = 24 * time.Hour
)

// Calendar holds the promises that are outstanding. The zero value is not usable; use New.
type Calendar struct {
	services map[string]*schedule
}

// Request is a caller that is refused.
type Request struct {
	Key Key
	// Ahead is the number of queued requests that would start before it.
	Ahead int
	// Timely is the time until which it must start for a response in time; 0 if its route has no target.
	Timely time.Duration
	// Limit is the longest time after which it may be asked to return.
	Limit time.Duration
	// Priority is the urgency; 0 is the most urgent.
	Priority int
	// Refused says that it returned at an earlier promised time and is refused again.
	Refused bool
}

// part returns the part of the starts that a request may be promised.
func (r Request) part() float64 {
	priority := r.Priority
	if r.Refused {
		priority--
	}
	return max(math.Pow(priorityPart, float64(max(priority, 0))), minPart)
}

// schedule is the promises of one service.
type schedule struct {
	// own are this VM's outstanding promises, and order their keys, oldest first. counts are their
	// numbers by bucket.
	own    map[Key]time.Duration
	order  []Key
	counts bucketCounts
	// ended are the promises whose callers returned to this VM, or lately to others.
	ended map[Key]ending
	// swept is when expired endings were last removed.
	swept time.Duration
	// remote are the promises of the other VMs, as of remoteAt.
	remoteAt      time.Duration
	remoteRate    float64
	remoteBuckets bucketCounts
	remoteKeys    map[Key]time.Duration
}

// ending is a promise that is kept or lost.
type ending struct {
	due  time.Duration
	lost bool
	// here is set if the caller returned to this VM.
	here bool
}

// New returns a calendar without promises.
func New() *Calendar { return &Calendar{services: make(map[string]*schedule)} }

func newSchedule() *schedule {
	return &schedule{own: make(map[Key]time.Duration), ended: make(map[Key]ending)}
}

// schedule returns the schedule of a service without what has expired.
func (c *Calendar) schedule(now time.Duration, service string) *schedule {
	s, ok := c.services[service]
	if !ok {
		s = newSchedule()
		c.services[service] = s
	}
	s.expire(now)
	return s
}

func (s *schedule) expire(now time.Duration) {
	for len(s.order) > 0 && now > s.own[s.order[0]]+latest {
		s.drop(s.order[0])
	}
	if now-s.swept >= BucketWidth {
		s.swept = now
		maps.DeleteFunc(s.ended, func(_ Key, e ending) bool { return now > e.due+latest })
	}
	if s.remoteAt > 0 && now > s.remoteAt+remoteTTL {
		s.remoteAt, s.remoteRate, s.remoteBuckets, s.remoteKeys = 0, 0, bucketCounts{}, nil
	}
}

// Outstanding returns the number of this VM's promises that callers can still claim. It changes nothing.
func (c *Calendar) Outstanding(now time.Duration, service string) (promises int) {
	s, ok := c.services[service]
	if !ok {
		return 0
	}
	for _, due := range s.own {
		if now <= due+latest {
			promises++
		}
	}
	return promises
}

// drop removes one of this VM's promises.
func (s *schedule) drop(key Key) {
	due, ok := s.own[key]
	if !ok {
		return
	}
	delete(s.own, key)
	s.counts.add(bucketOf(due), -1)
	if s.order[0] == key {
		s.order = s.order[1:]
	} else if i := slices.Index(s.order, key); i >= 0 {
		s.order = slices.Delete(s.order, i, i+1)
	}
}

// Forecast returns when a request starts with so many others before it, if rate requests start per
// second. Callers that return at their promised times until then start before it, those of all VMs
// to the part of the rate that is this VM's.
func (c *Calendar) Forecast(now time.Duration, service string, ahead int, rate float64) time.Duration {
	s := c.schedule(now, service)
	if rate <= 0 {
		return now + never
	}
	part := rate / (rate + s.remoteRate)
	left, from := float64(ahead), now
	for range Horizon {
		bucket := bucketOf(from)
		end := time.Duration(bucket+1) * BucketWidth
		span := end - from
		left += part * float64(s.counts.get(bucket)+s.remoteBuckets.get(bucket)) * float64(span) / float64(BucketWidth)
		starts := rate * span.Seconds()
		if left <= starts {
			return from + time.Duration(left/rate*float64(time.Second))
		}
		left, from = left-starts, end
	}
	return from + time.Duration(left/rate*float64(time.Second))
}

// Promise gives a refused caller the time after which it is to return, if a start is free for it
// within its limit. rate is the number of starts per second on this VM; u is a random number in
// [0, 1) that spreads the callers of all VMs.
func (c *Calendar) Promise(now time.Duration, service string, r Request, rate, u float64) (in time.Duration, ok bool) {
	s := c.schedule(now, service)
	if due, outstanding := s.own[r.Key]; outstanding && now <= due+latest {
		return 0, false
	}
	if e := s.ended[r.Key]; e.lost && now <= e.due+latest {
		return 0, false
	}
	s.drop(r.Key)
	if rate < minRate {
		return 0, false // a caller that returns may find no start within its wait
	}
	from := bucketOf(c.Forecast(now, service, r.Ahead, rate)) + 1
	// Buckets that are about to begin are left out, and the last one ends before the limit.
	from = max(from, bucketOf(now+BucketWidth/2)+1)
	end := min(bucketOf(now+r.Limit), bucketOf(now)+Horizon)
	a := allowance{perBucket: rate * BucketWidth.Seconds(), timely: r.Timely, part: r.part()}
	for bucket := from; bucket < end; bucket++ {
		if !s.free(bucket, a) {
			continue
		}
		due := s.choose(bucket, end, a, u)
		s.add(r.Key, due)
		return due - now, true
	}
	return 0, false
}

// choose returns a time within the first free bucket or, if the buckets before it are empty, one of
// the next. The VMs of a slow service would otherwise all choose the same bucket.
func (s *schedule) choose(bucket, end int64, a allowance, u float64) time.Duration {
	_, width := a.window(bucket)
	steps := u * math.Ceil(1/a.at(bucket))
	if other := bucket + int64(steps); other < end && s.counts.between(bucket-width, bucket, bucket) == 0 && s.free(other, a) {
		bucket = other
	}
	_, fraction := math.Modf(steps)
	return time.Duration(bucket)*BucketWidth + time.Duration(fraction*float64(BucketWidth))
}

func (s *schedule) add(key Key, due time.Duration) {
	s.own[key] = due
	s.counts.add(bucketOf(due), 1)
	delete(s.ended, key)
	s.order = append(s.order, key)
}

// allowance is how many promises of this VM a request allows in the buckets.
type allowance struct {
	// perBucket is the number of starts per bucket, and part the part of them for the request.
	perBucket, part float64
	timely          time.Duration
}

// at returns the allowance in a bucket.
func (a allowance) at(bucket int64) float64 {
	if bucket < bucketOf(a.timely) {
		return a.perBucket * timelyShare * a.part
	}
	return a.perBucket * lateShare * a.part
}

// window returns how many promises are allowed in how many buckets around one.
func (a allowance) window(bucket int64) (limit int, width int64) {
	allowed := a.at(bucket)
	promises := max(math.Floor(allowed*windowBuckets), 1)
	return int(promises), int64(math.Ceil(promises / allowed))
}

// bounds returns the first and last bucket with the same allowance as one.
func (a allowance) bounds(bucket int64) (first, last int64) {
	late := bucketOf(a.timely)
	if bucket < late {
		return math.MinInt64, late - 1
	}
	return late, math.MaxInt64
}

// free reports whether a bucket takes one more promise: of this VM's part of the starts, and of what
// all VMs start.
func (s *schedule) free(bucket int64, a allowance) bool {
	allowed := a.at(bucket)
	if s.counts.get(bucket)+1 > int(math.Ceil(allowed)) {
		return false
	}
	all := s.counts.get(bucket) + s.remoteBuckets.get(bucket) + 1
	if s.remoteRate > 0 && float64(all) > max(a.perBucket+s.remoteRate*BucketWidth.Seconds(), 1) {
		return false
	}
	limit, width := a.window(bucket)
	first, last := a.bounds(bucket)
	return s.counts.between(max(bucket-width+1, first), bucket, bucket) < limit &&
		s.counts.between(bucket, min(bucket+width-1, last), bucket) < limit
}

// Return is how a request relates to the promises.
type Return int

// Values of Return.
const (
	// Newcomer: nothing was promised to it.
	Newcomer Return = iota
	// Claimed: it returned at its promised time.
	Claimed
	// Early: it returned too early, and has lost its promise.
	Early
)

// Claim recognises a request that returns, and returns the time that it was promised. Either way the
// promise is used up.
func (c *Calendar) Claim(now time.Duration, service string, key Key) (Return, time.Duration) {
	if _, ok := c.services[service]; !ok {
		return Newcomer, 0
	}
	s := c.schedule(now, service)
	due, ok := s.due(key)
	if !ok || now > due+latest {
		return Newcomer, 0
	}
	s.drop(key)
	s.ended[key] = ending{due: due, lost: now < due+earliest, here: true}
	if now < due+earliest {
		return Early, due
	}
	return Claimed, due
}

// due returns the outstanding promise of a key.
func (s *schedule) due(key Key) (time.Duration, bool) {
	due, ok := s.own[key]
	if !ok {
		due, ok = s.remoteKeys[key]
	}
	if e, ended := s.ended[key]; ok && ended && e.ends(due) {
		return 0, false
	}
	return due, ok
}

// ends reports whether it is the end of a promise for that time. A later promise to the same caller
// is another one.
func (e ending) ends(due time.Duration) bool { return due <= e.due+sameDue }

// SetRemote replaces what is known of the other VMs' promises. Without an update it is forgotten
// after 1.5 s.
func (c *Calendar) SetRemote(now time.Duration, service string, report Report) {
	if _, ok := c.services[service]; !ok && report.empty() {
		return
	}
	s := c.schedule(now, service)
	s.remoteAt, s.remoteRate = now, max(report.Rate, 0)
	s.remoteBuckets, s.remoteKeys = bucketCounts{}, make(map[Key]time.Duration)
	for i, count := range report.Buckets[:min(len(report.Buckets), Horizon)] {
		if count > 0 {
			s.remoteBuckets.add(RemoteBucket(now, i), int(count))
		}
	}
	for _, key := range report.Keys {
		if !key.Ended {
			s.remoteKeys[key.Key] = now + key.In
		} else if !key.Expired() {
			s.endRemote(key.Key, ending{due: now + key.In, lost: key.Lost})
		}
	}
}

// endRemote records that a caller returned to another VM.
func (s *schedule) endRemote(key Key, e ending) {
	if due, ok := s.own[key]; ok {
		if !e.ends(due) {
			return
		}
		s.drop(key)
	}
	if known, ok := s.ended[key]; !ok || !known.here {
		s.ended[key] = e
	}
}

// SetRemotes is SetRemote for all services; those that aren't in the reports have no remote promises.
func (c *Calendar) SetRemotes(now time.Duration, reports map[string]Report) {
	for service := range c.services {
		if _, ok := reports[service]; !ok {
			c.SetRemote(now, service, Report{})
		}
	}
	for service, report := range reports {
		c.SetRemote(now, service, report)
	}
}

// Local returns this VM's promises for the other VMs, with the rate of its starts.
func (c *Calendar) Local(now time.Duration, service string, rate float64) Report {
	report := Report{Rate: rate}
	if _, ok := c.services[service]; !ok {
		return report
	}
	s := c.schedule(now, service)
	for _, due := range s.own {
		if index := int((due - now) / BucketWidth); due >= now && index < Horizon {
			if index >= len(report.Buckets) {
				report.Buckets = append(report.Buckets, make([]uint32, index+1-len(report.Buckets))...)
			}
			report.Buckets[index]++
		}
	}
	for key, e := range s.ended {
		if e.here {
			report.Keys = append(report.Keys, Due{Key: key, In: e.due - now, Ended: true, Lost: e.lost})
		}
	}
	for _, key := range s.order {
		report.Keys = append(report.Keys, Due{Key: key, In: s.own[key] - now})
	}
	report.Keys = Nearest(report.Keys)
	return report
}

// Services returns the services with promises of this VM or with callers that returned to it.
func (c *Calendar) Services(now time.Duration) []string {
	var services []string
	for service := range c.services {
		if s := c.schedule(now, service); len(s.own)+len(s.ended) > 0 {
			services = append(services, service)
		} else if s.remoteAt == 0 {
			delete(c.services, service)
		}
	}
	slices.Sort(services)
	return services
}
