package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"oleandershunt.example/oleandershunt/platform/standin"
)

// The case "dark": a request for a stream comes again and again, and each model server that begins to run it
// goes dark: it accepts no connections, and open ones are silent.
const (
	llm          = "dele69a"
	llmPrefix    = "/lohu930/"
	modelLayers  = 40
	layerMB      = 50
	cardMB       = 3000
	card         = "a100"
	modelServers = 18
	darkFor      = 4500 * time.Millisecond
	crashedFor   = 3 * time.Second
	darkComings  = 9
	darkEvery    = 6 * time.Second
	// clientGap is the silence after which a client abandons a stream.
	clientGap   = 2 * time.Second
	soundEvents = 20
	contact     = 3 * time.Second
	allowed     = 3 // retries after the third crash
	// crashDelay is the time from the beginning of the request's run to the end of its server.
	crashDelay = 40 * time.Millisecond
	// crashingPart is a part of the prompt of the request under which servers end.
	crashingPart = "dead1"
)

func llmConfiguration() map[string]any {
	return map[string]any{
		"version": 7, "limits": limits(), "tenants": tenants(),
		"routes": []any{map[string]any{
			"name": "r-cover", "host": host, "pathPrefix": llmPrefix, "routeType": "streaming", "timeoutMs": 20_000, "targetLatencyMs": 500,
			"gapAimMs": 200, "priority": 1, "service": llm, "maxAttempts": 2, "authExempt": false, "sessionAffinity": true, "streamResume": true,
		}},
		"services": []any{map[string]any{"name": llm, "healthPath": "/health", "maxConnections": 1078, "protocol": "h1", "tls": false, "engine": map[string]any{
			"slots": 192, "layers": modelLayers, "layerMb": layerMB, "kvBytes": 40_000, "step_ms": 1.02, "per_seq_ms": 0.00714, "context_per_k": 0.00956,
			"read_per_s": 105_000, "chunk": 512, "stride": 3, "usual": map[string]int{"prompt": 100, "answer": soundEvents},
			"models": []any{map[string]any{"loadS": 1.0}}, "loads_at_once": 5,
			"kinds": []any{map[string]any{"name": card, "mb": cardMB, "pace": 1.0, "readX": 1.0}},
		}}},
	}
}

// darkListener is a listener that can go dark. Its queue of new connections has room for one.
type darkListener struct {
	net.Listener
	dark, closed chan struct{}
	once         sync.Once
}

func listenDark(address string) (*darkListener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) { failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1) })
		if err != nil {
			return err
		}
		return failed
	}}
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	return &darkListener{Listener: listener, dark: make(chan struct{}), closed: make(chan struct{})}, nil
}

// goDark makes all connections silent, and new ones hang.
func (l *darkListener) goDark() {
	close(l.dark)
	raw, err := l.Listener.(*net.TCPListener).SyscallConn()
	if err == nil {
		// A second call of listen only changes the length of the queue.
		_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), 0) })
	}
	// What fills the queue stays there until the listener is closed.
	for range 3 {
		go func() {
			conn, err := net.DialTimeout("tcp", l.Addr().String(), darkFor)
			if err == nil {
				<-l.closed
				_ = conn.Close()
			}
		}()
	}
}

// Accept implements net.Listener.
func (l *darkListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	select {
	case <-l.dark:
		<-l.closed
		_ = conn.Close()
		return nil, net.ErrClosed
	default:
		return &darkConn{Conn: conn, listener: l}, nil
	}
}

// Close implements net.Listener.
func (l *darkListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

type darkConn struct {
	net.Conn
	listener *darkListener
}

// wait returns an error once the server is back, if it is dark.
func (c *darkConn) wait() error {
	select {
	case <-c.listener.dark:
		<-c.listener.closed
		return net.ErrClosed
	default:
		return nil
	}
}

// Read implements net.Conn.
func (c *darkConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if waited := c.wait(); waited != nil {
		return 0, waited
	}
	return n, err
}

// Write implements net.Conn.
func (c *darkConn) Write(p []byte) (int, error) {
	if err := c.wait(); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// modelServer is a place of a model server, at which one process after the other runs.
type modelServer struct {
	w             *world
	runs          *standin.Log
	peers         *standin.Peers
	index, starts int
	address       string
	mu            sync.Mutex
}

func (s *modelServer) start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	listener, err := listenDark(s.address)
	if err != nil {
		return err
	}
	s.starts++
	id := fmt.Sprintf("i-%d-%d", s.index, s.starts)
	var server *standin.Server
	var once sync.Once
	server = standin.NewServer(s.w.store, s.peers, s.runs, standin.Options{
		ID: id, Service: llm, DataCentre: zones[s.index%len(zones)], Slots: 192, Card: card, Layers: modelLayers, Event: 30 * time.Millisecond,
		LoadTime: time.Second, Stall: 2 * time.Second,
		OnCrash: func(string) { once.Do(func() { s.crash(id, server, listener) }) },
	})
	server.Start(listener)
	s.w.record.line("server %s starts", id)
	return nil
}

// crash ends a process in one of two ways, and starts the next one a while later.
func (s *modelServer) crash(id string, server *standin.Server, listener *darkListener) {
	down := crashedFor
	if trouble() {
		down = darkFor
		s.w.record.line("server %s goes dark", id)
		server.SetUnresponsive(true)
		listener.goDark()
	} else {
		s.w.record.line("server %s crashes", id)
		server.Kill()
	}
	time.Sleep(down)
	server.Kill()
	_ = listener.Close()
	if err := s.start(); err != nil {
		s.w.record.line("server %s doesn't come back: %v", id, err)
	}
}

// ask sends a request for a stream and reads the answer until it ends or is silent for clientGap.
func ask(m *node, id, parts, body string, events int) (status, got int, err error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	gap := time.AfterFunc(clientGap, cancel)
	request, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+m.front+llmPrefix+"2f", strings.NewReader(body))
	request.Host = host
	for name, value := range map[string]string{
		"X-Request-Id": id, "X-Api-Key": apiKey, "X-Deadline-Ms": "20000", "X-Model": "daka510000", "X-Token-Count": fmt.Sprintf("100,%d", events), "X-Prefix-Hash": parts,
	} {
		request.Header.Set(name, value)
	}
	transport := &http.Transport{DisableKeepAlives: true}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return 0, 0, err
	}
	defer response.Body.Close()
	buffer := make([]byte, 4096)
	for {
		n, err := response.Body.Read(buffer)
		gap.Reset(clientGap)
		got += strings.Count(string(buffer[:n]), "\n\n")
		if err == io.EOF {
			return response.StatusCode, got, nil
		}
		if err != nil {
			return response.StatusCode, got, err
		}
	}
}

func playDark(w *world) (int, error) {
	w.heartbeat = standin.HeartbeatInterval
	w.store.Set("config", "main", llmConfiguration())
	runs, peers := &standin.Log{}, standin.NewPeers()
	ports, err := freePorts(modelServers)
	if err != nil {
		return 0, err
	}
	for i, port := range ports {
		s := &modelServer{w: w, runs: runs, peers: peers, index: i, address: local(port)}
		if err := s.start(); err != nil {
			return 0, err
		}
	}
	if err := w.startNodes(3); err != nil {
		return 0, err
	}
	if err := w.awaitReady(15 * time.Second); err != nil {
		return 0, err
	}
	time.Sleep(6 * time.Second) // the layers load
	done := make(chan struct{})
	var sound soundStreams
	go sound.run(w, done)
	for n := range darkComings {
		next := time.After(darkEvery)
		w.comeDark(n)
		<-next
	}
	close(done)
	return w.judgeDark(runs.Arrivals(), &sound)
}

// comeDark sends the request that ends servers.
func (w *world) comeDark(n int) {
	m, id := w.pick(), fmt.Sprintf("dead%05d0", n)
	w.record.line("client: %s, which ends servers, is sent to %s", id, m.name)
	status, got, err := ask(m, id, "5c1e07a2:40,"+crashingPart+":40,e4402b7d:20", "the request that ends servers", soundEvents)
	w.record.line("client: %s: status %d, %d events, %v", id, status, got, err)
}

// soundStreams are the streams of other clients, which show that the system serves.
type soundStreams struct {
	mu            sync.Mutex
	asked, served int
}

func (s *soundStreams) run(w *world, done <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-done:
			return
		case <-time.After(250 * time.Millisecond):
		}
		go func() {
			id := fmt.Sprintf("50%05d0", n)
			status, got, err := ask(w.pick(), id, "7f00a1b2:40,"+id+":60", id, soundEvents)
			w.record.line("client: sound %s: status %d, %d of %d events, %v", id, status, got, soundEvents, err)
			s.mu.Lock()
			defer s.mu.Unlock()
			s.asked++
			if err == nil && status == http.StatusOK && got == soundEvents {
				s.served++
			}
		}()
	}
}

// judgeDark counts the times that the crashing request reached a server later than the time of contact after it
// ended the third one (BUDGET). No machine is disturbed, so all are in touch.
func (w *world) judgeDark(arrivals []standin.Arrival, sound *soundStreams) (int, error) {
	arrivals = slices.DeleteFunc(arrivals, func(a standin.Arrival) bool { return a.Crashing == "" || !a.Executed })
	slices.SortFunc(arrivals, func(a, b standin.Arrival) int { return a.At.Compare(b.At) })
	sound.mu.Lock()
	defer sound.mu.Unlock()
	w.record.line("%d of %d sound streams were served whole", sound.served, sound.asked)
	if len(arrivals) == 0 || sound.served < sound.asked/4 {
		return 0, fmt.Errorf("the request ended %d servers; %d of %d sound streams were served", len(arrivals), sound.served, sound.asked)
	}
	if len(arrivals) < 3 {
		w.record.line("the request ended %d servers", len(arrivals))
		return 0, nil
	}
	third, counted := arrivals[2].At.Add(crashDelay), 0
	for i, a := range arrivals {
		counts := a.At.After(third.Add(contact))
		w.record.lineAt(a.At, "server %s: %s arrives and ends it, end %d, counted=%t", a.Server, a.ID, i+1, counts)
		if counts {
			counted++
		}
	}
	w.record.line("%d ends, %d counted, %d allowed", len(arrivals), counted, allowed)
	if counted <= allowed {
		return 0, nil
	}
	w.record.line("BUDGET broken: the request reached servers %d times later than %v after it ended the third", counted, contact)
	return counted, nil
}
