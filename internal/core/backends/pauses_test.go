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

// twoPaths is the view of a VM with two paths, of which the first is the faster one.
func twoPaths() *backends.Fleet {
	f := backends.New()
	f.Replace(0, []backends.Server{
		server("s1", "a", "fast", 0, 40), server("s2", "a", "fast", 40, 80), server("s3", "a", "slow", 0, 40), server("s4", "a", "slow", 40, 80),
	}, 1)
	return f
}

// Guards against any kind of attempt using a paused server.
func TestPausedServerIsAvoidedByEveryKindOfAttempt(t *testing.T) {
	kinds := map[string]func(*backends.Request){
		"first":            func(*backends.Request) {},
		"without capacity": func(r *backends.Request) { r.IgnoreCapacity = true },
		"repeat":           func(r *backends.Request) { r.Allowed = []string{"s1", "s2", "s3", "s4"} },
		"move": func(r *backends.Request) {
			r.FixedFirst = &chain.Part{ID: "s3", Layers: api.Layers{From: 0, To: 40}}
			r.IgnoreCapacity = true
		},
		"of its version": func(r *backends.Request) { r.Version = 1 },
	}
	for kind, change := range kinds {
		for _, paused := range []string{"s1", "s2"} {
			g := NewWithT(t)
			f := twoPaths()
			f.Pause(0, paused, time.Second)
			r := request()
			change(&r)
			g.Expect(path(g, f, r)).NotTo(ContainSubstring(paused+"["), kind)
		}
	}
}

// Guards against a request not learning when a path is available again if all its servers are
// paused.
func TestPauseErrorWaitsForAWholePath(t *testing.T) {
	g := NewWithT(t)
	f := twoPaths()
	f.Pause(0, "s1", 3*time.Second)
	f.Pause(0, "s2", time.Second)
	f.Pause(0, "s3", 2*time.Second)
	for _, force := range []bool{false, true} {
		r := request()
		r.IgnoreCapacity = force
		_, err := f.Path(500*time.Millisecond, service(), r)
		paused := new(backends.PauseError)
		g.Expect(errors.As(err, &paused)).To(BeTrue(), "%v", err)
		g.Expect(paused.Wait).To(Equal(1500*time.Millisecond), "s3 and s2 form a path then")
		r.Allowed = []string{"s1", "s2"}
		_, err = f.Path(500*time.Millisecond, service(), r)
		g.Expect(errors.As(err, &paused)).To(BeTrue(), "%v", err)
		g.Expect(paused.Wait).To(Equal(2500 * time.Millisecond))
	}
	f.Remove(0, "s1", 9)
	f.Remove(0, "s3", 10)
	_, err := f.Path(500*time.Millisecond, service(), request())
	g.Expect(err).To(MatchError(backends.ErrNoServer), "layers are missing regardless of pauses")
}

// Guards against waiting for a rate limit although a pause ends sooner, or the reverse.
func TestDeferralIsTheEarlierOfRateLimitAndPause(t *testing.T) {
	for pause, want := range map[time.Duration]time.Duration{500 * time.Millisecond: 500 * time.Millisecond, 3 * time.Second: 1111 * time.Millisecond} {
		g := NewWithT(t)
		f := twoPaths()
		f.SetMembers(0, "vm-1", []lease.VM{{Name: "vm-1", DataCentre: "a"}})
		f.SetRateLimit(0, 0, "s1", 1)
		f.Pause(0, "s3", pause)
		_, err := f.Path(0, service(), request())
		var deferral backends.Deferral
		g.Expect(errors.As(err, &deferral)).To(BeTrue(), "%v", err)
		due, known := deferral.RetryAfter(0)
		g.Expect(known).To(BeTrue())
		g.Expect(due).To(BeNumerically("~", want, time.Millisecond))
	}
}

// Guards against losing a server's pause with its entry, and against the pause outlasting the
// process that asked for it.
func TestPauseBelongsToOneProcess(t *testing.T) {
	g := NewWithT(t)
	f := backends.New()
	plain := backends.Server{ID: "p1@1", Name: "p1", Service: "app", Address: "p1:1", DataCentre: "a", Slots: 4, Revision: 1}
	f.Put(0, plain)
	f.Pause(0, "p1@1", time.Minute)
	f.Remove(0, "p1", 2)
	f.RemoveExpired(5 * time.Second)
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

// Guards against all requests that waited for a plain server's pause being sent at once.
func TestPlainServerGetsOneTrialRequestAfterItsPause(t *testing.T) {
	g := NewWithT(t)
	f := backends.New()
	f.Put(0, backends.Server{ID: "p1", Service: "app", Address: "p1:1", DataCentre: "a", Slots: 4})
	f.Pause(0, "p1", time.Second)
	choice, err := f.Instance(time.Second, "app", request())
	g.Expect(err).NotTo(HaveOccurred())
	f.CountSent(time.Second, choice)
	_, err = f.Instance(1010*time.Millisecond, "app", request())
	g.Expect(errors.As(err, new(*backends.PauseError))).To(BeTrue(), "%v", err)
	f.MarkAccepted(1020*time.Millisecond, time.Second, choice)
	_, err = f.Instance(1030*time.Millisecond, "app", request())
	g.Expect(err).NotTo(HaveOccurred())
}

// Guards against using a path after one of its servers left or asked for a pause.
func TestChoiceIsUsableWhileAllItsServersAcceptRequests(t *testing.T) {
	for name, change := range map[string]func(f *backends.Fleet, id string){
		"pause":   func(f *backends.Fleet, id string) { f.Pause(0, id, time.Second) },
		"leaving": func(f *backends.Fleet, id string) { f.MarkLeaving(0, id) },
		"gone":    func(f *backends.Fleet, id string) { f.Remove(10*time.Second, id, 9) },
	} {
		for _, id := range []string{"s1", "s2"} {
			g := NewWithT(t)
			f := twoPaths()
			choice, err := f.Path(0, service(), request())
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(f.Usable(0, choice)).To(BeTrue())
			change(f, id)
			g.Expect(f.Usable(0, choice)).To(BeFalse(), "%s of %s", name, id)
		}
	}
}
