package tunnel

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"oleandershunt.example/oleandershunt/internal/core/reach"
)

const (
	// maxVMs is the number of VMs that are asked for one tunnel.
	maxVMs = 4
	// nextVMDelay is how long a VM is waited for before the next one is asked as well.
	nextVMDelay = 60 * time.Millisecond
	// openTimeout bounds the time to open a tunnel: that of a VM's connect, and of the calls.
	openTimeout = ConnectTimeout + 150*time.Millisecond
	// silentVerdicts is the number of VMs that must find a server silent for it to count as such:
	// one may have lost its own paths.
	silentVerdicts = 2
)

// Times for which a VM that opened no tunnel isn't asked again.
const (
	unavailableTime = 500 * time.Millisecond
	unreachableTime = time.Second
	unsupportedTime = 30 * time.Second
)

// DialerOptions are the dependencies of a Dialer.
type DialerOptions struct {
	// VMs returns the other live VMs by name: those of this data centre and the others.
	VMs func() (local, remote []string)
	// DialVM opens a connection to the peer server of a VM.
	DialVM func(ctx context.Context, vm string) (net.Conn, error)
	// Header holds the headers that identify this VM to another one.
	Header func(vm string) http.Header
	// Now is the time since the start of the VM.
	Now func() time.Duration
}

// Dialer opens tunnels through other VMs. It is safe for concurrent use.
type Dialer struct {
	options DialerOptions

	mu  sync.Mutex
	vms *reach.Intermediaries
}

// NewDialer returns a dialer.
func NewDialer(options DialerOptions) *Dialer {
	return &Dialer{options: options, vms: reach.NewIntermediaries()}
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
	conn *Conn
	err  error
}

// Dial connects to the backend server at an address through another VM. It asks several VMs, one
// shortly after the other, and takes the first tunnel. The error is ErrServerRefused if the server
// has ended, ErrServerSilent if two VMs get no response, and otherwise ErrNoVM.
func (d *Dialer) Dial(ctx context.Context, address string) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	conn, err := d.race(ctx, address, d.choose())
	metrics.GetOrCreateCounter(`oleandershunt_tunnels_dialed_total{result="` + resultOf(err) + `"}`).Inc()
	return conn, err
}

func (d *Dialer) choose() []string {
	local, remote := d.options.VMs()
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.vms.Choose(d.options.Now(), local, remote, maxVMs, rand.IntN)
}

// SetAside keeps new tunnels off a VM for a time, since an open one fell silent.
func (d *Dialer) SetAside(vm string) { d.setAside(vm, unreachableTime) }

func (d *Dialer) setAside(vm string, span time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.vms.SetAside(d.options.Now(), vm, span)
}

// race asks the VMs, each after the previous one failed or kept it waiting.
func (d *Dialer) race(ctx context.Context, address string, vms []string) (*Conn, error) {
	results := make(chan opened, len(vms))
	asked, pending, silent := 0, 0, 0
	ask := func() {
		vm := vms[asked]
		asked++
		pending++
		go func() {
			conn, err := d.open(ctx, vm, address)
			results <- opened{conn, err}
		}()
	}
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
			if asked < len(vms) {
				ask()
				next.Reset(nextVMDelay)
			}
		case result := <-results:
			pending--
			if result.err == nil || errors.Is(result.err, ErrServerRefused) {
				return result.conn, result.err
			}
			if errors.Is(result.err, ErrServerSilent) {
				if silent++; silent >= silentVerdicts {
					return nil, result.err
				}
			}
			next.Reset(0)
		case <-ctx.Done():
			return nil, fmt.Errorf("%w: %w", ErrNoVM, context.Cause(ctx))
		}
	}
	return nil, ErrNoVM
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
func (d *Dialer) open(ctx context.Context, vm, address string) (*Conn, error) {
	start := d.options.Now()
	conn, err := d.tryOpen(ctx, vm, address)
	switch {
	case err == nil, errors.Is(err, ErrServerRefused), errors.Is(err, ErrServerSilent), errors.Is(err, ErrUnregistered):
	case errors.Is(err, ErrUnavailable):
		d.setAside(vm, unavailableTime)
	case errors.Is(err, ErrUnsupported):
		d.setAside(vm, unsupportedTime)
	case errors.Is(ctx.Err(), context.Canceled) && d.options.Now()-start < nextVMDelay:
		// It had no time to respond.
	default:
		d.setAside(vm, unreachableTime)
	}
	return conn, err
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
	conn := NewConn(raw, vm)
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
