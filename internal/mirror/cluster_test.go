package mirror_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"

	"oleandershunt.example/oleandershunt/internal/core/history"
	"oleandershunt.example/oleandershunt/internal/core/lease"
	"oleandershunt.example/oleandershunt/internal/mirror"
	entriesv1 "oleandershunt.example/oleandershunt/internal/peer/gen/peer/entries/v1"
	"oleandershunt.example/oleandershunt/internal/platform"
)

const kind = "servers"

// store holds the platform's objects of one kind in memory.
type store struct {
	mu      sync.Mutex
	version history.Version
	names   map[string]history.Version
	changes []platform.WatchEvent
	changed chan struct{}
	down    bool
}

func newStore(names ...string) *store {
	s := &store{names: make(map[string]history.Version), changed: make(chan struct{})}
	for _, name := range names {
		s.set(name, false)
	}
	return s
}

// set writes an object, or removes it.
func (s *store) set(name string, gone bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.names[name] = s.version
	if gone {
		delete(s.names, name)
	}
	object := platform.Object{Kind: kind, Name: name, Version: s.version, Value: []byte(`{}`)}
	s.changes = append(s.changes, platform.WatchEvent{Object: object, Deleted: gone})
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	close(s.changed)
	s.changed = make(chan struct{})
}

// storeClient is the connection of one VM to the store.
type storeClient struct {
	*store
	// lists and watches count its calls.
	lists, watches atomic.Int64
}

var errNotUsed = errors.New("the test does not use this call")

func (c *storeClient) Get(context.Context, string, string) (platform.Object, error) {
	return platform.Object{}, errNotUsed
}

func (c *storeClient) Put(context.Context, platform.Write, []byte) (platform.Object, error) {
	return platform.Object{}, errNotUsed
}

func (c *storeClient) Delete(context.Context, platform.Write) error { return errNotUsed }

func (c *storeClient) List(_ context.Context, _, _ string, each func(*platform.Object)) (platform.List, error) {
	c.lists.Add(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.down {
		return platform.List{}, platform.ErrUnavailable
	}
	list := platform.List{Version: c.version}
	for name, version := range c.names {
		object := platform.Object{Kind: kind, Name: name, Version: version, Value: []byte(`{}`)}
		each(&object)
		list.Items = append(list.Items, object)
	}
	return list, nil
}

func (c *storeClient) Watch(ctx context.Context, watch platform.Watch, handle func(platform.WatchEvent) error) error {
	version := watch.Version
	for {
		c.watches.Add(1)
		c.mu.Lock()
		fresh, now, changed, down := slices.Clone(c.changes), c.version, c.changed, c.down
		c.mu.Unlock()
		if down {
			return platform.ErrUnavailable
		}
		fresh = slices.DeleteFunc(fresh, func(e platform.WatchEvent) bool { return e.Object.Version <= version })
		if len(fresh) == 0 {
			select {
			case <-changed:
				continue
			case <-time.After(watch.Bookmark):
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		version = now
		fresh = append(fresh, platform.WatchEvent{Object: platform.Object{Version: version}, Bookmark: true})
		for _, event := range fresh {
			if err := handle(event); err != nil {
				return err
			}
		}
	}
}

// names is the sink of a VM's log; it records the objects and outages that it is passed.
type names struct {
	mu      sync.Mutex
	known   map[string]bool
	outages int
}

func (n *names) Listed(list platform.List) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.known = make(map[string]bool)
	for _, object := range list.Items {
		n.known[object.Name] = true
	}
	return nil
}

func (n *names) Watched(event platform.WatchEvent) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !event.Bookmark {
		n.known[event.Object.Name] = !event.Deleted
	}
	return nil
}

func (n *names) Broken(error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.outages++
}

func (n *names) has(name string) func() bool {
	return func() bool {
		n.mu.Lock()
		defer n.mu.Unlock()
		return n.known[name]
	}
}

func (n *names) broken() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.outages
}

// vm is a VM of the cluster.
type vm struct {
	lease.VM
	store   *storeClient
	known   *names
	log     *mirror.Log
	service *mirror.Service
	// unresponsive makes the VM accept requests and answer none.
	unresponsive atomic.Bool
	follower     *mirror.Follower
}

// cluster is a set of VMs that know one another and share one store.
type cluster struct {
	store *store
	vms   []*vm
}

// newCluster starts VMs, each data centre with one large VM and the others small.
func newCluster(t *testing.T, s *store, dataCentres, each int) *cluster {
	c := &cluster{store: s}
	begun := time.Now()
	now := func() time.Duration { return time.Since(begun) + time.Second }
	for d := range dataCentres {
		for i := range each {
			cores := 0.2
			if i == 0 {
				cores = 0.8
			}
			c.vms = append(c.vms, &vm{
				VM: lease.VM{Name: fmt.Sprintf("vm-%d-%d", d, i), DataCentre: fmt.Sprint("dc-", d), Cores: cores}, store: &storeClient{store: s},
				known: &names{known: make(map[string]bool)},
			})
		}
	}
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	t.Cleanup(func() {
		stop()
		running.Wait()
	})
	for _, v := range c.vms {
		v.log = mirror.NewLog(v.known, now)
		v.service = &mirror.Service{Log: v.log}
		v.follower = mirror.NewFollower(v.log, mirror.Options{
			Kind: kind, Self: v.Name, Settled: func() bool { return true },
			All: func() []lease.VM { return c.ranked("") }, Near: func() []lease.VM { return c.ranked(v.DataCentre) },
			Ask: c.ask, Now: now,
		})
	}
	for _, v := range c.vms {
		client := platform.NewClientOn(v.store, platform.WithBookmark(200*time.Millisecond), platform.WithLongestBackoff(100*time.Millisecond), platform.WithBudget(1000, 1000))
		running.Go(func() { _ = client.FollowMirror(ctx, kind, "", v.log, v.follower) })
	}
	return c
}

func (c *cluster) ranked(dataCentre string) []lease.VM {
	var all []lease.VM
	for _, v := range c.vms {
		if dataCentre == "" || v.DataCentre == dataCentre {
			all = append(all, v.VM)
		}
	}
	return lease.Rank("entries", "", all)
}

func (c *cluster) find(name string) *vm {
	for _, v := range c.vms {
		if v.Name == name {
			return v
		}
	}
	return nil
}

func (c *cluster) ask(ctx context.Context, name string, request *entriesv1.ChangesRequest) (*entriesv1.ChangesResponse, error) {
	v := c.find(name)
	if v.unresponsive.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	answer, err := v.service.Changes(ctx, connect.NewRequest(request))
	if err != nil || v.unresponsive.Load() {
		return nil, errNotUsed
	}
	return answer.Msg, nil
}

// readers lists the VMs that read the store for the others.
func (c *cluster) readers() []*vm {
	var readers []*vm
	for _, v := range c.vms {
		if v.follower.Reads() {
			readers = append(readers, v)
		}
	}
	return readers
}
