package claims_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/uuid"
	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/claims"
	"oleandershunt.example/oleandershunt/internal/core"
	"oleandershunt.example/oleandershunt/internal/core/history"
	"oleandershunt.example/oleandershunt/internal/core/request"
	"oleandershunt.example/oleandershunt/internal/peer"
	"oleandershunt.example/oleandershunt/internal/platform"
	"oleandershunt.example/oleandershunt/internal/settings"
	"oleandershunt.example/oleandershunt/internal/standin"
)

// nowhere is an address that refuses connections.
const nowhere = "127.0.0.1:1"

// claimBody is the hash of the body that claims are made for.
const claimBody = 7

// fleet is a few VMs' claims over real peer calls, with stand-ins for the
// platform and for a plain service that counts what ran.
type fleet struct {
	t        testing.TB
	platform *standin.Platform
	service  *standin.Service
	settings settings.Claims
	vms      map[string]*vm
}

// vm is the claims of one VM, with the test in place of its core.
type vm struct {
	fleet     *fleet
	member    peer.Member
	claims    *claims.Service
	directory *peer.Directory
	dialer    *peer.Dialer
	pause     *pause
	server    *http.Server
	cancel    context.CancelFunc
	ended     chan struct{}
	start     time.Time
	// home and former are the account's, as this VM's configuration has them.
	home, former string

	mu      sync.Mutex
	waiting map[request.ID]chan core.ClaimDecided
	peeking map[request.ID]chan core.Verdict
}

func newFleet(t testing.TB, dataCentres ...string) *fleet {
	return newFleetWith(t, func(*settings.Claims) {}, dataCentres...)
}

func newFleetWith(t testing.TB, change func(*settings.Claims), dataCentres ...string) *fleet {
	listen := func() net.Listener {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
		return listener
	}
	f := &fleet{
		t:        t,
		platform: standin.StartPlatform(listen()),
		service:  standin.StartService(listen()),
		settings: settings.Default().Claims,
		vms:      make(map[string]*vm),
	}
	f.settings.ShardsPerDataCentre = 1
	f.settings.Lease = time.Second
	f.settings.ClockError = 100 * time.Millisecond
	// Two homes, bornova and any: 20 writes a second for each one's shard.
	f.settings.WritesPerSecond = 40
	change(&f.settings)
	t.Cleanup(func() {
		for _, v := range f.vms {
			v.kill()
		}
		f.service.Kill()
		f.platform.Stop()
	})
	for i, dataCentre := range dataCentres {
		f.add(fmt.Sprintf("vm-%d", i+1), dataCentre, listen())
	}
	for _, v := range f.vms {
		for _, other := range f.vms {
			v.directory.Put(other.member)
		}
	}
	for _, v := range f.vms {
		v.run()
	}
	return f
}

func (f *fleet) add(name, dataCentre string, listener net.Listener) {
	v := &vm{
		fleet:     f,
		directory: peer.NewDirectory(),
		pause:     &pause{},
		ended:     make(chan struct{}),
		start:     time.Now(),
		home:      "bornova",
		waiting:   make(map[request.ID]chan core.ClaimDecided),
		peeking:   make(map[request.ID]chan core.Verdict),
		member: peer.Member{
			Name: name, DataCentre: dataCentre, Address: listener.Addr().String(), Incarnation: uuid.NewString(),
		},
	}
	identity := peer.Identity{Deployment: "test", Name: name}
	v.dialer = peer.NewDialer(v.directory, identity, nil)
	store := platform.NewClient(f.platform.URL(), platform.WithVM(name), platform.WithBudget(1000, 1000))
	v.claims = claims.New(claims.Options{
		Settings: f.settings, Self: v.member, Store: pausedStore{store, v.pause}, Directory: v.directory,
		Dialer: v.dialer, Loop: v, Log: logr.Discard(),
	})
	peers := peer.NewServer(identity, nil, func(_, _ string, err error) { f.t.Error(err) })
	path, handler := v.claims.Handler()
	peers.Handle(path, v.pause.handler(handler))
	v.server = peers.HTTPServer()
	go func() { _ = v.server.Serve(listener) }()
	f.vms[name] = v
}

func (v *vm) run() {
	ctx, cancel := context.WithCancel(context.Background())
	v.cancel = cancel
	go func() {
		defer close(v.ended)
		_ = v.claims.Run(ctx)
	}()
}

// kill ends a VM without a handover.
func (v *vm) kill() {
	v.pause.end()
	v.cancel()
	_ = v.server.Close()
	<-v.ended
}

// dies kills a VM, and the others learn of it.
func (f *fleet) dies(name string) {
	f.vms[name].kill()
	for _, v := range f.vms {
		v.directory.Remove(name)
	}
}

// Now implements claims.Loop.
func (v *vm) Now() core.Time { return time.Since(v.start) }

// Post implements claims.Loop.
func (v *vm) Post(event core.Event) {
	v.mu.Lock()
	defer v.mu.Unlock()
	switch e := event.(type) {
	case core.ClaimDecided:
		v.waiting[e.Request] <- e
	case core.ClaimPeeked:
		v.peeking[e.Request] <- e.Verdict
	}
}

// peek asks whether a key is known. The body is that of claim unless others are given.
func (v *vm) peek(key string, body ...uint64) core.Verdict {
	id := request.ID(uuid.NewString())
	answer := make(chan core.Verdict, 1)
	v.mu.Lock()
	v.peeking[id] = answer
	v.mu.Unlock()
	v.claims.Peek(core.Peek{
		Request: id, Key: core.ClaimKey{Account: "growers", Key: key}, Home: v.home, FormerHome: v.former,
		BodyHash: append(body, claimBody)[0],
	})
	select {
	case verdict := <-answer:
		return verdict
	case <-time.After(20 * time.Second):
		v.fleet.t.Errorf("%s: peek at %s was never answered", v.member.Name, key)
		return ""
	}
}

// claim asks for the permission to dispatch and returns the request and the verdict.
func (v *vm) claim(key string) (request.ID, core.ClaimDecided) {
	id := request.ID(uuid.NewString())
	answer := make(chan core.ClaimDecided, 1)
	v.mu.Lock()
	v.waiting[id] = answer
	v.mu.Unlock()
	v.claims.Claim(core.Claim{
		Request: id, Key: core.ClaimKey{Account: "growers", Key: key}, Home: v.home, FormerHome: v.former, BodyHash: claimBody,
	})
	select {
	case decided := <-answer:
		return id, decided
	case <-time.After(20 * time.Second):
		v.fleet.t.Errorf("%s: claim of %s was never decided", v.member.Name, key)
		return id, core.ClaimDecided{Verdict: core.VerdictUndecided}
	}
}

// send does what the core does: claim, dispatch if granted in time, settle.
func (v *vm) send(key string) core.Verdict {
	id, decided := v.claim(key)
	if decided.Verdict != core.VerdictGranted {
		return decided.Verdict
	}
	if v.Now() >= decided.ValidUntil {
		v.settle(id, key, request.NotRun)
		return core.VerdictUndecided
	}
	v.fleet.dispatch(key)
	v.settle(id, key, request.Ran)
	return decided.Verdict
}

func (v *vm) settle(id request.ID, key string, execution request.Execution) {
	v.claims.Settle(core.ClaimSettled{Request: id, Key: core.ClaimKey{Account: "growers", Key: key}, Execution: execution})
}

// dispatch calls the plain service, which counts the run.
func (f *fleet) dispatch(key string) {
	call, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+f.service.Address()+"/sale", bytes.NewReader(nil))
	if err != nil {
		f.t.Error(err)
		return
	}
	call.Header.Set("Idempotency-Key", key)
	response, err := http.DefaultClient.Do(call)
	if err != nil {
		f.t.Error(err)
		return
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
}

// owner waits until one VM owns the keys of the home data centre, and names it.
func (f *fleet) owner(among ...string) string {
	found := ""
	NewWithT(f.t).Eventually(func() string {
		for _, name := range among {
			if f.vms[name].claims.Owns("bornova.0") {
				found = name
			}
		}
		return found
	}, "15s", "20ms").ShouldNot(BeEmpty())
	return found
}

// others are the VMs of a list without one.
func others(names []string, but string) []string {
	var rest []string
	for _, name := range names {
		if name != but {
			rest = append(rest, name)
		}
	}
	return rest
}

// pause holds a VM's calls back, in and out, as if its process were stopped.
type pause struct {
	mu     sync.Mutex
	paused chan struct{}
}

func (p *pause) begin() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.paused = make(chan struct{})
}

func (p *pause) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.paused != nil {
		close(p.paused)
		p.paused = nil
	}
}

func (p *pause) wait() {
	p.mu.Lock()
	paused := p.paused
	p.mu.Unlock()
	if paused != nil {
		<-paused
	}
}

func (p *pause) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.wait()
		next.ServeHTTP(w, r)
	})
}

// pausedStore holds a paused VM's calls of the platform back. They go out when
// it wakes, with the conditions that they had before.
type pausedStore struct {
	*platform.Client
	pause *pause
}

func (s pausedStore) Get(ctx context.Context, kind, name string) (platform.Object, error) {
	s.pause.wait()
	return s.Client.Get(ctx, kind, name)
}

func (s pausedStore) Update(_ context.Context, kind, name string, version history.Version, value any) (platform.Object, error) {
	s.pause.wait()
	// A stopped process's time limits stand still too.
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return s.Client.Update(ctx, kind, name, version, value)
}

// loses cuts a VM's way to another, which it still takes for live.
func (v *vm) loses(other *vm) {
	member := other.member
	member.Address = nowhere
	v.directory.Put(member)
	v.dialer.Close()
}
