package configuration

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/api"
	"oleandershunt.example/oleandershunt/internal/core/config"
	"oleandershunt.example/oleandershunt/internal/core/history"
	"oleandershunt.example/oleandershunt/internal/peer"
	"oleandershunt.example/oleandershunt/internal/platform"
	"oleandershunt.example/oleandershunt/internal/standin"
)

// patience bounds the waits of tests. They end as soon as what they wait for is there.
const patience = "20s"

// vm is one VM's configuration, its peer server and everything it put in force.
type vm struct {
	*Manager
	name        string
	directory   *peer.Directory
	server      *http.Server
	connections *connections
	cancel      context.CancelFunc
	done        chan struct{}
	// unreachable holds the names of the VMs whose calls don't arrive here.
	unreachable sync.Map

	mu      sync.Mutex
	history []uint64
}

// reached passes on the calls of the VMs that reach this one, and breaks the
// connections of all others.
func (v *vm) reached(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, cut := v.unreachable.Load(r.Header.Get(peer.HeaderFrom)); cut {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// inForce is every release that came in force, in order.
func (v *vm) inForce() []uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return append([]uint64{}, v.history...)
}

func (v *vm) sequence() uint64 {
	release, _ := v.InForce()
	return release.Sequence
}

func (v *vm) set() *config.Set {
	inForce, _ := v.store.current()
	return inForce.set
}

// has tells whether a record's version is in force.
func (v *vm) has(kind api.Kind, name string, version uint64) func() bool {
	return func() bool {
		record := v.set().Record(kind, name)
		return record != nil && record.Version == version
	}
}

func (v *vm) stop() {
	v.cancel()
	<-v.done
	_ = v.server.Close()
}

// deployment is a platform with some VMs. Only its own goroutine uses it.
type deployment struct {
	*WithT
	tb       testing.TB
	platform *standin.Platform
	operator *platform.Client
	vms      []*vm
}

func newDeployment(tb testing.TB) *deployment {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	served := standin.StartPlatform(listener)
	tb.Cleanup(served.Stop)
	d := newDeploymentAt(tb, served.URL())
	d.platform = served
	return d
}

// newDeploymentAt makes a deployment on a platform in another process.
func newDeploymentAt(tb testing.TB, url string) *deployment {
	d := &deployment{WithT: NewWithT(tb), tb: tb}
	d.operator = platform.NewClient(url, platform.WithVM("operator"), platform.WithBudget(1e6, 1e6))
	return d
}

// option changes a VM before it runs.
type option func(*Options)

func withTransport(transport http.RoundTripper) option {
	return func(o *Options) {
		o.Platform = platform.NewClient(o.Platform.URL(), platform.WithVM(o.Self.Name), platform.WithTransport(transport), platform.WithBookmark(50*time.Millisecond))
	}
}

func withSeeds(seeds ...string) option { return func(o *Options) { o.Seeds = seeds } }

// start adds a VM that knows the VMs before it, and they it.
func (d *deployment) start(name, dataCentre string, options ...option) *vm {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	d.Expect(err).NotTo(HaveOccurred())
	self := peer.Member{Name: name, DataCentre: dataCentre, Address: listener.Addr().String(), Reads: api.Readable()}
	identity := peer.Identity{Name: name, Deployment: "test"}
	v := &vm{name: name, directory: peer.NewDirectory(), done: make(chan struct{})}
	o := Options{
		Log:       logr.Discard(),
		Self:      self,
		Platform:  platform.NewClient(d.operator.URL(), platform.WithVM(name), platform.WithBookmark(50*time.Millisecond)),
		Directory: v.directory,
		Dialer:    peer.NewDialer(v.directory, identity, nil),
		Apply: func(set *config.Set) {
			v.mu.Lock()
			defer v.mu.Unlock()
			v.history = append(v.history, set.Release)
		},
	}
	for _, change := range options {
		change(&o)
	}
	v.Manager = New(o)
	peers := peer.NewServer(identity, nil, func(string, string, error) {})
	v.Mount(peers)
	v.server = peers.HTTPServer()
	v.server.Handler = v.reached(v.server.Handler)
	v.connections = &connections{Listener: listener}
	go func() { _ = v.server.Serve(v.connections) }()
	v.directory.Put(self)
	for _, other := range d.vms {
		other.directory.Put(self)
		v.directory.Put(other.Manager.self)
	}
	d.vms = append(d.vms, v)
	d.run(v)
	return v
}

func (d *deployment) run(v *vm) {
	ctx, cancel := context.WithCancel(context.Background())
	v.cancel = cancel
	go func() {
		defer close(v.done)
		_ = v.Run(ctx)
	}()
	d.tb.Cleanup(v.stop)
}

func (d *deployment) startMany(dataCentres ...string) {
	for i, dataCentre := range dataCentres {
		d.start(fmt.Sprintf("vm-%d", i+1), dataCentre)
	}
}

// write writes a record over whatever is there, and returns its version.
func (d *deployment) write(kind api.Kind, name string, spec any) uint64 {
	document, err := api.NewDocument(kind, name, spec)
	d.Expect(err).NotTo(HaveOccurred())
	var version history.Version
	if object, err := d.operator.Get(context.Background(), string(kind), name); err == nil {
		version = object.Version
	}
	var object platform.Object
	if version == 0 {
		object, err = d.operator.Create(context.Background(), string(kind), name, document)
	} else {
		object, err = d.operator.Update(context.Background(), string(kind), name, version, document)
	}
	d.Expect(err).NotTo(HaveOccurred())
	return uint64(object.Version)
}

// model writes a Model record that is valid alone.
func (d *deployment) model(name, version string) uint64 {
	return d.write(api.KindModel, name, api.ModelSpec{Layers: 4, Version: version})
}

// everywhere waits until a record's version is in force on all VMs given.
func (d *deployment) everywhere(kind api.Kind, name string, version uint64, vms ...*vm) {
	for _, v := range vms {
		d.Eventually(v.has(kind, name, version), patience).Should(BeTrue(), "%s version %d on %s", name, version, v.name)
	}
}

// neverBack checks that no VM's release in force ever went down.
func (d *deployment) neverBack() {
	for _, v := range d.vms {
		history := v.inForce()
		for i := 1; i < len(history); i++ {
			d.Expect(history[i]).To(BeNumerically(">", history[i-1]), "on %s", v.name)
		}
	}
}

// status reads the status of the configuration.
func (d *deployment) status() api.ConfigurationStatus {
	var status api.ConfigurationStatus
	object, err := d.operator.Get(context.Background(), string(api.KindStatus), api.StatusConfiguration)
	if err != nil {
		return status
	}
	d.Expect(json.Unmarshal(object.Value, &status)).To(Succeed())
	return status
}

// newest reads the newest release in the platform.
func (d *deployment) newest() api.Release {
	var release api.Release
	object, err := d.operator.Get(context.Background(), string(api.KindRelease), api.ReleaseName)
	d.Expect(err).NotTo(HaveOccurred())
	d.Expect(json.Unmarshal(object.Value, &release)).To(Succeed())
	return release
}

// gate is a transport that can hold back the writes of the Release.
type gate struct {
	mu      sync.Mutex
	closed  bool
	held    chan struct{}
	release chan struct{}
}

func newGate() *gate { return &gate{held: make(chan struct{}, 16), release: make(chan struct{})} }

func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
}

func (g *gate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = false
	close(g.release)
}

// RoundTrip implements http.RoundTripper.
func (g *gate) RoundTrip(r *http.Request) (*http.Response, error) {
	g.mu.Lock()
	held := g.closed && r.Method == http.MethodPut && r.URL.Path == platform.PathObjects+"Release/"+api.ReleaseName
	release := g.release
	g.mu.Unlock()
	if held {
		g.held <- struct{}{}
		<-release
		// The caller's time limit has passed meanwhile, as after a pause; a
		// write that is already on its way still arrives.
		r = r.WithContext(context.WithoutCancel(r.Context()))
	}
	return http.DefaultTransport.RoundTrip(r)
}

// connections is a listener whose connections can be broken.
type connections struct {
	net.Listener
	mu   sync.Mutex
	open []net.Conn
}

// Accept implements net.Listener.
func (c *connections) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	if err == nil {
		c.mu.Lock()
		c.open = append(c.open, conn)
		c.mu.Unlock()
	}
	return conn, err
}

func (c *connections) closeAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.open {
		_ = conn.Close()
	}
	c.open = nil
}
