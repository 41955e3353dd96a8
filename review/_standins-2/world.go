package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"oleandershunt.example/oleandershunt/platform/standin"
)

const (
	graceS      = 8
	revokeMS    = 5000
	heartbeatMS = 1200
)

// site has the figures of a deployment's page that the cases use.
type site struct {
	contact, recover, drain, config, catchUp, ack, stretch time.Duration
	budgetSlack                                            float64
	cores, memoryMB, linkMbps                              float64
	descriptors                                            int
	// born is set if what runners say of themselves has the time of their start.
	born bool
}

// Figures of kademe-izmir, kademe-izmir-grown (its smallest machines) and lagon-hire-grown.
var (
	kademe = site{
		contact: 3 * time.Second, recover: 12 * time.Second, drain: 2 * time.Second, config: 2 * time.Second, catchUp: 4 * time.Second,
		ack: 4 * time.Second, stretch: 5 * time.Second, budgetSlack: 202, cores: 0.4, memoryMB: 284, linkMbps: 1000, descriptors: 4100,
	}
	kademeGrown = site{
		contact: 4 * time.Second, recover: 15 * time.Second, drain: 3 * time.Second, config: 3 * time.Second, catchUp: 6 * time.Second,
		ack: 6 * time.Second, stretch: 6 * time.Second, budgetSlack: 354, cores: 0.192, memoryMB: 184, linkMbps: 20, descriptors: 4100,
	}
	lagonGrown = site{
		contact: 4 * time.Second, recover: 15 * time.Second, drain: 3 * time.Second, config: 3 * time.Second, catchUp: 6 * time.Second,
		ack: 6 * time.Second, stretch: 6 * time.Second, budgetSlack: 360, cores: 0.464, memoryMB: 411, linkMbps: 48, descriptors: 8192, born: true,
	}
)

// record is what the case writes to record.txt.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, start: time.Now()}, err
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// summary is a line that is shown on standard output as well.
func (r *record) summary(format string, args ...any) {
	r.line(format, args...)
	fmt.Printf(format+"\n", args...)
}

// storeHandler is the project's stand-in of the platform's store, without a header that the pages of these
// deployments don't have.
type storeHandler struct{ *standin.Store }

type plainWriter struct{ http.ResponseWriter }

func (w plainWriter) WriteHeader(status int) {
	w.Header().Del("Store-Era")
	w.ResponseWriter.WriteHeader(status)
}

func (s storeHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.Store.ServeHTTP(plainWriter{w}, r)
}

// vm is one process of the deploy file.
type vm struct {
	name, zone, front, ready, control string
	port                              int
	settings                          map[string]any
	file, logPath                     string
	mu                                sync.Mutex
	process                           *exec.Cmd
	ended                             chan struct{}
}

// world is a small deployment on loopback.
type world struct {
	*record
	site    site
	folder  string
	store   *standin.Store
	storeAt string
	http    *http.Server
	vms     []*vm
	program []string
	// held are the listeners that hold the machines' ports until these start.
	held []net.Listener
}

// prepare starts the store and prepares a machine for each zone in the list. The processes are started by startVMs.
func (w *world) prepare(at site, zones ...string) (err error) {
	w.site, w.store = at, standin.NewStore()
	if w.folder, err = os.MkdirTemp("", "case-"); err != nil {
		return err
	}
	folder := w.folder
	if w.program, err = programOf("deploy/system.toml"); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w.storeAt = listener.Addr().String()
	w.http = &http.Server{Handler: storeHandler{w.store}}
	go func() { _ = w.http.Serve(listener) }()
	ports, err := w.holdPorts(4 * len(zones))
	if err != nil {
		return err
	}
	for i, zone := range zones {
		p := ports[4*i:]
		w.vms = append(w.vms, &vm{
			name: fmt.Sprintf("edge-%s-%d", zone, i+1), zone: zone, front: local(p[0]), ready: local(p[1]), control: local(p[2]), port: p[3],
			file: filepath.Join(folder, fmt.Sprintf("settings-%d.json", i+1)), logPath: filepath.Join(folder, fmt.Sprintf("vm-%d.log", i+1)),
		})
	}
	var seeds []string
	for _, v := range w.vms[:min(3, len(w.vms))] {
		seeds = append(seeds, v.control)
	}
	zoneTable := make(map[string]string)
	for _, zone := range zones {
		zoneTable[zone] = "region"
	}
	for _, v := range w.vms {
		v.settings = map[string]any{
			"nodeName": v.name, "role": "forward", "machineClass": "edge", "serves": []string{"edge", "control"}, "ip": "127.0.0.1",
			"zone": v.zone, "region": "region", "zones": zoneTable,
			"listenAddresses": map[string]string{"front": v.front, "ready": v.ready, "control": v.control},
			"internalPorts":   []int{v.port, v.port}, "seedNodes": seeds, "bootstrap": true, "faultCounted": false,
			"limits":  map[string]any{"cpuShare": at.cores, "cpuCores": 1, "memoryMb": at.memoryMB, "maxFds": at.descriptors, "linkMbps": at.linkMbps, "diskMb": 0},
			"dataDir": nil, "discovery": "platform", "entry": "vip", "heartbeatMs": heartbeatMS,
			"contracts": []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform", "layers"},
			"bounds": map[string]any{
				"seedLagS": 3, "reuseAfterS": 2, "contactMs": at.contact.Milliseconds(), "ackMs": at.ack.Milliseconds(), "catchUpS": int(at.catchUp.Seconds()),
				"drainMs": at.drain.Milliseconds(), "graceS": graceS, "lossSlackMs": 200, "configApplyMs": at.config.Milliseconds(), "rollbackSlackMs": 250,
				"maxStretchMs": at.stretch.Milliseconds(), "revokeStrict": true, "revokeMs": revokeMS, "retryBudgetRatio": 0.2, "budgetWindowS": 10,
				"budgetSlack": at.budgetSlack, "recoverS": int(at.recover.Seconds()), "passMs": 120, "retryAfterS": 0, "stall_ms": 2000,
				"fencingEnforced": false,
			},
			"platform": map[string]any{"address": w.storeAt, "form": "objects", "writesPerS": 400, "readsPerS": 2000, "historyS": 20, "valueBytes": 1048576, "ttlMinMs": 1000},
		}
	}
	return nil
}

// programOf returns the words of the deploy file's command.
func programOf(path string) ([]string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(strings.TrimSpace(line), "run = "); ok {
			return strings.Fields(strings.Trim(rest, `"`)), nil
		}
	}
	return nil, fmt.Errorf("%s has no command", path)
}

func local(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)) }

// freePort listens on a free port on loopback, below those of outgoing connections.
func freePort() (net.Listener, int, error) {
	for range 1000 {
		port := 12_000 + rand.IntN(20_000)
		if listener, err := net.Listen("tcp", local(port)); err == nil {
			return listener, port, nil
		}
	}
	return nil, 0, fmt.Errorf("no free port on loopback")
}

// holdPorts returns free ports, which are held until release is called.
func (w *world) holdPorts(n int) ([]int, error) {
	var ports []int
	for range n {
		listener, port, err := freePort()
		if err != nil {
			return nil, err
		}
		w.held = append(w.held, listener)
		ports = append(ports, port)
	}
	return ports, nil
}

func (w *world) releasePorts() {
	for _, listener := range w.held {
		_ = listener.Close()
	}
	w.held = nil
}

// start starts a VM's process.
func (w *world) start(v *vm) error {
	text, err := json.MarshalIndent(v.settings, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(v.file, text, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(v.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	process := exec.Command(w.program[0], w.program[1:]...)
	process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "OLEANDERSHUNT_NODE_FILE=" + v.file}
	process.Stdout, process.Stderr = log, log
	if err := process.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	v.mu.Lock()
	v.process, v.ended = process, ended
	v.mu.Unlock()
	w.line("%s starts, process %d", v.name, process.Process.Pid)
	go func() {
		err := process.Wait()
		_ = log.Close()
		w.line("%s ended: %v", v.name, err)
		close(ended)
	}()
	return nil
}

func (v *vm) signal(signal syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.process != nil {
		_ = v.process.Process.Signal(signal)
	}
}

// isReady asks as the platform's balancer does.
func (v *vm) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + v.ready + "/oleandershunt/readiness")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode == http.StatusOK
}

// startVMs starts all processes and waits until they are ready.
func (w *world) startVMs(within time.Duration) error {
	w.releasePorts()
	for _, v := range w.vms {
		if err := w.start(v); err != nil {
			return err
		}
	}
	until := time.Now().Add(within)
	for _, v := range w.vms {
		for !v.isReady() {
			if time.Now().After(until) {
				return fmt.Errorf("%s isn't ready: %s", v.name, w.tail(v))
			}
			time.Sleep(50 * time.Millisecond)
		}
		w.line("%s is ready", v.name)
	}
	return nil
}

func (w *world) tail(v *vm) string {
	text, _ := os.ReadFile(v.logPath)
	return string(text[max(0, len(text)-600):])
}

// close ends all processes that the case started.
func (w *world) close() {
	for _, v := range w.vms {
		v.mu.Lock()
		process, ended := v.process, v.ended
		v.mu.Unlock()
		if process == nil {
			continue
		}
		_ = process.Process.Signal(syscall.SIGCONT)
		_ = process.Process.Kill()
		<-ended
	}
	if w.http != nil {
		_ = w.http.Close()
	}
	if w.folder == "" {
		return
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println("files are kept in", w.folder)
		return
	}
	_ = os.RemoveAll(w.folder)
}

// route returns a route in the operator's form.
func route(name, prefix, kind, service string, more map[string]any) map[string]any {
	r := map[string]any{
		"name": name, "host": host, "pathPrefix": prefix, "routeType": kind, "service": service, "timeoutMs": 1500, "targetLatencyMs": 300,
		"priority": 2, "maxAttempts": 1, "authExempt": false,
	}
	for key, value := range more {
		r[key] = value
	}
	return r
}

const (
	host   = "portal.example"
	tenant = "hule930"
	apiKey = "n2ctnfzs989anu6wsjnb"
)

// configure writes a version of the operator's configuration.
func (w *world) configure(version int, routes []map[string]any, services []map[string]any, tenants any) time.Time {
	at := w.store.Set("config", "main", map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": tenants,
	})
	w.line("the store confirms version %d of the configuration", version)
	return at
}

// oneTenant is the list of a tenant with a key.
func oneTenant() []map[string]any {
	return []map[string]any{{"name": tenant, "apiKeys": []string{apiKey}, "priority": 1}}
}

// arrival is a request that reached a runner.
type arrival struct {
	at                         time.Time
	id, runner, method, target string
	ran                        bool
	status                     int
	ended                      time.Time
}

// runners are the plain runners of a service, and what reached them.
type runners struct {
	w       *world
	service string
	mu      sync.Mutex
	log     []*arrival
	all     []*runner
	boots   int
	// slots is how many requests a runner runs at once, as its entry says.
	slots int
	// ends are the times at which boots ended as planned.
	ends map[string]time.Time
	// work decides what a runner does with a request that it began to run.
	work func(s *runner, r *http.Request, body []byte, a *arrival) (status int, crash bool)
}

// runner is a plain runner at one address. Each start is a new boot with a new id.
type runner struct {
	set           *runners
	zone, address string
	mu            sync.Mutex
	id            string
	server        *http.Server
	stop          chan struct{}
	draining      bool
	withdrawn     bool
	// born is the time of its start in Unix milliseconds.
	born int64
}

func newRunners(w *world, service string, zones ...string) (*runners, error) {
	set := &runners{w: w, service: service, slots: 6}
	for _, zone := range zones {
		s := &runner{set: set, zone: zone, address: ""}
		set.all = append(set.all, s)
		if err := s.start(); err != nil {
			return nil, err
		}
	}
	return set, nil
}

// start boots the runner at its address.
func (s *runner) start() error {
	address := s.address
	var listener net.Listener
	var err error
	if address == "" {
		var port int
		listener, port, err = freePort()
		address = local(port)
	} else {
		listener, err = net.Listen("tcp", address)
	}
	if err != nil {
		return err
	}
	s.set.mu.Lock()
	s.set.boots++
	id := fmt.Sprintf("i-%08x%02d", rand.Uint32(), s.set.boots)
	s.set.mu.Unlock()
	server := &http.Server{}
	stop := make(chan struct{})
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(id, w, r) })
	s.mu.Lock()
	s.address, s.id, s.server, s.stop, s.draining, s.withdrawn, s.born = address, id, server, stop, false, false, time.Now().UnixMilli()
	s.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	go s.beat(id, stop)
	s.set.w.line("runner %s of %s boots at %s", id, s.set.service, address)
	return nil
}

// beat writes the runner's entry at each heartbeat. After three missed ones it is removed.
func (s *runner) beat(id string, stop chan struct{}) {
	ticker := time.NewTicker(heartbeatMS * time.Millisecond)
	defer ticker.Stop()
	for n := 1; ; n++ {
		s.write(id, n)
		select {
		case <-ticker.C:
		case <-stop:
			time.AfterFunc(3*heartbeatMS*time.Millisecond, func() { s.set.w.store.Remove("servers", id) })
			return
		}
	}
}

// crash ends the boot at once: nothing listens any more, and all channels close.
func (s *runner) crash(id string, downFor time.Duration) {
	s.mu.Lock()
	if s.id != id || s.server == nil {
		s.mu.Unlock()
		return
	}
	server, stop := s.server, s.stop
	s.server = nil
	s.mu.Unlock()
	close(stop)
	_ = server.Close()
	s.set.w.line("runner %s crashes", id)
	time.AfterFunc(downFor, func() {
		for s.start() != nil {
			time.Sleep(100 * time.Millisecond)
		}
	})
}

func (s *runner) serve(id string, w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/oleandershunt/report" || r.URL.Path == "/health" {
		w.Header().Set("X-Instance-Id", id)
		w.WriteHeader(http.StatusOK)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	a := &arrival{at: time.Now(), id: r.Header.Get("X-Request-Id"), runner: id, method: r.Method, target: r.URL.RequestURI()}
	w.Header().Set("X-Request-Id", a.id)
	if r.Header.Get("X-Expect-Instance") != id {
		w.Header().Set("X-Instance-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	a.ran = true
	s.set.mu.Lock()
	s.set.log = append(s.set.log, a)
	s.set.mu.Unlock()
	status, crash := s.set.work(s, r, body, a)
	if crash {
		s.set.w.line("request %s (%s %s) runs at %s and crashes it", a.id, a.method, a.target, id)
		s.crash(id, crashDown)
		panic(http.ErrAbortHandler)
	}
	s.set.mu.Lock()
	a.status, a.ended = status, time.Now()
	s.set.mu.Unlock()
	s.set.w.line("request %s (%s %s) ran at %s: %d", a.id, a.method, a.target, id, status)
	text := "answer to " + a.id
	w.Header().Set("X-Response-Seal", "seal-of-"+a.id)
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	_, _ = io.WriteString(w, text)
}

// arrivals returns a copy of what reached the runners.
func (s *runners) arrivals() []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]arrival, 0, len(s.log))
	for _, a := range s.log {
		list = append(list, *a)
	}
	slices.SortFunc(list, func(a, b arrival) int { return a.at.Compare(b.at) })
	return list
}

func (s *runners) close() {
	for _, r := range s.all {
		r.mu.Lock()
		server := r.server
		r.mu.Unlock()
		if server != nil {
			_ = server.Close()
		}
	}
}

// answer is what a client got.
type answer struct {
	status int
	body   string
	sealed bool
	err    error
}

// call sends one request on a channel of its own, as a client does.
func call(v *vm, id, method, target, key string, body string, deadline time.Duration) answer {
	request, err := http.NewRequest(method, "http://"+v.front+target, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	request.Host = host
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	if key != "" {
		request.Header.Set("X-Api-Key", key)
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}, Timeout: deadline + time.Second}
	response, err := client.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, body: string(text), sealed: response.Header.Get("X-Response-Seal") != "", err: err}
}

func (a answer) String() string {
	if a.err != nil {
		return a.err.Error()
	}
	return fmt.Sprintf("%d sealed=%t %q", a.status, a.sealed, a.body)
}

var requestNumber struct {
	sync.Mutex
	n int
}

// nextID returns an id for a client attempt.
func nextID(prefix string) string {
	requestNumber.Lock()
	defer requestNumber.Unlock()
	requestNumber.n++
	return fmt.Sprintf("%s%06d%06x", prefix, requestNumber.n, rand.Uint32()&0xffffff)
}

// leave has the runner leave as planned: it says that it drains, or its entry is removed without a word of it. It
// serves on for drainMs and 2 s more, and exits.
func (s *runner) leave(silently bool) {
	s.mu.Lock()
	id, server, stop := s.id, s.server, s.stop
	s.draining, s.withdrawn = true, silently
	s.mu.Unlock()
	if server == nil {
		return
	}
	if silently {
		s.set.w.store.Remove("servers", id)
		s.set.w.line("the entry of runner %s is removed; it serves on", id)
	} else {
		s.write(id, 0)
		s.set.w.line("runner %s says that it drains", id)
	}
	time.Sleep(s.set.w.site.drain + 2*time.Second)
	close(stop)
	_ = server.Close()
	s.set.w.store.Remove("servers", id)
	s.set.mu.Lock()
	if s.set.ends == nil {
		s.set.ends = make(map[string]time.Time)
	}
	s.set.ends[id] = time.Now()
	s.set.mu.Unlock()
	s.set.w.line("runner %s exits", id)
}

// ended returns when a boot ended.
func (s *runners) ended(id string) (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, ok := s.ends[id]
	return at, ok
}

// write writes the runner's entry.
func (s *runner) write(id string, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.withdrawn {
		return
	}
	state := "ready"
	if s.draining {
		state = "draining"
	}
	entry := map[string]any{
		"service": s.set.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": s.set.slots, "state": state, "coldRemainingMs": 0, "sequence": n,
	}
	if s.set.w.site.born {
		entry["born"] = s.born
	}
	s.set.w.store.SetHeartbeat("servers", id, "sequence", entry)
}
