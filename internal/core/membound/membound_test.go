package membound_test

import (
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/core/membound"
)

const mb = 1 << 20

// upload is a body with its length and what of it has arrived.
type upload struct {
	*membound.Body
	length, sent int64
}

// uploads are the bodies of a random history.
type uploads struct {
	bound  *membound.Bound
	random *rand.Rand
	all    []*upload
}

// step lets a body begin, arrive further or be released.
func (u *uploads) step() {
	switch n := u.random.IntN(10); {
	case n < 2:
		length := u.random.Int64N(4 * mb)
		declared := length * u.random.Int64N(2) // 0: unknown
		if body := u.bound.Admit(declared); body != nil {
			u.all = append(u.all, &upload{Body: body, length: length})
		}
	case n < 9 && len(u.all) > 0:
		u.arrive(u.all[u.random.IntN(len(u.all))])
	case len(u.all) > 0:
		i := u.random.IntN(len(u.all))
		u.bound.Release(u.all[i].Body)
		u.all = append(u.all[:i], u.all[i+1:]...)
	}
}

func (u *uploads) arrive(body *upload) {
	bytes := min(body.length-body.sent, 256<<10)
	u.bound.Grow(body.Body, bytes)
	if body.GivenUp() {
		return
	}
	body.sent += bytes
	if body.sent == body.length {
		u.bound.Complete(body.Body)
	}
}

// held returns what the bodies hold that weren't given up.
func (u *uploads) held() int64 {
	held := int64(0)
	for _, body := range u.all {
		if !body.GivenUp() {
			held += body.sent
		}
	}
	return held
}

// Guards against bodies that together hold more than the bound, whatever they declare and however they
// arrive, and against memory that is never given back.
func TestTheBoundHolds(t *testing.T) {
	g := NewWithT(t)
	for seed := range uint64(50) {
		u := &uploads{bound: membound.New(100 * mb), random: rand.New(rand.NewPCG(seed, 1))}
		for range 2000 {
			u.step()
			g.Expect(u.bound.Used(membound.RequestBody)).To(Equal(u.held()))
			g.Expect(u.held()).To(BeNumerically("<=", u.bound.Limit()))
		}
		for _, body := range u.all {
			u.bound.Release(body.Body)
		}
		g.Expect(u.bound.Used(membound.RequestBody)).To(BeZero())
		g.Expect(u.bound.Admit(100*mb)).NotTo(BeNil(), "nothing stays declared")
	}
}

// Guards against uploads that all stand still, each with a part of the memory: the oldest one always
// finishes, and those that began last are given up.
func TestTheOldestBodyFinishes(t *testing.T) {
	g := NewWithT(t)
	b := membound.New(10 * mb)
	var bodies []*membound.Body
	for range 3 {
		body := b.Admit(5 * mb)
		g.Expect(body).NotTo(BeNil())
		bodies = append(bodies, body)
	}
	g.Expect(b.Admit(5*mb)).To(BeNil(), "no more than is likely to fit")
	for range 5 {
		for _, body := range bodies {
			b.Grow(body, mb)
		}
	}
	g.Expect([]bool{bodies[0].GivenUp(), bodies[1].GivenUp(), bodies[2].GivenUp()}).To(Equal([]bool{false, false, true}))
}

// Guards against refusing slow uploads that fit: they hold half of what they declare on average.
func TestSlowUploadsShareTheBound(t *testing.T) {
	g := NewWithT(t)
	b := membound.New(100 * mb)
	admitted := 0
	for b.Admit(4*mb) != nil {
		admitted++
	}
	g.Expect(admitted).To(BeNumerically(">", 100/4))
}

// Guards against whole bodies, which servers run, that are given up for others.
func TestAWholeBodyIsNotGivenUp(t *testing.T) {
	g := NewWithT(t)
	b := membound.New(10 * mb)
	whole, next := b.Admit(6*mb), b.Admit(6*mb)
	b.Grow(whole, 6*mb)
	b.Complete(whole)
	g.Expect(b.Grow(next, 5*mb)).To(Equal([]*membound.Body{next}))
	g.Expect(whole.GivenUp()).To(BeFalse())
	g.Expect(b.Reserve(membound.Response, 5*mb)).To(BeFalse())
	b.Release(whole)
	g.Expect(b.Reserve(membound.Response, 5*mb)).To(BeTrue())
	b.Free(membound.Response, 5*mb)
}
