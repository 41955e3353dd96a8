package relay

import (
	"fmt"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"oleandershunt.example/oleandershunt/internal/core/membound"
)

// defaultBufferBytes bounds what callers and servers fill if the settings set no limit of memory.
const defaultBufferBytes = 64 << 20

// buffers bounds the memory that callers and servers fill. It is safe for concurrent use.
//
// What can go wrong: some VMs end, and their callers bring uploads of several megabytes to the others all
// at once. If bodies counted only once they are whole, any number of them would be read, and the VM would
// be killed for its memory with all of its requests.
type buffers struct {
	mu    sync.Mutex
	bound *membound.Bound
	// aborts end the reading of bodies.
	aborts map[*membound.Body]func()
	gauges map[membound.Use]*metrics.Gauge
}

func newBuffers(limit int64) *buffers {
	if limit <= 0 {
		limit = defaultBufferBytes
	}
	b := &buffers{bound: membound.New(limit), aborts: make(map[*membound.Body]func()), gauges: make(map[membound.Use]*metrics.Gauge)}
	for _, use := range membound.Uses() {
		b.gauges[use] = metrics.GetOrCreateGauge(fmt.Sprintf("oleandershunt_relay_buffer_bytes{use=%q}", use), nil)
	}
	metrics.GetOrCreateGauge("oleandershunt_relay_buffer_limit_bytes", nil).Set(float64(limit))
	return b
}

// admit admits a body of a declared length, or of 0 if it is unknown; nil if there is no room. abort ends
// its reading from another goroutine.
func (b *buffers) admit(length int64, abort func()) *membound.Body {
	b.mu.Lock()
	defer b.mu.Unlock()
	body := b.bound.Admit(length)
	if body != nil {
		b.aborts[body] = abort
	}
	return body
}

// grow reserves further bytes of a body, and reports whether it may be read on.
func (b *buffers) grow(body *membound.Body, bytes int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, other := range b.bound.Grow(body, bytes) {
		metrics.GetOrCreateCounter("oleandershunt_relay_bodies_given_up_total").Inc()
		b.aborts[other]()
	}
	b.setGauge(membound.RequestBody)
	return !body.GivenUp()
}

// complete records that a body is whole, and reports whether it wasn't given up before.
func (b *buffers) complete(body *membound.Body) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if body.GivenUp() {
		return false
	}
	b.bound.Complete(body)
	return true
}

func (b *buffers) givenUp(body *membound.Body) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return body.GivenUp()
}

func (b *buffers) release(body *membound.Body) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bound.Release(body)
	delete(b.aborts, body)
	b.setGauge(membound.RequestBody)
}

// reserve reserves bytes for another use than a body, and reports whether they fit.
func (b *buffers) reserve(use membound.Use, bytes int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	fits := b.bound.Reserve(use, bytes)
	b.setGauge(use)
	return fits
}

// free gives back what reserve reserved.
func (b *buffers) free(use membound.Use, bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bound.Free(use, bytes)
	b.setGauge(use)
}

// setGauge must be called with the lock held.
func (b *buffers) setGauge(use membound.Use) { b.gauges[use].Set(float64(b.bound.Used(use))) }
