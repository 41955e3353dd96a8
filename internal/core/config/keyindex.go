package config

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"slices"

	"oleandershunt.example/oleandershunt/api"
)

// keyBuckets is the number of buckets of a key index. With 31,000 accounts a
// bucket has about 30 keys. A lookup is a binary search in one bucket, and a
// change copies one bucket.
const keyBuckets = 1024

// keySum is the SHA-256 sum of an API key.
type keySum [32]byte

// keyOwner is an API key with the client account that owns it.
type keyOwner struct {
	sum     keySum
	account string
}

// keyIndex maps API keys to client accounts. It is immutable: a change makes a new
// index that shares the unchanged buckets.
type keyIndex struct {
	buckets [][]keyOwner
}

func newKeyIndex(accounts *table) *keyIndex {
	index := &keyIndex{buckets: make([][]keyOwner, keyBuckets)}
	for record := range accounts.all() {
		for _, owner := range ownersOf(record) {
			b := owner.sum.bucket()
			index.buckets[b] = append(index.buckets[b], owner)
		}
	}
	for b := range index.buckets {
		index.buckets[b] = slices.Clip(index.buckets[b])
		slices.SortFunc(index.buckets[b], compareOwner)
	}
	return index
}

// with returns a new index in which the latest records replace the former ones.
func (x *keyIndex) with(former, latest []*Record) *keyIndex {
	next := &keyIndex{buckets: slices.Clone(x.buckets)}
	for _, record := range former {
		for _, owner := range ownersOf(record) {
			next.remove(owner)
		}
	}
	for _, record := range latest {
		for _, owner := range ownersOf(record) {
			next.add(owner)
		}
	}
	return next
}

func (x *keyIndex) add(owner keyOwner) {
	b := owner.sum.bucket()
	bucket := x.buckets[b]
	at, _ := slices.BinarySearchFunc(bucket, owner, compareOwner)
	x.buckets[b] = slices.Insert(slices.Clone(bucket), at, owner)
}

func (x *keyIndex) remove(owner keyOwner) {
	b := owner.sum.bucket()
	bucket := x.buckets[b]
	at, found := slices.BinarySearchFunc(bucket, owner, compareOwner)
	if found {
		x.buckets[b] = slices.Delete(slices.Clone(bucket), at, at+1)
	}
}

// owners returns the accounts that have a key, ordered by name. A valid set has at
// most one for each key.
func (x *keyIndex) owners(sum keySum) []keyOwner {
	bucket := x.buckets[sum.bucket()]
	from, _ := slices.BinarySearchFunc(bucket, keyOwner{sum: sum}, compareOwner)
	to := from
	for to < len(bucket) && bucket[to].sum == sum {
		to++
	}
	return bucket[from:to]
}

func (k keySum) bucket() int { return int(binary.BigEndian.Uint16(k[:])) % keyBuckets }

func compareOwner(a, b keyOwner) int {
	if order := bytes.Compare(a.sum[:], b.sum[:]); order != 0 {
		return order
	}
	return bytes.Compare([]byte(a.account), []byte(b.account))
}

// ownersOf returns the distinct well-formed keys of an account's record.
func ownersOf(record *Record) []keyOwner {
	if record == nil {
		return nil
	}
	var owners []keyOwner
	for _, text := range record.Spec().(*api.ClientAccountSpec).KeySHA256 {
		if sum, ok := parseKeySum(text); ok {
			owners = append(owners, keyOwner{sum: sum, account: record.Name})
		}
	}
	slices.SortFunc(owners, compareOwner)
	return slices.Compact(owners)
}

// parseKeySum decodes a SHA-256 sum in hex.
func parseKeySum(text string) (keySum, bool) {
	var sum keySum
	if len(text) != hex.EncodedLen(len(sum)) {
		return sum, false
	}
	_, err := hex.Decode(sum[:], []byte(text))
	return sum, err == nil
}
