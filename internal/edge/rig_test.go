package edge_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/core/backends"
	"oleandershunt.example/oleandershunt/internal/core/backpressure"
	"oleandershunt.example/oleandershunt/internal/core/chain"
	"oleandershunt.example/oleandershunt/internal/core/history"
	"oleandershunt.example/oleandershunt/internal/core/routes"
	"oleandershunt.example/oleandershunt/internal/edge"
	objects "oleandershunt.example/oleandershunt/internal/platform"
	"oleandershunt.example/oleandershunt/internal/relay"
	"oleandershunt.example/oleandershunt/platform"
)

// memoryStore is an in-memory object store with injected faults.
type memoryStore struct {
	mu      sync.Mutex
	version history.Version
	objects map[string]objects.Object
	changes []objects.WatchEvent
	changed chan struct{}
	// down makes every call fail; failed counts the failed watch calls.
	down   bool
	failed int
}

func newMemoryStore() *memoryStore {
	return &memoryStore{objects: make(map[string]objects.Object), changed: make(chan struct{})}
}

func (m *memoryStore) set(kind, name string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.put(kind, name, data)
}

func (m *memoryStore) put(kind, name string, value []byte) objects.Object {
	m.version++
	object := objects.Object{Kind: kind, Name: name, Version: m.version, Value: value}
	m.objects[kind+"/"+name] = object
	m.change(objects.WatchEvent{Object: object})
	return object
}

func (m *memoryStore) change(event objects.WatchEvent) {
	m.changes = append(m.changes, event)
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *memoryStore) remove(kind, name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.version++
	object := m.objects[kind+"/"+name]
	delete(m.objects, kind+"/"+name)
	object.Version = m.version
	m.change(objects.WatchEvent{Object: object, Deleted: true})
}

// memorySnapshot is a copy of a memoryStore.
type memorySnapshot struct {
	version history.Version
	objects map[string]objects.Object
	changes []objects.WatchEvent
}

// snapshot copies the store.
func (m *memoryStore) snapshot() memorySnapshot {
	m.mu.Lock()
	defer m.mu.Unlock()
	return memorySnapshot{version: m.version, objects: maps.Clone(m.objects), changes: slices.Clone(m.changes)}
}

// restore replaces the store's contents by a snapshot: later writes are lost, and their
// versions are reused.
func (m *memoryStore) restore(from memorySnapshot) {
	m.mu.Lock()
	defer m.mu.Unlock()
	version, err := history.NewVersion(m.version.History()+1, from.version.Revision())
	if err != nil {
		panic(err)
	}
	m.version, m.objects, m.changes = version, maps.Clone(from.objects), slices.Clone(from.changes)
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *memoryStore) setDown(down bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.down = down
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *memoryStore) failures() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.failed
}

func (m *memoryStore) Get(_ context.Context, kind, name string) (objects.Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return objects.Object{}, objects.ErrUnavailable
	}
	object, ok := m.objects[kind+"/"+name]
	if !ok {
		return object, objects.ErrNotFound
	}
	return object, nil
}

func (m *memoryStore) List(_ context.Context, kind, _ string, each func(*objects.Object)) (objects.List, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return objects.List{}, objects.ErrUnavailable
	}
	list := objects.List{Version: m.version}
	for _, object := range m.objects {
		if object.Kind == kind {
			each(&object)
			list.Items = append(list.Items, object)
		}
	}
	return list, nil
}

func (m *memoryStore) Put(_ context.Context, write objects.Write, value []byte) (objects.Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return objects.Object{}, objects.ErrUnavailable
	}
	if m.objects[write.Kind+"/"+write.Name].Version != write.Version {
		return objects.Object{}, objects.ErrConflict
	}
	return m.put(write.Kind, write.Name, value), nil
}

func (m *memoryStore) Delete(context.Context, objects.Write) error { return objects.ErrRefused }

// since returns the changes of a kind after a version, the current version, and a channel
// that is closed at the next change.
func (m *memoryStore) since(kind string, version history.Version) ([]objects.WatchEvent, history.Version, <-chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		m.failed++
		return nil, 0, nil, objects.ErrUnavailable
	}
	if version > m.version || version.History() != m.version.History() {
		return nil, 0, nil, objects.ErrCompacted
	}
	var fresh []objects.WatchEvent
	for _, event := range m.changes {
		if event.Object.Version > version && event.Object.Kind == kind {
			fresh = append(fresh, event)
		}
	}
	return fresh, m.version, m.changed, nil
}

func (m *memoryStore) Watch(ctx context.Context, watch objects.Watch, handle func(objects.WatchEvent) error) error {
	version := watch.Version
	for {
		fresh, seen, news, err := m.since(watch.Kind, version)
		if err != nil {
			return err
		}
		version = seen
		fresh = append(fresh, objects.WatchEvent{Object: objects.Object{Version: version}, Bookmark: true})
		for _, event := range fresh {
			if err := handle(event); err != nil {
				return err
			}
		}
		select {
		case <-news:
		case <-time.After(watch.Bookmark):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// tableValue is a configuration as stored in the test's store.
type tableValue struct {
	Version uint64
	Routes  []routes.Route
	Keys    map[string]routes.Account
}

type decoder struct{}

func (decoder) Routes(value json.RawMessage) (*routes.Table, error) {
	var t tableValue
	if err := json.Unmarshal(value, &t); err != nil {
		return nil, err
	}
	return routes.New(t.Version, routes.Limits{}, t.Routes, []routes.Service{{Name: "app"}}, t.Keys), nil
}

func (decoder) Server(id string, value json.RawMessage) (backends.Server, error) {
	var server backends.Server
	err := json.Unmarshal(value, &server)
	server.ID = id
	return server, err
}

// noEngines is a deployment without model servers.
type noEngines struct{}

func (noEngines) Report(context.Context, string) (relay.Report, error) { return relay.Report{}, nil }

func (noEngines) Place(context.Context, string, string, relay.Order) (backpressure.Signals, error) {
	return backpressure.Signals{}, nil
}

func (noEngines) Repath(context.Context, string, string, string, chain.Path) (backpressure.Signals, error) {
	return backpressure.Signals{}, nil
}

// rig is one VM under test with its store and servers.
type rig struct {
	*WithT
	t         *testing.T
	store     *memoryStore
	storeConn *storeConn
	settings  edge.Settings
	// changes are applied to the settings before the start.
	changes []func(*edge.Settings)
	stop    context.CancelFunc
	ended   chan error
}

func freeAddress(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// newRig starts a VM whose store has the given configuration.
func newRig(t *testing.T, table tableValue) *rig {
	store := newMemoryStore()
	store.set("config", "main", table)
	r := newVM(t, "vm-1", store, "")
	r.Eventually(r.ready, "5s").Should(Equal(http.StatusOK))
	return r
}

// storeConn is one VM's connection to a store that other VMs share.
type storeConn struct {
	*memoryStore
	cut atomic.Bool
	// reads counts the reads of the configuration.
	reads atomic.Int64
	// watches counts the watch calls and their events.
	watches atomic.Int64
}

// Watch implements objects.Wire.
func (c *storeConn) Watch(ctx context.Context, watch objects.Watch, handle func(objects.WatchEvent) error) error {
	c.watches.Add(1)
	return c.memoryStore.Watch(ctx, watch, func(event objects.WatchEvent) error {
		c.watches.Add(1)
		return handle(event)
	})
}

func (c *storeConn) Get(ctx context.Context, kind, name string) (objects.Object, error) {
	if c.cut.Load() {
		return objects.Object{}, objects.ErrUnavailable
	}
	if kind == "config" {
		c.reads.Add(1)
	}
	return c.memoryStore.Get(ctx, kind, name)
}

// newVM starts a VM. seed is another VM's peer address; empty without other VMs.
func newVM(t *testing.T, name string, store *memoryStore, seed string, changes ...func(*edge.Settings)) *rig {
	r := &rig{WithT: NewWithT(t), t: t, store: store, storeConn: &storeConn{memoryStore: store}, changes: changes}
	const tries = 5
	for range tries {
		if r.start(name, seed) {
			t.Cleanup(r.stop)
			return r
		}
	}
	t.Fatalf("no free ports in %d tries", tries)
	return nil
}

// newVMs starts count VMs, of which the first one is the seed of the others.
func newVMs(t *testing.T, store *memoryStore, count int, changes ...func(*edge.Settings)) []*rig {
	vms := []*rig{newVM(t, "vm-1", store, "", changes...)}
	for i := 2; i <= count; i++ {
		vms = append(vms, newVM(t, fmt.Sprint("vm-", i), store, vms[0].settings.Peers, changes...))
	}
	return vms
}

// start starts the VM's process. It returns false when another process took one of its
// ports after it was found to be free.
func (r *rig) start(name, seed string) bool {
	r.settings = edge.Settings{
		VM: name, DataCentre: "a", Peers: freeAddress(r.t), Host: "127.0.0.1", Callers: freeAddress(r.t), Ready: freeAddress(r.t), Store: "memory",
		KeyTrust: 2 * time.Second, ApplyWithin: time.Second, Contact: 3 * time.Second, Grace: 8 * time.Second, RepeatRatio: 0.2, RepeatSlack: 200, RepeatWindow: 10 * time.Second,
	}
	if seed != "" {
		r.settings.Seeds = []string{seed}
	}
	for _, change := range r.changes {
		change(&r.settings)
	}
	settings, ended := r.settings, make(chan error, 1)
	ctx, stop := context.WithCancel(context.Background())
	r.stop, r.ended = stop, ended
	go func() {
		ended <- edge.Run(ctx, edge.Parts{
			Log: logr.Discard(), Settings: settings,
			ReadAgain: func() (edge.Settings, error) { return settings, nil },
			Store:     objects.NewClientOn(r.storeConn, edge.StoreOptions(settings)...),
			Config:    edge.Source{Kind: "config", Name: "main"}, Servers: edge.Source{Kind: "servers"},
			Decode: decoder{}, Requests: platform.Requests{}, Engines: noEngines{}, HealthPath: "/ready",
		})
	}()
	var err error
	listens := func() bool {
		select {
		case err = <-ended:
			return true
		default:
			return r.ready() != 0
		}
	}
	r.Eventually(listens, "5s").Should(BeTrue())
	if err != nil {
		stop()
		r.Expect(errors.Is(err, syscall.EADDRINUSE)).To(BeTrue(), "%v", err)
	}
	return err == nil
}

func (r *rig) ready() int {
	response, err := http.Get("http://" + r.settings.Ready + "/ready")
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	return response.StatusCode
}

// server starts a backend server and registers it.
func (r *rig) server(id string, serve http.HandlerFunc) *httptest.Server {
	server := httptest.NewServer(serve)
	r.t.Cleanup(server.Close)
	r.store.set("servers", id, backends.Server{
		Service: "app", Address: strings.TrimPrefix(server.URL, "http://"), DataCentre: "a", Slots: 4,
	})
	return server
}

// call sends a request as a caller does.
func (r *rig) call(path, id string) (*http.Response, error) {
	request, err := http.NewRequest(http.MethodGet, "http://"+r.settings.Callers+path, nil)
	r.Expect(err).NotTo(HaveOccurred())
	request.Host = "app.example"
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Api-Key", "key")
	return http.DefaultClient.Do(request)
}

// callUntilOK repeats a request until its status is 200.
func (r *rig) callUntilOK(path, id string) *http.Response {
	var response *http.Response
	r.Eventually(func() int {
		var err error
		response, err = r.call(path, id)
		r.Expect(err).NotTo(HaveOccurred())
		return response.StatusCode
	}, "5s").Should(Equal(http.StatusOK))
	return response
}

// status returns a request's status; 0 without a response.
func (r *rig) status(path, id string) int {
	response, err := r.call(path, id)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	return response.StatusCode
}

// sign adds the headers that make a response valid.
func sign(w http.ResponseWriter, request *http.Request) {
	w.Header().Set("X-Request-Id", request.Header.Get("X-Request-Id"))
	w.Header().Set("X-Response-Seal", "seal")
}

func route(prefix string, repeat routes.RepeatPolicy, stream bool) routes.Route {
	return routes.Route{
		Name: prefix, Host: "app.example", Prefix: prefix, Repeat: repeat, Stream: stream, MaxAttempts: 2,
		Timeout: 6 * time.Second, TargetLatency: 300 * time.Millisecond, Shares: []routes.Share{{Service: "app", Weight: 1}},
	}
}

func table(version uint64) tableValue {
	return tableValue{
		Version: version,
		Routes:  []routes.Route{route("/plain/", routes.Repeatable, false), route("/once/", routes.AtMostOnce, false), route("/stream/", routes.Resumable, true)},
		Keys:    map[string]routes.Account{"key": {Name: "account"}},
	}
}

func event(id int) string { return fmt.Sprintf("id: %d\ndata: x\n\n", id) }
