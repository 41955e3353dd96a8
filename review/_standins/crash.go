package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The case "crash": backend servers crash one at a time while they send answers, a few of which have no
// length. Each of the crashedShare of the servers is down for crashDown.
const (
	portal       = "xano55b"
	portalPrefix = "/cufi504/"
	uploadPrefix = "/puxa403/"
	runnersCount = 6
	requestsPerS = 480
	startTime    = 5 * time.Second
	warmUp       = 5 * time.Second
	crashes      = 6
	crashEvery   = 11 * time.Second
	crashDown    = 4500 * time.Millisecond
	answerBytes  = 800
	// unframedShare of the answers of every other server have no length, for unframedFor, from
	// unframedLead before a crash.
	unframedShare = 0.05
	unframedLead  = 4 * time.Second
	unframedFor   = 5 * time.Second
)

// plainServer is a backend server that runs as a process.
type plainServer struct {
	index, starts int
	address, log  string
	unframed      float64
	first         time.Time
	process       *exec.Cmd

	mu      sync.Mutex
	stopped bool
}

func (w *world) startRunner(s *plainServer) error {
	program, err := os.Executable()
	if err != nil {
		return err
	}
	s.starts++
	id := fmt.Sprintf("i-%d-%d", s.index, s.starts)
	s.process = exec.Command(program, "runner", "-id", id, "-service", portal, "-zone", zones[s.index%len(zones)], "-address", s.address, "-store", w.storeAt,
		"-log", s.log, "-slots", "192", "-work", w.work, "-body", fmt.Sprint(answerBytes), "-unframed", fmt.Sprint(s.unframed), "-first", fmt.Sprint(s.first.UnixNano()))
	s.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	s.process.Stderr = os.Stderr
	if err := s.process.Start(); err != nil {
		return err
	}
	w.record.line("server %s starts at %s, %.0f in 100 answers without a length", id, s.address, 100*s.unframed)
	return nil
}

func portalConfiguration() map[string]any {
	return map[string]any{
		"version": 7, "limits": limits(), "tenants": tenants(),
		"routes": []any{
			map[string]any{
				"name": "r-doc", "host": host, "pathPrefix": portalPrefix, "routeType": "safe", "timeoutMs": 3000, "targetLatencyMs": 300, "priority": 2,
				"service": portal, "maxAttempts": 2, "authExempt": false,
			},
			map[string]any{
				"name": "r-upload", "host": host, "pathPrefix": uploadPrefix, "routeType": "unsafe", "timeoutMs": 20000, "targetLatencyMs": 12000, "priority": 2,
				"service": portal, "maxAttempts": 1, "authExempt": false,
			},
		},
		"services": []any{map[string]any{"name": portal, "healthPath": "/health", "maxConnections": 1078, "protocol": "h1", "tls": false}},
	}
}

// download is one client's request and its answer.
type download struct {
	id, node       string
	sent, answered time.Time
	status         int
	sealed         bool
	err            error
	bytes          int
	whole          bool
}

func (d download) String() string {
	text := fmt.Sprintf("client: %s sent to %s, answered after %d ms: ", d.id, d.node, d.answered.Sub(d.sent).Milliseconds())
	if d.err != nil {
		return text + "no complete answer: " + d.err.Error()
	}
	return text + fmt.Sprintf("%d sealed=%t complete, %d bytes, the server's whole body=%t", d.status, d.sealed, d.bytes, d.whole)
}

func fetch(client *http.Client, m *node, id string) download {
	d := download{id: id, node: m.name, sent: time.Now()}
	request, _ := http.NewRequest(http.MethodGet, "http://"+m.front+portalPrefix+"2f", nil)
	request.Host = host
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Api-Key", apiKey)
	request.Header.Set("X-Deadline-Ms", "3000")
	response, err := client.Do(request)
	if err == nil {
		var body []byte
		body, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		d.status, d.sealed, d.bytes = response.StatusCode, response.Header.Get("X-Response-Seal") != "", len(body)
		d.whole = bytes.Equal(body, wholeBody(id, answerBytes))
	}
	d.err, d.answered = err, time.Now()
	return d
}

func playCrash(w *world) (int, error) {
	w.store.Set("config", "main", portalConfiguration())
	first := time.Now().Add(startTime + warmUp)
	servers, err := w.startPortal(3, unframedShare, first)
	if err != nil {
		return 0, err
	}
	defer stopServers(servers)

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	crashed := make(chan error, 1)
	time.Sleep(time.Until(first.Add(-warmUp)))
	go func() { crashed <- w.crashServers(ctx, servers) }()
	all := w.download(warmUp + crashes*crashEvery)
	cancel()
	if err := <-crashed; err != nil {
		return 0, err
	}
	for _, s := range servers {
		w.recordRuns(s.log)
	}
	return judgeDownloads(w.record, all)
}

// startPortal starts the servers of the portal and three machines, and returns when these are ready.
func (w *world) startPortal(machines int, unframed float64, first time.Time) ([]*plainServer, error) {
	ports, err := freePorts(runnersCount)
	if err != nil {
		return nil, err
	}
	servers := make([]*plainServer, runnersCount)
	for i := range servers {
		servers[i] = &plainServer{index: i, first: first, address: local(ports[i]), log: filepath.Join(w.folder, fmt.Sprintf("server-%d.log", i))}
		if i%2 == 0 {
			servers[i].unframed = unframed
		}
		if err := w.startRunner(servers[i]); err != nil {
			return servers, err
		}
	}
	if err := w.startNodes(machines); err != nil {
		return servers, err
	}
	if err := w.awaitReady(15 * time.Second); err != nil {
		return servers, err
	}
	time.Sleep(2 * time.Second)
	return servers, nil
}

func stopServers(servers []*plainServer) {
	for _, s := range servers {
		s.mu.Lock()
		s.stopped = true
		_ = s.process.Process.Kill()
		s.mu.Unlock()
		_ = s.process.Wait()
	}
}

// crashServers crashes a server that sends some answers without a length, one at a time.
func (w *world) crashServers(ctx context.Context, servers []*plainServer) error {
	pause := warmUp
	for n := range crashes {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(pause):
		}
		pause = crashEvery - crashDown
		s := servers[2*n%len(servers)]
		if !trouble() {
			time.Sleep(crashDown)
			continue
		}
		w.record.line("server i-%d-%d crashes (SIGKILL)", s.index, s.starts)
		_ = s.process.Process.Kill()
		_ = s.process.Wait()
		time.Sleep(crashDown)
		if err := w.startRunner(s); err != nil {
			return err
		}
	}
	return nil
}

// download sends requests at an even rate for a time and returns them with their answers.
func (w *world) download(span time.Duration) []download {
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 400, DisableCompression: true}}
	var mu sync.Mutex
	var all []download
	var wait sync.WaitGroup
	ticker := time.NewTicker(time.Second / requestsPerS)
	defer ticker.Stop()
	until := time.Now().Add(span)
	for n := 0; time.Now().Before(until); n++ {
		<-ticker.C
		m, id := w.nodes[n%len(w.nodes)], fmt.Sprintf("%016x", n)
		wait.Go(func() {
			d := fetch(client, m, id)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, d)
		})
	}
	wait.Wait()
	return all
}

// recordRuns adds what a server ran to the record.
func (w *world) recordRuns(path string) {
	file, err := os.Open(path)
	if err != nil {
		return
	}
	defer file.Close()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		var nanos int64
		at, rest, _ := strings.Cut(lines.Text(), " ")
		if _, err := fmt.Sscan(at, &nanos); err == nil {
			w.record.lineAt(time.Unix(0, nanos), "%s: %s", filepath.Base(path), rest)
		}
	}
}

// judgeDownloads counts the successes whose body isn't the server's whole body (MIXED).
func judgeDownloads(record *recorder, all []download) (int, error) {
	var broken []download
	complete := 0
	for _, d := range all {
		record.lineAt(d.sent, "%s", d)
		if d.err != nil || d.status/100 != 2 {
			continue
		}
		complete++
		if !d.whole || !d.sealed {
			broken = append(broken, d)
		}
	}
	record.line("%d requests, %d complete successes", len(all), complete)
	for _, d := range broken {
		record.lineAt(d.sent, "MIXED broken: %s", d)
	}
	if complete < len(all)*9/10 {
		return 0, fmt.Errorf("only %d of %d requests were served", complete, len(all))
	}
	return len(broken), nil
}

// runIDs returns the IDs of the requests that a server ran.
func runIDs(path string) ([]string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var ids []string
	for line := range strings.Lines(string(text)) {
		if fields := strings.Fields(line); len(fields) > 2 && fields[1] == "run" {
			ids = append(ids, fields[2])
		}
	}
	return ids, nil
}
