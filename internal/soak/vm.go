package soak

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"oleandershunt.example/oleandershunt/platform/standin"
)

// vm is a VM: its settings and, while it runs, its process.
type vm struct {
	standin.VM
	program, settings, log string
	store                  *proxy
	// turn is held while the process is stopped and started.
	turn sync.Mutex

	mu      sync.Mutex
	process *exec.Cmd
	// asked says that the process was told to end.
	asked bool
	ended chan struct{}
	// boots counts the processes that were started.
	boots int
}

// Ports are drawn below those that systems give to outgoing connections: a VM that starts
// again must find its own free.
const (
	firstPort = 12_000
	lastPort  = 32_000
	portTries = 200
)

var errNoPorts = errors.New("no free ports on loopback: end what listens there")

// freePorts are ports on loopback that nobody listened on a moment ago.
func freePorts(n int) ([]int, error) {
	ports := make([]int, 0, n)
	var open []net.Listener
	defer func() {
		for _, listener := range open {
			_ = listener.Close()
		}
	}()
	for range portTries {
		port := firstPort + rand.IntN(lastPort-firstPort)
		listener, err := net.Listen("tcp", local(port))
		if err != nil {
			continue
		}
		open = append(open, listener)
		if ports = append(ports, port); len(ports) == n {
			return ports, nil
		}
	}
	return nil, errNoPorts
}

func local(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)) }

// start begins a process. unplanned is called when it ends without having been told to.
func (v *vm) start(bounds standin.Bounds, unplanned func(name string, err error)) error {
	settings, err := standin.Settings(v.VM, bounds)
	if err != nil {
		return err
	}
	if err := os.WriteFile(v.settings, settings, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(v.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	process := exec.Command(v.program, "forward", "--settings", v.settings)
	process.Stdout, process.Stderr = log, log
	if err := process.Start(); err != nil {
		_ = log.Close()
		return err
	}
	ended := make(chan struct{})
	v.mu.Lock()
	v.process, v.asked, v.ended = process, false, ended
	v.boots++
	v.mu.Unlock()
	go func() {
		err := process.Wait()
		_ = log.Close()
		v.mu.Lock()
		asked := v.asked
		v.mu.Unlock()
		if !asked {
			unplanned(v.Name, err)
		}
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process. ends says that it is to end by it.
func (v *vm) signal(signal syscall.Signal, ends bool) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.process == nil {
		return nil
	}
	v.asked = v.asked || ends
	if err := v.process.Process.Signal(signal); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	return nil
}

// wait returns when the process has ended. After the time it is killed, and false returned.
func (v *vm) wait(within time.Duration) bool {
	v.mu.Lock()
	ended := v.ended
	v.mu.Unlock()
	select {
	case <-ended:
		return true
	case <-time.After(within):
		_ = v.signal(syscall.SIGKILL, true)
		<-ended
		return false
	}
}

func (v *vm) running() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	select {
	case <-v.ended:
		return false
	default:
		return true
	}
}

// ready asks as the balancer does.
func (v *vm) ready(client *http.Client) bool {
	response, err := client.Get("http://" + v.Ready + standin.ReadyPath)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// usage is what a process holds.
type usage struct{ Descriptors, Goroutines, ResidentMB int }

// usage asks the process for its metrics.
func (v *vm) usage(client *http.Client) (usage, error) {
	response, err := client.Get("http://" + local(v.Operations) + "/metrics")
	if err != nil {
		return usage{}, err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return usage{}, err
	}
	return usage{
		Descriptors: int(metric(text, "process_open_fds")), Goroutines: int(metric(text, "go_goroutines")),
		ResidentMB: int(metric(text, "process_resident_memory_bytes") / (1 << 20)),
	}, nil
}

func metric(text []byte, name string) float64 {
	for _, line := range strings.Split(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, name+" "); ok {
			if value, err := strconv.ParseFloat(rest, 64); err == nil {
				return value
			}
		}
	}
	return -1
}

// logged is what a VM's processes wrote.
type logged struct {
	// missing are requests without a line, of those asked for, and races the reports of
	// the race detector.
	missing []string
	races   int
}

// read looks for the lines of some requests in the VM's log.
func (v *vm) read(ids []string) (logged, error) {
	log, err := os.ReadFile(v.log)
	if err != nil {
		return logged{}, err
	}
	found := logged{races: bytes.Count(log, []byte("WARNING: DATA RACE"))}
	for _, id := range ids {
		if !bytes.Contains(log, []byte(`"`+id+`"`)) {
			found.missing = append(found.missing, id)
		}
	}
	return found, nil
}

// newVMs makes VMs in data centres a, b, c in turn, whose files are in a folder.
func newVMs(n int, program, folder string) ([]*vm, error) {
	const portsEach = 4
	ports, err := freePorts(n * portsEach)
	if err != nil {
		return nil, err
	}
	vms := make([]*vm, n)
	for i := range vms {
		store, err := newProxy()
		if err != nil {
			return nil, err
		}
		p := ports[i*portsEach:]
		name := fmt.Sprintf("vm-%d", i+1)
		vms[i] = &vm{
			VM: standin.VM{
				Name: name, DataCentre: dataCentres[i%len(dataCentres)], First: true, Store: store.address,
				Callers: local(p[0]), Ready: local(p[1]), Peers: local(p[2]), Operations: p[3],
			},
			program: program, settings: filepath.Join(folder, name+".json"), log: filepath.Join(folder, name+".log"), store: store,
		}
	}
	const contacts = 3
	for _, v := range vms {
		for _, contact := range vms[:min(contacts, n)] {
			v.Contacts = append(v.Contacts, contact.Peers)
		}
	}
	return vms, nil
}

var dataCentres = []string{"a", "b", "c"}
