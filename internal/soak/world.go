package soak

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"oleandershunt.example/oleandershunt/platform/standin"
)

// server is a backend server behind a proxy.
type server struct {
	*standin.Server
	proxy *proxy
	// inFault is set while a fault uses the server, or once it leaves.
	inFault bool
}

// world is a running deployment.
type world struct {
	options Options
	store   *standin.Store
	storeAt string
	log     *standin.Log
	peers   *standin.Peers
	vms     []*vm
	http    *http.Server
	callers *callers

	mu             sync.Mutex
	servers        []*server
	serversCreated int
	versions       []configVersion
	facts          observations
	errs           []error
	wait           sync.WaitGroup
	// floodMu is held during a flood.
	floodMu sync.Mutex
}

func newWorld(options Options) (*world, error) {
	w := &world{options: options, store: standin.NewStore(), log: &standin.Log{}, peers: standin.NewPeers()}
	w.facts = observations{bounds: bounds, vms: make(map[string]*spans), servers: make(map[string]*spans), stops: make(map[string]*spans), links: make(map[string]*spans), crashes: make(map[string][]time.Time), memory: make(map[string]int)}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.storeAt = listener.Addr().String()
	w.http = &http.Server{Handler: w.store}
	go func() { _ = w.http.Serve(listener) }()
	if w.vms, err = newVMs(options); err != nil {
		return nil, err
	}
	for _, v := range w.vms {
		if err := v.store.setTarget(w.storeAt); err != nil {
			return nil, err
		}
	}
	w.callers = newCallers(w.vms, options.Seed)
	w.configure()
	const plainServers, modelServersEach = 4, 4
	for range plainServers {
		if err := w.addServer(""); err != nil {
			return nil, err
		}
	}
	for range modelServersEach * len(dataCentres) {
		if err := w.addServer(standin.Card); err != nil {
			return nil, err
		}
	}
	return w, nil
}

func (w *world) close() {
	w.wait.Wait()
	for _, v := range w.vms {
		_ = v.signal(syscall.SIGCONT, false)
		if v.signal(syscall.SIGKILL, true) == nil && v.ended != nil {
			<-v.ended
		}
		v.store.reset()
		_ = v.store.close()
	}
	for _, s := range w.servers {
		s.Kill()
		_ = s.proxy.close()
	}
	_ = w.http.Close()
}

// configure writes the next version of the configuration to the store.
func (w *world) configure() {
	w.mu.Lock()
	defer w.mu.Unlock()
	next := configVersion{version: len(w.versions) + 1, sent: time.Now()}
	next.stored = w.store.PutConfiguration(next.version)
	w.versions = append(w.versions, next)
}

func (w *world) version() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.versions)
}

// undelimitedServers is the interval between servers whose responses all end with their connections.
const undelimitedServers = 3

// modelSlots are the slots of a model server: few enough that a flood fills them.
const modelSlots = 6

// addServer starts a server under a new name.
func (w *world) addServer(card string) error {
	way, err := newProxy()
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.serversCreated++
	options := standin.Options{
		ID: fmt.Sprintf("i-%d", w.serversCreated), Service: standin.PlainService, DataCentre: dataCentres[w.serversCreated%len(dataCentres)],
		Slots: 24, Work: 900 * time.Millisecond, Address: way.address,
		Queues: !w.options.Rejecting, Undelimited: w.serversCreated%undelimitedServers == 0,
	}
	if card != "" {
		options.Service, options.Card, options.Layers = standin.ModelService, card, standin.ModelLayers
		options.Slots, options.Event, options.LoadTime, options.Stall = modelSlots, 15*time.Millisecond, time.Second, 2*time.Second
		options.Queues = false
	}
	s := &server{proxy: way}
	options.OnCrash = func(content string) { w.crash(s, content) }
	s.Server = standin.NewServer(w.store, w.peers, w.log, options)
	w.servers = append(w.servers, s)
	w.mu.Unlock()
	return w.startServer(s)
}

func (w *world) startServer(s *server) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	if err := s.proxy.setTarget(listener.Addr().String()); err != nil {
		return err
	}
	s.Start(listener)
	return nil
}

// recordUnplannedExit records a process that exited without having been signalled.
func (w *world) recordUnplannedExit(name string, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.facts.ended = append(w.facts.ended, fmt.Sprintf("%s: %v", name, err))
}

// awaitServing returns when each VM has served a stream, or an error after startTimeout.
func (w *world) awaitServing(ctx context.Context) error {
	until := time.Now().Add(startTimeout)
	for i, served := 0, 0; served < len(w.vms); i++ {
		id := fmt.Sprintf("start%05d", i)
		r := request{id: id, route: standin.StreamRoute, account: standin.Account, vm: w.vms[served].Name, process: 1, path: pathOf(standin.StreamRoute, id), body: bodyOf(id)}
		w.callers.do(w.vms[served], &r, false)
		w.callers.mu.Lock()
		w.callers.all = append(w.callers.all, r)
		w.callers.mu.Unlock()
		switch {
		case r.complete:
			served++
		case time.Now().After(until):
			return eris.Wrapf(ErrNotServing, "%s: status %d %s %s", r.vm, r.status, r.err, r.mismatch)
		default:
			if err := sleep(ctx, probeInterval); err != nil {
				return err
			}
		}
	}
	return nil
}

func (w *world) fail(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.errs = append(w.errs, err)
}
