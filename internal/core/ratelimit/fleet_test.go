package ratelimit_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/core/lease"
	"oleandershunt.example/oleandershunt/internal/core/ratelimit"
)

// The pace of the play and what VMs know when.
const (
	playStep = 10 * time.Millisecond
	// viewLag is how long a VM may take to learn that another one came or went, wordLag the
	// time until all VMs hear a word, and settles the time until a VM that starts knows all.
	viewLag = 1500 * time.Millisecond
	wordLag = 750 * time.Millisecond
	settles = time.Second
	// contact and span are the rule's: what excuses a VM, and its window.
	contact = 3 * time.Second
	span    = 4 * time.Second
	// told is how long after an answer a VM counts as told.
	told = 500 * time.Millisecond
)

// vm is one VM of the play.
type vm struct {
	lease.VM
	limits *ratelimit.Limits
	up     bool
	// began is when its process started, and heard when it had the first answer with a rate.
	began, heard time.Duration
	// knows are the VMs that it knows to live, and pending what it is to learn.
	knows   map[*vm]bool
	pending []change
	// viewed says that it has seen who lives since its start.
	viewed bool
}

// change is a VM that came or went, which another one learns at a moment.
type change struct {
	at time.Duration
	vm *vm
	up bool
}

// fleet is VMs that all want to send to one limited server.
type fleet struct {
	random    *rand.Rand
	vms       []*vm
	perSecond float64
	// arrived are the requests that count, and all are all.
	arrived, all []time.Duration
	now          time.Duration
	// cut is the data centre that is out of reach of the server's, if any, and wasCut the one
	// that was when VMs told one another last.
	cut, wasCut string
}

func newFleet(seed uint64, vms int, perSecond float64) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 1)), perSecond: perSecond, now: time.Second}
	for i := range vms {
		f.add(i)
	}
	return f
}

func (f *fleet) add(i int) {
	f.vms = append(f.vms, &vm{VM: lease.VM{Name: fmt.Sprintf("vm-%d", i), DataCentre: string(rune('a' + i%3))}})
	f.start(f.vms[len(f.vms)-1])
}

func (f *fleet) start(v *vm) {
	v.limits, v.up, v.began, v.heard = ratelimit.New(), true, f.now, 0
	v.knows, v.pending, v.viewed = make(map[*vm]bool), nil, false
	for _, other := range f.vms {
		v.knows[other] = other.up
	}
	f.changed(v)
}

func (f *fleet) stop(v *vm) {
	v.up = false
	f.changed(v)
}

// changed has each VM learn after a time that one came or went.
func (f *fleet) changed(v *vm) {
	for _, other := range f.vms {
		lag := time.Duration(f.random.Float64() * float64(viewLag))
		other.pending = append(other.pending, change{f.now + lag, v, v.up})
	}
}

// view is who lives, as a VM knows it.
func (f *fleet) view(of *vm) []lease.VM {
	var later []change
	for _, c := range of.pending {
		if f.now < c.at {
			later = append(later, c)
		} else {
			of.knows[c.vm] = c.up
		}
	}
	of.pending = later
	var list []lease.VM
	for _, v := range f.vms {
		reached := f.cut == "" || (v.DataCentre == f.cut) == (of.DataCentre == f.cut)
		if of.knows[v] && reached {
			list = append(list, v.VM)
		}
	}
	return list
}

// play has each VM want so many requests a second for a time.
func (f *fleet) play(each float64, until time.Duration, events map[time.Duration]func()) {
	for ; f.now < until; f.now += playStep {
		if event, ok := events[f.now]; ok {
			event()
		}
		if f.now%(250*time.Millisecond) == 0 {
			f.tell()
		}
		for _, v := range f.vms {
			if v.up && f.random.Float64() < each*playStep.Seconds() {
				f.send(v)
			}
		}
	}
}

// tell has all VMs learn who lives, and hear the words of wordLag ago.
func (f *fleet) tell() {
	var said ratelimit.Word
	for _, v := range f.vms {
		if word, ok := v.limits.Words(f.now)["s1"]; ok && v.up && word.At > said.At && word.At+wordLag <= f.now {
			said = word
		}
	}
	for _, v := range f.vms {
		if !v.up {
			continue
		}
		if said.At > 0 {
			v.limits.Heard(f.now, "s1", "a", said)
		}
		if f.now >= v.began+settles && (!v.viewed || len(v.pending) > 0 || f.cut != f.wasCut) {
			v.viewed = true
			v.limits.Live(f.now, v.Name, f.view(v))
		}
	}
	f.wasCut = f.cut
}

// send sends a request if the VM may, and the server sets its rate in the answer.
func (f *fleet) send(v *vm) {
	if f.cut != "" && v.DataCentre == f.cut || !v.limits.Allows(f.now, "s1") {
		return
	}
	v.limits.Sent(f.now, "s1")
	f.all = append(f.all, f.now)
	if v.heard > 0 && f.now >= v.heard+told && f.now >= v.began+contact {
		f.arrived = append(f.arrived, f.now)
	}
	if v.heard == 0 {
		v.heard = f.now
	}
	v.limits.Said(f.now, f.now, "s1", "a", f.perSecond)
}

// most is the most requests within the rule's window.
func (f *fleet) most() int {
	most := 0
	for i, at := range f.arrived {
		end, _ := slices.BinarySearch(f.arrived, at+span)
		most = max(most, end-i)
	}
	return most
}

// used is the part of the server's rate that is used between two moments.
func (f *fleet) used(from, to time.Duration) float64 {
	first, _ := slices.BinarySearch(f.all, from)
	last, _ := slices.BinarySearch(f.all, to)
	return float64(last-first) / (f.perSecond * (to - from).Seconds())
}

// Guards against: VMs together send a server more than the rate that it sets, at any size.
func TestARateHoldsAtEachSize(t *testing.T) {
	for _, vms := range []int{1, 9, 68, 300} {
		for _, perSecond := range []float64{0.2, 1.3, 6.6, 120} {
			g := NewWithT(t)
			f := newFleet(1, vms, perSecond)
			f.play(3, 20*time.Second, nil)
			t.Logf("%d VMs, %v a second: at most %d in %v, %.2f used", vms, perSecond, f.most(), span, f.used(10*time.Second, 20*time.Second))
			g.Expect(float64(f.most())).To(BeNumerically("<=", 1.5*span.Seconds()*perSecond+5), "%d VMs, %v a second", vms, perSecond)
			if wanted := float64(vms) * 3 / 2; perSecond >= 1 && wanted > 2*perSecond {
				g.Expect(f.used(10*time.Second, 20*time.Second)).To(BeNumerically(">", 0.5), "%d VMs, %v a second", vms, perSecond)
			}
		}
	}
}

// Guards against: VMs that come, go, restart or are cut off make up for one another twice.
func TestARateHoldsWhileVMsChange(t *testing.T) {
	for seed, vms := range []int{9, 9, 9, 68, 68, 300} {
		for _, perSecond := range []float64{0.7, 6.6, 25} {
			g := NewWithT(t)
			f := newFleet(uint64(seed), vms, perSecond)
			events := make(map[time.Duration]func())
			for at := 6 * time.Second; at < 16*time.Second; at += 500 * time.Millisecond {
				events[at] = func() { f.disturb(vms) }
			}
			f.play(3, 18*time.Second, events)
			t.Logf("%d VMs, %v a second, seed %d: at most %d in %v, %.2f used", vms, perSecond, seed, f.most(), span, f.used(10*time.Second, 18*time.Second))
			g.Expect(float64(f.most())).To(BeNumerically("<=", 1.5*span.Seconds()*perSecond+5), "%d VMs, %v a second, seed %d", vms, perSecond, seed)
		}
	}
}

// disturb has a tenth of the VMs stop or start, and a data centre cut off or reached again.
func (f *fleet) disturb(vms int) {
	for range max(vms/10, 1) {
		v := f.vms[f.random.IntN(len(f.vms))]
		if v.up {
			f.stop(v)
		} else {
			f.start(v)
		}
	}
	switch f.random.IntN(10) {
	case 0:
		f.cut = []string{"b", "c"}[f.random.IntN(2)]
	case 1, 2:
		f.cut = ""
	case 3:
		f.add(len(f.vms))
	}
}
