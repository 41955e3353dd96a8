package promise

import (
	"cmp"
	"slices"
	"time"
)

// Limits of a report.
const (
	// BucketWidth is the unit in which the calendar divides time.
	BucketWidth = 100 * time.Millisecond
	// Horizon is the number of buckets for which promises are given: the rate of the starts isn't
	// known further ahead.
	Horizon = 100
	// MaxKeys bounds the keys of a service in a report.
	MaxKeys = 256
	// sameDue is the difference up to which two reports state the same time: messages take some time,
	// and clocks run on at different rates.
	sameDue = 200 * time.Millisecond
)

// Key is a hash of a request's account, path and body, by which a caller that returns is recognised.
type Key uint64

// Due is the time that a key was promised, relative to the time of its report.
type Due struct {
	Key Key
	In  time.Duration
	// Ended says that the caller has returned, in time or too early. Lost says that it returned too
	// early.
	Ended, Lost bool
}

// Expired reports whether the caller can't claim the promise any more.
func (d Due) Expired() bool { return d.In < -latest }

// Replaces reports whether d tells more than another report of the same key: the end of the same
// promise, or a later promise.
func (d Due) Replaces(other Due) bool {
	if same := max(d.In, other.In)-min(d.In, other.In) <= sameDue; same && d.Ended != other.Ended {
		return d.Ended
	}
	return d.In > other.In
}

// Report is the promises of one or several VMs for a service.
type Report struct {
	// Rate is the number of requests that the VMs start per second while others wait.
	Rate float64
	// Buckets are the numbers of outstanding promises by BucketWidth from the time of the report on.
	Buckets []uint32
	// Keys are the promises with the earliest times, up to MaxKeys.
	Keys []Due
}

// empty reports whether a report says nothing.
func (r Report) empty() bool { return r.Rate == 0 && len(r.Buckets) == 0 && len(r.Keys) == 0 }

// bucketOf returns the bucket that contains a time.
func bucketOf(at time.Duration) int64 { return floorDiv(at, BucketWidth) }

func floorDiv(a, b time.Duration) int64 {
	quotient := int64(a / b)
	if a%b < 0 {
		quotient--
	}
	return quotient
}

// RemoteBucket returns the bucket, by the receiver's clock, of the bucket of that index in a report of
// the given time: the one that contains its middle. Buckets of one report are never merged.
func RemoteBucket(at time.Duration, index int) int64 {
	return bucketOf(at + time.Duration(index)*BucketWidth + BucketWidth/2)
}

// Nearest returns the MaxKeys promises with the earliest times, sorted by time and key: each VM needs
// to know them first.
func Nearest(keys []Due) []Due {
	slices.SortFunc(keys, func(a, b Due) int { return cmp.Or(cmp.Compare(a.In, b.In), cmp.Compare(a.Key, b.Key)) })
	return keys[:min(len(keys), MaxKeys)]
}
