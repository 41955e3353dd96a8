package request

import (
	"container/list"
	"time"
)

const (
	maxKeys      = 16384
	keyRetention = 10 * time.Minute
)

// Keys records the hash of the body that each idempotency key of an idempotent
// request came with, for a limited time and number of keys, in order to detect
// the use of a key with two bodies. Keys of non-idempotent requests are checked
// by their claims.
type Keys struct {
	byName map[keyName]*list.Element
	byAge  list.List
}

type keyName struct{ account, key string }

type keyEntry struct {
	name     keyName
	bodyHash uint64
	at       time.Duration
}

// NewKeys returns an empty table.
func NewKeys() *Keys { return &Keys{byName: make(map[keyName]*list.Element)} }

// CheckAndRecord records the use of a key. It returns false if the key was used with
// another body.
func (k *Keys) CheckAndRecord(now time.Duration, account, key string, bodyHash uint64) bool {
	k.evict(now)
	name := keyName{account, key}
	if element, ok := k.byName[name]; ok {
		return element.Value.(*keyEntry).bodyHash == bodyHash
	}
	k.byName[name] = k.byAge.PushBack(&keyEntry{name: name, bodyHash: bodyHash, at: now})
	return true
}

func (k *Keys) evict(now time.Duration) {
	for oldest := k.byAge.Front(); oldest != nil; oldest = k.byAge.Front() {
		entry := oldest.Value.(*keyEntry)
		if now-entry.at < keyRetention && k.byAge.Len() < maxKeys {
			return
		}
		k.byAge.Remove(oldest)
		delete(k.byName, entry.name)
	}
}
