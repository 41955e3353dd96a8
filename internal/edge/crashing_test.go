package edge_test

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/core/backends"
	"oleandershunt.example/oleandershunt/internal/edge"
	"oleandershunt.example/oleandershunt/internal/testutil/cutlink"
	"oleandershunt.example/oleandershunt/internal/wire"
)

const (
	// crashPath is the path of a request that ends each server that runs it, after crashDelay.
	crashPath  = "/plain/crash"
	crashDelay = 20 * time.Millisecond
	// minRestartTime and maxRestartTime bound how long a server is down.
	minRestartTime, maxRestartTime = 3100 * time.Millisecond, 4500 * time.Millisecond
	// maxLateSends is the number of times that a request may be sent to servers later than
	// contactTime after the last of the ends that show what it does.
	maxLateSends = 3
)

// crashRig is VMs before servers that end while they run certain requests, and restart as other
// processes.
type crashRig struct {
	*cutoffRig
	// unanswered makes connects to a server that is down get no response.
	unanswered bool
	// dark makes a server that ends leave its connections open without a response until it restarts.
	dark    bool
	servers []*mortalServer

	crashMu sync.Mutex
	// sends are the times at which such requests reached a server, and ends those at which a server
	// ended.
	sends, ends []time.Time
}

// mortalServer is a backend server whose process may end. serve runs its requests.
type mortalServer struct {
	rig   *crashRig
	name  string
	entry backends.Server
	serve http.HandlerFunc

	mu      sync.Mutex
	process int
	address string
	down    bool
	server  *http.Server
}

// newCrashRig starts VMs in one data centre without servers.
func newCrashRig(t *testing.T, vms int, unanswered bool) *crashRig {
	r := &crashRig{cutoffRig: &cutoffRig{WithT: NewWithT(t), t: t, store: newMemoryStore(), runs: make(map[string]int), timeouts: make(map[string]time.Duration), release: make(chan struct{})}, unanswered: unanswered}
	r.store.set("config", "main", cutoffTable())
	seed := ""
	for i := range vms {
		link := cutlink.New()
		vm := &rig{WithT: NewWithT(t), t: t, store: r.store, storeConn: newStoreConn(r.store), engines: newHTTPEngines, dial: r.dialOver(link)}
		vm.changes = []func(*edge.Settings){firstStart}
		vm.startOnFreePorts(fmt.Sprint("vm-", i+1), seed)
		if seed == "" {
			seed = vm.settings.PeerAddress
		}
		r.vms, r.links = append(r.vms, vm), append(r.links, link)
	}
	return r
}

// dialOver dials over a link; a server that is down may leave connects without a response.
func (r *crashRig) dialOver(link *cutlink.Link) wire.DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if r.unanswered && r.isDown(address) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return link.Dial(ctx, network, address)
	}
}

func (r *crashRig) isDown(address string) bool {
	return slices.ContainsFunc(r.servers, func(s *mortalServer) bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.down && s.address == address
	})
}

// addServers starts servers of which each runs its requests with serve.
func (r *crashRig) addServers(count int, entry backends.Server, serve func(*mortalServer) http.HandlerFunc) {
	for range count {
		s := &mortalServer{rig: r, name: fmt.Sprint(entry.Service, "-", len(r.servers)), entry: entry}
		s.serve = serve(s)
		r.servers = append(r.servers, s)
		s.start()
		r.t.Cleanup(s.stop)
	}
}

// start starts the server's next process, at the same address if that is free.
func (s *mortalServer) start() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.server != nil {
		_ = s.server.Close()
	}
	listener, err := net.Listen("tcp", cmp.Or(s.address, "127.0.0.1:0"))
	if err != nil {
		listener, err = net.Listen("tcp", "127.0.0.1:0")
	}
	if err != nil {
		s.rig.t.Error(err)
		return
	}
	server := &http.Server{Handler: s.serve}
	go func() { _ = server.Serve(listener) }() // ends when the process ends
	s.rig.store.remove("servers", s.id())
	s.process++
	s.down, s.address, s.server = false, listener.Addr().String(), server
	entry := s.entry
	entry.Address, entry.DataCentre, entry.Slots = s.address, "a", 64
	s.rig.store.set("servers", s.id(), entry)
}

func (s *mortalServer) id() string { return fmt.Sprint(s.name, "-", s.process) }

func (s *mortalServer) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.server.Close()
}

// downTime returns how long the server is down, another time for each server.
func (s *mortalServer) downTime() time.Duration {
	position := slices.Index(s.rig.servers, s)
	return minRestartTime + (maxRestartTime-minRestartTime)*time.Duration(position)/time.Duration(len(s.rig.servers))
}

// end ends the server's process; the next one follows after downTime.
func (s *mortalServer) end() {
	s.mu.Lock()
	ended := s.down
	s.down = true
	s.mu.Unlock()
	if ended {
		return
	}
	s.rig.crashMu.Lock()
	s.rig.ends = append(s.rig.ends, time.Now())
	s.rig.crashMu.Unlock()
	if !s.rig.dark {
		s.stop()
	}
	time.AfterFunc(s.downTime(), s.start)
}

// plainServer responds like a plain server, and ends when it has run crashPath for a moment.
func (r *crashRig) plainServer(s *mortalServer) http.HandlerFunc {
	return func(w http.ResponseWriter, request *http.Request) {
		if request.URL.Path != crashPath {
			r.serve(w, request)
			return
		}
		r.recordSend()
		time.Sleep(crashDelay)
		s.end()
		if r.dark {
			<-request.Context().Done()
		}
		panic(http.ErrAbortHandler)
	}
}

func (r *crashRig) recordSend() {
	r.crashMu.Lock()
	defer r.crashMu.Unlock()
	r.sends = append(r.sends, time.Now())
}

// lateSends counts the sends later than contactTime after a number of ends.
func (r *crashRig) lateSends(ends int) int {
	r.crashMu.Lock()
	defer r.crashMu.Unlock()
	if len(r.ends) < ends {
		return 0
	}
	late := 0
	for _, at := range r.sends {
		if at.After(r.ends[ends-1].Add(contactTime)) {
			late++
		}
	}
	return late
}

func (r *crashRig) endCount() int {
	r.crashMu.Lock()
	defer r.crashMu.Unlock()
	return len(r.ends)
}

// repeatFor sends the request of a path to each VM again and again, and returns how many were
// answered with 200 after the time skip, and how many were sent then.
func (r *crashRig) repeatFor(span, skip, interval time.Duration, name, path string) (served, sent int) {
	start := time.Now()
	var mu sync.Mutex
	var callers sync.WaitGroup
	for _, vm := range r.vms {
		callers.Go(func() {
			for i := 0; time.Since(start) < span; i++ {
				counts := time.Since(start) >= skip
				status := vm.status(strings.ReplaceAll(path, "#", fmt.Sprint(i)), fmt.Sprint(name, "-", vm.settings.VM, "-", i))
				mu.Lock()
				if counts {
					sent++
				}
				if counts && status == http.StatusOK {
					served++
				}
				mu.Unlock()
				time.Sleep(interval)
			}
		})
	}
	callers.Wait()
	return served, sent
}

// Guards against sending on a request under which three servers have ended, however their VMs find
// them gone.
func TestARequestThatEndedThreeServersIsSentNoMore(t *testing.T) {
	for _, test := range []struct {
		name         string
		servers, vms int
		unanswered   bool
		dark         bool
		cut          int
		state        cutlink.State
	}{
		{"all servers refuse", 3, 3, false, false, 0, cutlink.Up},
		{"all servers are silent", 3, 3, true, false, 0, cutlink.Up},
		{"some of five servers are silent", 5, 3, true, false, 0, cutlink.Up},
		{"servers leave open connections silent", 5, 3, true, true, 0, cutlink.Up},
		{"four of six VMs are cut off", 5, 6, false, false, 4, cutlink.Silent},
		{"four of nine VMs are refused", 3, 9, false, false, 4, cutlink.Reset},
		{"VMs are cut off from silent servers", 3, 6, true, false, 3, cutlink.Reset},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			r := newCrashRig(t, test.vms, test.unanswered)
			r.dark = test.dark
			r.addServers(test.servers, backends.Server{Service: "app"}, r.plainServer)
			for i, vm := range r.vms {
				r.Expect(vm.callUntilOK("/plain/a", fmt.Sprint("warm-", i)).Body.Close()).To(Succeed())
			}
			for _, link := range r.links[:test.cut] {
				link.Set(test.state)
			}
			const span, settled = 16 * time.Second, 12 * time.Second
			var load sync.WaitGroup
			load.Go(func() { r.repeatFor(span, 0, 50*time.Millisecond, "crash", crashPath) })
			served, sent := r.repeatFor(span, settled, 50*time.Millisecond, "sound", "/plain/#")
			load.Wait()
			t.Logf("%d sends, %d ends, %d late; sound %d of %d", len(r.sends), len(r.ends), r.lateSends(3), served, sent)
			r.Expect(r.endCount()).To(BeNumerically(">=", 3))
			r.Expect(r.lateSends(3)).To(BeNumerically("<=", maxLateSends), "%d ends", r.endCount())
			r.Expect(served).To(BeNumerically(">=", sent*9/10), "sound requests beside it")
		})
	}
}

// Guards against refusing a sound body that was running on the servers to which a VM lost its links,
// while another one ends servers.
func TestLostLinksBesideACrashingRequestDoNotBlockABody(t *testing.T) {
	t.Parallel()
	const servers = 4
	r := newCrashRig(t, 3, false)
	r.addServers(servers, backends.Server{Service: "app"}, r.plainServer)
	for i, vm := range r.vms {
		r.Expect(vm.callUntilOK("/plain/a", fmt.Sprint("warm-", i)).Body.Close()).To(Succeed())
	}
	for i := range servers {
		go r.vms[i%2].status("/plain/held", fmt.Sprint("held-", i))
	}
	r.Eventually(r.held.Load, "2s").Should(BeEquivalentTo(servers))
	r.links[0].Set(cutlink.Reset)
	r.links[1].Set(cutlink.Silent)
	close(r.release)
	var load sync.WaitGroup
	load.Go(func() { r.repeatFor(9*time.Second, 0, 50*time.Millisecond, "crash", crashPath) })
	time.Sleep(2*contactTime + maxRestartTime)
	for i, vm := range r.vms {
		r.Eventually(func() int { return vm.status("/plain/held", fmt.Sprint("later-", i)) }, "1s", "100ms").Should(Equal(http.StatusOK), vm.settings.VM)
	}
	load.Wait()
	r.Expect(r.lateSends(3)).To(BeNumerically("<=", maxLateSends), "%d ends", r.endCount())
}

// Guards against a request that crashes servers, found out and refused, that runs again once all VMs were
// killed together.
func TestBlockedContentOutlivesAllVMs(t *testing.T) {
	t.Parallel()
	r := newCrashRig(t, 3, false)
	r.addServers(6, backends.Server{Service: "app"}, r.plainServer)
	for i, vm := range r.vms {
		r.Expect(vm.callUntilOK("/plain/a", fmt.Sprint("warm-", i)).Body.Close()).To(Succeed())
	}
	r.repeatFor(3*time.Second+2*maxRestartTime, 0, 50*time.Millisecond, "crash", crashPath)
	r.Expect(r.endCount()).To(BeNumerically(">=", 3))
	for _, vm := range r.vms {
		vm.stop()
	}
	for _, vm := range r.vms {
		r.Eventually(vm.ended, "15s").Should(Receive())
	}
	time.Sleep(maxRestartTime)
	before := r.endCount()
	for i := range r.vms {
		vm := &rig{WithT: NewWithT(t), t: t, store: r.store, storeConn: newStoreConn(r.store), engines: newHTTPEngines, dial: r.dialOver(r.links[i])}
		seed := ""
		if i > 0 {
			seed = r.vms[0].settings.PeerAddress
		}
		vm.startOnFreePorts(fmt.Sprint("vm-", i+1), seed)
		r.vms[i] = vm
	}
	for i, vm := range r.vms {
		r.Expect(vm.callUntilOK("/plain/a", fmt.Sprint("again-", i)).Body.Close()).To(Succeed())
	}
	time.Sleep(time.Second) // within the contact time all VMs know it
	r.repeatFor(4*time.Second, 0, 50*time.Millisecond, "later", crashPath)
	r.Expect(r.endCount()-before).To(BeZero(), "servers that ended after the restart")
}
