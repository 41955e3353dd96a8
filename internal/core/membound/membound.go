// Package membound bounds the memory that callers and backend servers fill: request bodies, responses
// that are held whole, events that aren't complete. It does no I/O and reads no clock, and it is not safe
// for concurrent use.
//
// The load that it answers: many callers upload large bodies at once, slowly, to few VMs. Whoever fills a
// buffer reserves its bytes first. A body holds what has arrived, so that slow uploads don't keep room for
// bytes that are yet to come. Their declared lengths may together exceed the bound to some extent; where
// they do in fact, the body that began last is given up, since its caller has sent the least.
package membound

import "slices"

// Use is what memory is reserved for.
type Use string

// The uses.
const (
	RequestBody Use = "request_body"
	Response    Use = "response"
	Event       Use = "event"
)

// Uses returns all uses.
func Uses() []Use { return []Use{RequestBody, Response, Event} }

// overcommit is how many times the bound the bodies may declare that are admitted: an upload holds half of
// its bytes on average.
const overcommit = 1.5

// Bound is the bound and what is reserved of it.
type Bound struct {
	limit int64
	used  map[Use]int64
	total int64
	// declared is the sum of the lengths of bodies that are being read, and of what whole ones hold.
	declared int64
	// reading are the bodies that are being read, in the order of their arrival.
	reading []*Body
}

// Body is a request body from Admit to Release.
type Body struct {
	// held are its bytes, and declared what it counts for in the bound's sum.
	held, declared int64
	givenUp        bool
}

// New returns a bound of so many bytes.
func New(limit int64) *Bound { return &Bound{limit: limit, used: make(map[Use]int64)} }

// Limit returns the bound in bytes.
func (b *Bound) Limit() int64 { return b.limit }

// Used returns the bytes that are reserved for a use.
func (b *Bound) Used(use Use) int64 { return b.used[use] }

// Admit admits a body of a declared length, or of 0 if it is unknown. It returns nil if the bodies that are
// there may need all of the memory.
func (b *Bound) Admit(length int64) *Body {
	if float64(b.declared+length) > overcommit*float64(b.limit) || b.total >= b.limit {
		return nil
	}
	body := &Body{declared: length}
	b.declared += length
	b.reading = append(b.reading, body)
	return body
}

// Grow reserves further bytes of a body. Where they don't fit, the bodies that began last are given up,
// this one included, and returned. Small ones are spared, since they free little.
func (b *Bound) Grow(body *Body, bytes int64) (givenUp []*Body) {
	if body.givenUp {
		return nil
	}
	for b.total+bytes > b.limit {
		last := b.lastReading(bytes)
		if last == nil {
			last = body
		}
		b.giveUp(last)
		givenUp = append(givenUp, last)
		if last == body {
			return givenUp
		}
	}
	body.held += bytes
	b.add(RequestBody, bytes)
	b.declare(body, max(body.declared, body.held))
	return givenUp
}

// lastReading returns the body that began last of those that hold so many bytes, or nil.
func (b *Bound) lastReading(bytes int64) *Body {
	for _, body := range slices.Backward(b.reading) {
		if body.held >= bytes {
			return body
		}
	}
	return nil
}

// GivenUp reports whether a body was given up. Its memory counts as free from then on.
func (b *Body) GivenUp() bool { return b.givenUp }

func (b *Bound) giveUp(body *Body) {
	b.Release(body)
	body.givenUp = true
}

// Complete records that a body has arrived whole. It isn't given up any more.
func (b *Bound) Complete(body *Body) {
	b.stopReading(body)
	b.declare(body, body.held)
}

// Release gives back what a body holds. Further calls have no effect.
func (b *Bound) Release(body *Body) {
	b.stopReading(body)
	b.add(RequestBody, -body.held)
	body.held = 0
	b.declare(body, 0)
}

func (b *Bound) stopReading(body *Body) {
	if i := slices.Index(b.reading, body); i >= 0 {
		b.reading = slices.Delete(b.reading, i, i+1)
	}
}

func (b *Bound) declare(body *Body, bytes int64) {
	b.declared += bytes - body.declared
	body.declared = bytes
}

// Reserve reserves bytes for another use, and reports whether they fit.
func (b *Bound) Reserve(use Use, bytes int64) bool {
	if b.total+bytes > b.limit {
		return false
	}
	b.add(use, bytes)
	return true
}

// Free gives bytes back that Reserve reserved.
func (b *Bound) Free(use Use, bytes int64) { b.add(use, -bytes) }

func (b *Bound) add(use Use, bytes int64) {
	b.used[use] += bytes
	b.total += bytes
}
