package tally

import (
	"math"
	"time"

	"oleandershunt.example/oleandershunt/internal/core/promise"
)

// Parameters of the sums of promises.
const (
	// rateUnit is the unit of the summed rates, in starts per second. Whole units make sums exact.
	rateUnit = 0.001
	// keysTTL is how long the merged keys of all reports are used, so that they are merged once for
	// many answers: with 984 VMs one is due every quarter of a millisecond.
	keysTTL = 25 * time.Millisecond
)

// promiseSums are running sums of promises by service.
type promiseSums map[string]*promiseSum

// promiseSum is the sum of promises for one service: the rate in rateUnits, and the outstanding ones
// by bucket.
type promiseSum struct {
	rate    int64
	buckets map[int64]int64
}

// add adds the promises of a report, sign times.
func (s promiseSums) add(r report, sign int64) {
	for service, promises := range r.tally.Promises {
		sum, ok := s[service]
		if !ok {
			sum = &promiseSum{buckets: make(map[int64]int64)}
			s[service] = sum
		}
		sum.rate += sign * int64(math.Round(promises.Rate/rateUnit))
		for i, count := range promises.Buckets {
			sum.addBucket(promise.RemoteBucket(r.at, i), sign*int64(count))
		}
		if sum.rate == 0 && len(sum.buckets) == 0 {
			delete(s, service)
		}
	}
}

func (s *promiseSum) addBucket(bucket, count int64) {
	if sum := s.buckets[bucket] + count; sum != 0 {
		s.buckets[bucket] = sum
	} else {
		delete(s.buckets, bucket)
	}
}

// reports returns the sums without one report, with the given keys.
func (s promiseSums) reports(now time.Duration, without report, keys map[string][]promise.Due) map[string]promise.Report {
	var reports map[string]promise.Report
	put := func(service string, r promise.Report) {
		if reports == nil {
			reports = make(map[string]promise.Report)
		}
		reports[service] = r
	}
	for service, sum := range s {
		if r := sum.report(now, without.at, without.tally.Promises[service]); r.Rate > 0 || len(r.Buckets) > 0 {
			put(service, r)
		}
	}
	for service, dues := range keys {
		r := reports[service]
		r.Keys = dues
		put(service, r)
	}
	return reports
}

// report returns the sum without the promises of a report of the given time.
func (s *promiseSum) report(now, at time.Duration, without promise.Report) promise.Report {
	own := make(map[int64]int64)
	for i, count := range without.Buckets {
		own[promise.RemoteBucket(at, i)] += int64(count)
	}
	var counts []uint32
	for i := range promise.Horizon {
		bucket := promise.RemoteBucket(now, i)
		if count := s.buckets[bucket] - own[bucket]; count > 0 {
			counts = append(append(counts, make([]uint32, i-len(counts))...), uint32(min(count, math.MaxUint32)))
		}
	}
	return promise.Report{Rate: float64(s.rate-int64(math.Round(without.Rate/rateUnit))) * rateUnit, Buckets: counts}
}

// replacePromises takes the promises of a report off the sums and adds those of another one.
func (h *Hub) replacePromises(before, after report, isVM bool) {
	h.promises.add(before, -1)
	h.promises.add(after, 1)
	if isVM {
		h.localPromises.add(before, -1)
		h.localPromises.add(after, 1)
	}
}

// promisedKeys returns the keys of all reports, as of shortly before.
func (h *Hub) promisedKeys(now time.Duration) map[string][]promise.Due {
	if h.keysAt == 0 || now-h.keysAt > keysTTL {
		h.keys, h.keysAt = promisedKeys(now, h.vms, h.remote), now
	}
	return h.keys
}

// promisedKeys returns the keys of reports by service.
func promisedKeys(now time.Duration, reports ...map[string]report) map[string][]promise.Due {
	merged := make(map[string]map[promise.Key]promise.Due)
	for _, some := range reports {
		for _, r := range some {
			for service, promises := range r.tally.Promises {
				mergeKeys(merged, service, promises.Keys, now-r.at)
			}
		}
	}
	var keys map[string][]promise.Due
	for service, dues := range merged {
		list := make([]promise.Due, 0, len(dues))
		for _, due := range dues {
			list = append(list, due)
		}
		if keys == nil {
			keys = make(map[string][]promise.Due)
		}
		keys[service] = promise.Nearest(list)
	}
	return keys
}

// mergeKeys adds the keys of a report of that age. The end of a promise prevails over the promise.
func mergeKeys(merged map[string]map[promise.Key]promise.Due, service string, keys []promise.Due, age time.Duration) {
	for _, due := range keys {
		if due.In -= age; due.Expired() {
			continue
		}
		if merged[service] == nil {
			merged[service] = make(map[promise.Key]promise.Due)
		}
		if known, ok := merged[service][due.Key]; !ok || due.Replaces(known) {
			merged[service][due.Key] = due
		}
	}
}
