package promise

// ringSize is the number of buckets in bucketCounts: more than those within the horizon and those
// whose promises may still be claimed.
const ringSize = 256

// bucketCounts are numbers of promises by bucket, of the buckets around the present. An array serves
// since a refusal looks at each of them many times.
type bucketCounts [ringSize]struct {
	bucket int64
	count  int
}

// get returns the count of a bucket.
func (c *bucketCounts) get(bucket int64) int {
	if slot := &c[bucket&(ringSize-1)]; slot.bucket == bucket {
		return slot.count
	}
	return 0
}

// add adds to the count of a bucket. It replaces that of a bucket long past.
func (c *bucketCounts) add(bucket int64, count int) {
	slot := &c[bucket&(ringSize-1)]
	if slot.bucket != bucket {
		slot.bucket, slot.count = bucket, 0
	}
	slot.count = max(slot.count+count, 0)
}

// between returns the sum of the buckets from first to last that are near one of them.
func (c *bucketCounts) between(first, last, near int64) (sum int) {
	first, last = max(first, near-ringSize/2), min(last, near+ringSize/2)
	for bucket := first; bucket <= last; bucket++ {
		sum += c.get(bucket)
	}
	return sum
}
