package gossip_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/core/fleet"
	"oleandershunt.example/oleandershunt/internal/peer"
	"oleandershunt.example/oleandershunt/internal/peer/gossip"
	"oleandershunt.example/oleandershunt/internal/testutil"
)

const interval = time.Second

// vm is the gossip of one VM behind a real server on loopback.
type vm struct {
	*gossip.Gossip
	name      string
	directory *peer.Directory
	dialer    *peer.Dialer
	server    *http.Server
	listener  *testListener

	mu      sync.Mutex
	entries map[string]string
	vms     map[string]fleet.State
}

// cluster is a set of VMs that share a clock controlled by the test.
type cluster struct {
	*WithT
	tb    testing.TB
	now   atomic.Int64
	vms   []*vm
	bytes atomic.Int64
}

func newCluster(tb testing.TB) *cluster {
	return &cluster{WithT: NewWithT(tb), tb: tb}
}

// start adds a VM that has the given VMs' addresses as contacts.
func (c *cluster) start(name, dataCentre string, incarnation uint64, contacts ...*vm) *vm {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Expect(err).NotTo(HaveOccurred())
	v := &vm{
		name:      name,
		directory: peer.NewDirectory(),
		listener:  &testListener{Listener: listener, bytes: &c.bytes},
		entries:   make(map[string]string),
		vms:       make(map[string]fleet.State),
	}
	identity := peer.Identity{Name: name, Deployment: "test"}
	v.dialer = peer.NewDialer(v.directory, identity, nil)
	v.Gossip = gossip.New(gossip.Options{
		Self: peer.Member{
			Name: name, DataCentre: dataCentre, Address: listener.Addr().String(), Incarnation: fmt.Sprint(incarnation),
		},
		Incarnation: incarnation,
		Directory:   v.directory,
		Dialer:      v.dialer,
		Interval:    interval,
		Now:         func() time.Duration { return time.Duration(c.now.Load()) },
		Seed:        uint64(len(c.vms)),
		Contacts: func() []string {
			var addresses []string
			for _, contact := range contacts {
				addresses = append(addresses, contact.listener.Addr().String())
			}
			return addresses
		},
	})
	v.OnEntry("s/", func(e gossip.Entry) {
		v.mu.Lock()
		defer v.mu.Unlock()
		v.entries[e.VM+" on "+e.Key] = string(e.Value)
	})
	v.OnVM(func(changed fleet.VMStatus) {
		v.mu.Lock()
		defer v.mu.Unlock()
		v.vms[changed.Name] = changed.State
	})
	server := peer.NewServer(identity, nil, func(string, string, error) {})
	server.Handle(v.Handler())
	v.server = server.HTTPServer()
	go func() { _ = v.server.Serve(v.listener) }()
	c.tb.Cleanup(v.kill)
	c.vms = append(c.vms, v)
	return v
}

// kill stops a VM abruptly, as a crash does.
func (v *vm) kill() {
	_ = v.server.Close()
	v.dialer.Close()
}

func (v *vm) entry(key string) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.entries[key]
}

func (v *vm) state(name string) fleet.State {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.vms[name]
}

// rounds advances the clock by count intervals, with one round of each VM per interval.
func (c *cluster) rounds(count int, vms ...*vm) {
	for range count {
		c.now.Add(int64(interval))
		for _, v := range vms {
			v.Round(context.Background())
		}
		for _, v := range vms {
			v.Wait()
		}
	}
}

// testListener counts bytes and can simulate a network partition.
type testListener struct {
	net.Listener
	bytes *atomic.Int64
	cut   atomic.Bool
	mu    sync.Mutex
	conns []net.Conn
}

func (l *testListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.cut.Load() {
			_ = conn.Close()
			continue
		}
		l.mu.Lock()
		l.conns = append(l.conns, conn)
		l.mu.Unlock()
		return testutil.CountConn(conn, l.bytes), nil
	}
}

// cutOff closes all open and new connections until restore is called.
func (l *testListener) cutOff() {
	l.cut.Store(true)
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range l.conns {
		_ = conn.Close()
	}
	l.conns = nil
}

func (l *testListener) restore() { l.cut.Store(false) }
