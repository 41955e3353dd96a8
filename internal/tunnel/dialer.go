package tunnel

import (
	"bufio"
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"oleandershunt.example/oleandershunt/internal/core/reach"
	"oleandershunt.example/oleandershunt/internal/wire"
)

const (
	// maxVMs is the number of VMs that are asked for one tunnel. Most VMs of a data centre may have
	// lost their paths.
	maxVMs = 8
	// nextVMDelay is how long a VM is waited for before the next one is asked as well.
	nextVMDelay = 30 * time.Millisecond
	// openTimeout bounds the time to open a tunnel: that of a VM's connect, and of the calls.
	openTimeout = ConnectTimeout + 150*time.Millisecond
	// silentVerdicts is the number of VMs that must find a server silent for it to count as such:
	// one may have lost its own paths.
	silentVerdicts = 2
)

// Times for which a VM that opened no tunnel isn't asked again.
const (
	unavailableTime  = 500 * time.Millisecond
	unreachableTime  = time.Second
	contradictedTime = 2 * time.Second
	unsupportedTime  = 30 * time.Second
)

// DialerOptions are the dependencies of a Dialer.
type DialerOptions struct {
	// VMs returns the other live VMs by name: those of this data centre and the others.
	VMs func() (local, remote []string)
	// DialVM opens a connection to the peer server of a VM.
	DialVM func(ctx context.Context, vm string) (net.Conn, error)
	// Header holds the headers that identify this VM to another one.
	Header func(vm string) http.Header
	// Service returns the service of the server at an address: VMs may reach the servers of one
	// service and not those of another.
	Service func(address string) string
	// Now is the time since the start of the VM.
	Now func() time.Duration
}

// Dialer opens tunnels through other VMs. It is safe for concurrent use.
type Dialer struct {
	options DialerOptions

	mu sync.Mutex
	// vms are the VMs to choose from, by service.
	vms map[string]*reach.Intermediaries
}

// NewDialer returns a dialer.
func NewDialer(options DialerOptions) *Dialer {
	return &Dialer{options: options, vms: make(map[string]*reach.Intermediaries)}
}

// HasVMs reports whether there are other VMs.
func (d *Dialer) HasVMs() bool {
	local, remote := d.options.VMs()
	return len(local)+len(remote) > 0
}

// Conn is a connection to a backend server through another VM.
type Conn struct {
	net.Conn
	// VM is the name of the VM in between.
	VM string
	// reader holds what the VM sent after its response.
	reader *bufio.Reader
}

// NewConn returns a connection over a tunnel that was opened through a VM.
func NewConn(conn net.Conn, vm string) *Conn {
	return &Conn{Conn: conn, VM: vm, reader: bufio.NewReaderSize(conn, copyBufferBytes)}
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) { return c.reader.Read(p) }

// opened is the result of asking one VM.
type opened struct {
	vm   string
	conn *Conn
	err  error
}

// Dial connects to the backend server at an address through another VM. It asks several VMs, one
// shortly after the other, and takes the first tunnel. The error is ErrServerRefused if the server
// rejects connects from all VMs that could tell, ErrServerSilent if two VMs get no response, and
// otherwise ErrNoVM.
func (d *Dialer) Dial(ctx context.Context, address string) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	service := d.options.Service(address)
	conn, err := d.race(ctx, service, address)
	metrics.GetOrCreateCounter(`oleandershunt_tunnels_dialed_total{result="` + resultOf(err) + `"}`).Inc()
	return conn, err
}

// ofService calls use with the VMs to choose from for a service.
func (d *Dialer) ofService(service string, use func(now time.Duration, vms *reach.Intermediaries)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	vms, ok := d.vms[service]
	if !ok {
		vms = reach.NewIntermediaries()
		d.vms[service] = vms
	}
	use(d.options.Now(), vms)
}

func (d *Dialer) choose(service string) (chosen []string) {
	local, remote := d.options.VMs()
	d.ofService(service, func(now time.Duration, vms *reach.Intermediaries) {
		chosen = vms.Choose(now, local, remote, maxVMs, rand.IntN)
	})
	return chosen
}

// Responds reports whether another VM answers a request. That it accepts a connection shows nothing: the
// kernel of a process that was killed does so until it has closed the process's listener.
func (d *Dialer) Responds(ctx context.Context, vm string) bool {
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	conn, err := d.options.DialVM(ctx, vm)
	if err != nil {
		return false
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	request := &http.Request{Method: http.MethodHead, URL: &url.URL{Path: "/"}, Host: vm, Header: d.options.Header(vm)}
	if request.Write(conn) != nil {
		return false
	}
	response, err := http.ReadResponse(bufio.NewReader(wire.CheckHead(conn)), request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return true
}

// SetAside keeps new tunnels to a server's service off a VM for a time, since an open one fell
// silent.
func (d *Dialer) SetAside(vm, address string) {
	d.setAside(d.options.Service(address), vm, unreachableTime)
}

func (d *Dialer) setAside(service, vm string, span time.Duration) {
	d.ofService(service, func(now time.Duration, vms *reach.Intermediaries) { vms.SetAside(now, vm, span) })
}

// race asks VMs, each after the previous one failed or kept it waiting.
func (d *Dialer) race(ctx context.Context, service, address string) (*Conn, error) {
	vms := d.choose(service)
	results := make(chan opened, len(vms))
	asked, pending := 0, 0
	var refused, silent []string
	defer func() {
		if pending > 0 {
			go closeRest(results, pending)
		}
	}()
	next := time.NewTimer(0)
	defer next.Stop()
	for pending > 0 || asked < len(vms) {
		select {
		case <-next.C:
			if asked == len(vms) {
				continue
			}
			vm := vms[asked]
			asked++
			pending++
			go func() { results <- d.open(ctx, service, vm, address) }()
			next.Reset(nextVMDelay)
		case result := <-results:
			pending--
			switch {
			case result.err == nil:
				d.recordProven(service, result.vm, append(refused, silent...))
				return result.conn, nil
			case errors.Is(result.err, ErrServerRefused):
				refused = append(refused, result.vm)
			case errors.Is(result.err, ErrServerSilent):
				silent = append(silent, result.vm)
			}
			next.Reset(0)
		case <-ctx.Done():
			return nil, verdict(refused, silent)
		}
	}
	return nil, verdict(refused, silent)
}

// verdict returns the error for a server that no VM connects to.
func verdict(refused, silent []string) error {
	switch {
	case len(silent) >= silentVerdicts:
		return ErrServerSilent
	case len(refused) > 0 && len(silent) == 0:
		return ErrServerRefused
	default:
		return ErrNoVM
	}
}

// recordProven records that a VM connected to a server, and that others didn't, which have lost
// paths of their own.
func (d *Dialer) recordProven(service, vm string, others []string) {
	d.ofService(service, func(now time.Duration, vms *reach.Intermediaries) {
		vms.Proven(now, vm)
		for _, other := range others {
			vms.SetAside(now, other, contradictedTime)
		}
	})
}

// closeRest closes the tunnels that lost the race.
func closeRest(results <-chan opened, pending int) {
	for range pending {
		if result := <-results; result.conn != nil {
			_ = result.conn.Close()
		}
	}
}

// open asks one VM for a tunnel, and sets it aside if it is of no use.
func (d *Dialer) open(ctx context.Context, service, vm, address string) opened {
	start := d.options.Now()
	conn, err := d.tryOpen(ctx, vm, address)
	switch {
	case err == nil, errors.Is(err, ErrServerRefused), errors.Is(err, ErrServerSilent), errors.Is(err, ErrUnregistered):
	case errors.Is(err, ErrUnavailable):
		d.setAside(service, vm, unavailableTime)
	case errors.Is(err, ErrUnsupported):
		d.setAside(service, vm, unsupportedTime)
	case errors.Is(ctx.Err(), context.Canceled) && d.options.Now()-start < nextVMDelay:
		// It had no time to respond.
	default:
		d.setAside(service, vm, unreachableTime)
	}
	return opened{vm: vm, conn: conn, err: err}
}

func (d *Dialer) tryOpen(ctx context.Context, vm, address string) (*Conn, error) {
	raw, err := d.options.DialVM(ctx, vm)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = raw.Close() })
	conn, err := d.connect(raw, vm, address)
	if !stop() && err == nil {
		err = context.Cause(ctx)
	}
	if err != nil {
		_ = raw.Close()
		return nil, err
	}
	return conn, nil
}

// connect sends a CONNECT request over a connection and reads the response.
func (d *Dialer) connect(raw net.Conn, vm, address string) (*Conn, error) {
	request := &http.Request{Method: http.MethodConnect, URL: &url.URL{Host: address}, Host: address, Header: d.options.Header(vm)}
	if err := request.Write(raw); err != nil {
		return nil, err
	}
	conn := &Conn{Conn: raw, VM: vm, reader: bufio.NewReaderSize(wire.CheckHead(raw), copyBufferBytes)}
	response, err := http.ReadResponse(conn.reader, request)
	if err != nil {
		return nil, err
	}
	// A response to CONNECT with status 200 has no body: the bytes that follow are the server's.
	if response.StatusCode != http.StatusOK {
		return nil, errorOf(response.StatusCode)
	}
	return conn, nil
}
