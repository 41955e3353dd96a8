package backends_test

import (
	"errors"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/api"
	"oleandershunt.example/oleandershunt/internal/core/backends"
	"oleandershunt.example/oleandershunt/internal/core/chain"
	"oleandershunt.example/oleandershunt/internal/core/lease"
)

// twoLanes is a VM before two paths, the first of which is the faster one.
func twoLanes() *backends.Fleet {
	f := backends.New()
	f.Replace(0, []backends.Server{
		server("s1", "a", "fast", 0, 40), server("s2", "a", "fast", 40, 80), server("s3", "a", "slow", 0, 40), server("s4", "a", "slow", 40, 80),
	}, 1)
	return f
}

// Guards against: a kind of attempt takes a server in its pause.
func TestNoKindOfAttemptTakesAServerInItsPause(t *testing.T) {
	kinds := map[string]func(*backends.Request){
		"first":        func(*backends.Request) {},
		"without room": func(r *backends.Request) { r.Force = true },
		"repeat":       func(r *backends.Request) { r.Only = []string{"s1", "s2", "s3", "s4"} },
		"move": func(r *backends.Request) {
			r.Keep = &chain.Part{ID: "s3", Layers: api.Layers{From: 0, To: 40}}
			r.Force = true
		},
		"of its version": func(r *backends.Request) { r.Version = 1 },
	}
	for kind, change := range kinds {
		for _, resting := range []string{"s1", "s2"} {
			g := NewWithT(t)
			f := twoLanes()
			f.Pause(0, resting, time.Second)
			r := request()
			change(&r)
			g.Expect(path(g, f, r)).NotTo(ContainSubstring(resting+"["), kind)
		}
	}
}

// Guards against: a request whose servers all rest isn't told when one doesn't any more.
func TestARequestIsToldWhenThePausesOfAWholePathEnd(t *testing.T) {
	g := NewWithT(t)
	f := twoLanes()
	f.Pause(0, "s1", 3*time.Second)
	f.Pause(0, "s2", time.Second)
	f.Pause(0, "s3", 2*time.Second)
	for _, force := range []bool{false, true} {
		r := request()
		r.Force = force
		_, err := f.Path(500*time.Millisecond, service(), r)
		paused := new(backends.PauseError)
		g.Expect(errors.As(err, &paused)).To(BeTrue(), "%v", err)
		g.Expect(paused.Wait).To(Equal(1500*time.Millisecond), "s3 and s2 make a path then")
		r.Only = []string{"s1", "s2"}
		_, err = f.Path(500*time.Millisecond, service(), r)
		g.Expect(errors.As(err, &paused)).To(BeTrue(), "%v", err)
		g.Expect(paused.Wait).To(Equal(2500 * time.Millisecond))
	}
	f.Remove(0, "s1", 9)
	f.Remove(0, "s3", 10)
	_, err := f.Path(500*time.Millisecond, service(), request())
	g.Expect(err).To(MatchError(backends.ErrNoServer), "no pause is why layers are missing")
}

// Guards against: a request waits for a request rate though a pause ends sooner, or the reverse.
func TestARequestIsToldOfTheSoonerOfARateAndAPause(t *testing.T) {
	for pause, want := range map[time.Duration]time.Duration{500 * time.Millisecond: 500 * time.Millisecond, 3 * time.Second: 1111 * time.Millisecond} {
		g := NewWithT(t)
		f := twoLanes()
		f.Members(0, "vm-1", []lease.VM{{Name: "vm-1", DataCentre: "a"}})
		f.SaidRate(0, 0, "s1", 1)
		f.Pause(0, "s3", pause)
		_, err := f.Path(0, service(), request())
		var deferral backends.Deferral
		g.Expect(errors.As(err, &deferral)).To(BeTrue(), "%v", err)
		due, known := deferral.Due(0)
		g.Expect(known).To(BeTrue())
		g.Expect(due).To(BeNumerically("~", want, time.Millisecond))
	}
}

// Guards against: a server's pause is lost with its entry, or outlasts the process that asked for it.
func TestAPauseIsOfOneProcessOfAServer(t *testing.T) {
	g := NewWithT(t)
	f := backends.New()
	plain := backends.Server{ID: "p1@1", Name: "p1", Service: "app", Address: "p1:1", DataCentre: "a", Slots: 4, Revision: 1}
	f.Put(0, plain)
	f.Pause(0, "p1@1", time.Minute)
	f.Remove(0, "p1", 2)
	f.Tidy(5 * time.Second)
	plain.Revision = 3
	f.Put(5*time.Second, plain)
	_, err := f.Instance(5*time.Second, "app", request())
	g.Expect(errors.As(err, new(*backends.PauseError))).To(BeTrue(), "%v", err)
	plain.ID, plain.Revision = "p1@2", 4
	f.Put(6*time.Second, plain)
	choice, err := f.Instance(6*time.Second, "app", request())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(choice.First.ID).To(Equal("p1@2"))
}

// Guards against: all that waited for a plain server's pause come at once.
func TestAPlainServerIsTriedByOneRequestAfterItsPause(t *testing.T) {
	g := NewWithT(t)
	f := backends.New()
	f.Put(0, backends.Server{ID: "p1", Service: "app", Address: "p1:1", DataCentre: "a", Slots: 4})
	f.Pause(0, "p1", time.Second)
	choice, err := f.Instance(time.Second, "app", request())
	g.Expect(err).NotTo(HaveOccurred())
	f.Sent(time.Second, choice)
	_, err = f.Instance(1010*time.Millisecond, "app", request())
	g.Expect(errors.As(err, new(*backends.PauseError))).To(BeTrue(), "%v", err)
	f.Took(1020*time.Millisecond, time.Second, choice)
	_, err = f.Instance(1030*time.Millisecond, "app", request())
	g.Expect(err).NotTo(HaveOccurred())
}

// Guards against: a path is taken of which a server left, or asked for a pause, just before.
func TestAChoiceIsWantedWhileAllItsServersWantRequests(t *testing.T) {
	for name, change := range map[string]func(f *backends.Fleet, id string){
		"pause":   func(f *backends.Fleet, id string) { f.Pause(0, id, time.Second) },
		"leaving": func(f *backends.Fleet, id string) { f.SaysLeaving(0, id) },
		"gone":    func(f *backends.Fleet, id string) { f.Remove(10*time.Second, id, 9) },
	} {
		for _, id := range []string{"s1", "s2"} {
			g := NewWithT(t)
			f := twoLanes()
			choice, err := f.Path(0, service(), request())
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(f.Wanted(0, choice)).To(BeTrue())
			change(f, id)
			g.Expect(f.Wanted(0, choice)).To(BeFalse(), "%s of %s", name, id)
		}
	}
}
