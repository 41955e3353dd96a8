package standin

import (
	"container/list"
	"encoding/binary"
	"sync"
	"time"

	"oleandershunt.example/oleandershunt/internal/engine"
)

// Defaults of an engine's memory.
const (
	defaultKVEntries    = 4096
	defaultPrefixBlocks = 4096
	eventsKept          = 1024
	kvBytes             = 16
)

// lru maps keys to values and forgets the one that was used longest ago.
type lru[K comparable, V any] struct {
	limit   int
	order   *list.List
	entries map[K]*list.Element
}

type lruEntry[K comparable, V any] struct {
	key   K
	value V
}

func newLRU[K comparable, V any](limit int) *lru[K, V] {
	return &lru[K, V]{limit: limit, order: list.New(), entries: make(map[K]*list.Element)}
}

func (l *lru[K, V]) get(key K) (V, bool) {
	element, ok := l.entries[key]
	if !ok {
		var none V
		return none, false
	}
	l.order.MoveToFront(element)
	return element.Value.(*lruEntry[K, V]).value, true
}

// put stores a value and returns the key that it pushed out, if any.
func (l *lru[K, V]) put(key K, value V) (evicted K, full bool) {
	if element, ok := l.entries[key]; ok {
		l.order.MoveToFront(element)
		element.Value.(*lruEntry[K, V]).value = value
		return evicted, false
	}
	l.entries[key] = l.order.PushFront(&lruEntry[K, V]{key, value})
	if len(l.entries) <= l.limit {
		return evicted, false
	}
	last := l.order.Back()
	l.order.Remove(last)
	evicted = last.Value.(*lruEntry[K, V]).key
	delete(l.entries, evicted)
	return evicted, true
}

// stampedEvent is a cache event with the time it happened.
type stampedEvent struct {
	engine.CacheEvent
	at time.Time
}

// memory is what one incarnation of an engine has cached.
type memory struct {
	mu       sync.Mutex
	streams  *lru[string, cache]
	blocks   *lru[uint64, struct{}]
	events   []stampedEvent
	sequence uint64
	// loseEvery leaves out every n-th event. 0 leaves out none.
	loseEvery uint64
}

func newMemory(options EngineOptions) *memory {
	return &memory{
		streams:   newLRU[string, cache](orDefault(options.KVEntries, defaultKVEntries)),
		blocks:    newLRU[uint64, struct{}](orDefault(options.PrefixBlocks, defaultPrefixBlocks)),
		loseEvery: options.LoseEventEvery,
	}
}

func orDefault(value, fallback int) int {
	if value > 0 {
		return value
	}
	return fallback
}

func (m *memory) stream(request string) (cache, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.streams.get(request)
}

func (m *memory) keep(request string, kept cache) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.streams.put(request, kept)
}

// touchPrefix notes that a prompt's blocks are in memory now and returns how
// many of them, from the start, were there before.
func (m *memory) touchPrefix(prompt string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	known := 0
	unbroken := true
	for _, block := range engine.PrefixBlocks(prompt) {
		_, ok := m.blocks.get(block)
		unbroken = unbroken && ok
		if unbroken {
			known++
		}
		if ok {
			continue
		}
		m.note(engine.CacheStored, block)
		if evicted, full := m.blocks.put(block, struct{}{}); full {
			m.note(engine.CacheEvicted, evicted)
		}
	}
	return known
}

func (m *memory) note(kind engine.CacheEventKind, block uint64) {
	m.sequence++
	if m.loseEvery > 0 && m.sequence%m.loseEvery == 0 {
		return
	}
	event := engine.CacheEvent{Sequence: m.sequence, Kind: kind, Block: block}
	m.events = append(m.events, stampedEvent{event, time.Now()})
	if len(m.events) > eventsKept {
		m.events = m.events[len(m.events)-eventsKept:]
	}
}

// eventsAfter lists the events after a sequence number that are older than the lag.
func (m *memory) eventsAfter(after uint64, lag time.Duration) ([]engine.CacheEvent, uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var events []engine.CacheEvent
	next := after
	for _, event := range m.events {
		if event.Sequence <= after {
			continue
		}
		if time.Since(event.at) < lag {
			break
		}
		events = append(events, event.CacheEvent)
		next = event.Sequence
	}
	return events, next
}

func encodeCache(c cache) []byte {
	data := binary.BigEndian.AppendUint64(nil, c.digest)
	return binary.BigEndian.AppendUint64(data, uint64(c.positions))
}

func decodeCache(data []byte) (cache, bool) {
	if len(data) != kvBytes {
		return cache{}, false
	}
	digest := binary.BigEndian.Uint64(data)
	positions := binary.BigEndian.Uint64(data[8:])
	return cache{digest: digest, positions: int(positions)}, true
}
