package main

import (
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"syscall"
	"time"
)

// The case "again": a request that crashes each server that runs it comes again every few seconds, and all
// processes of the system are killed now and then.
const (
	rounds       = 3
	roundTime    = 18 * time.Second
	killsDownFor = 1220 * time.Millisecond
	serverBackIn = 3 * time.Second
	contact      = 3 * time.Second
	allowed      = 3 // retries after the third crash
)

// comings are the times in a round at which the request comes.
var comings = []time.Duration{7 * time.Second, 11 * time.Second, 15 * time.Second}

func playAgain(w *world) (int, error) {
	w.store.Set("config", "main", portalConfiguration())
	servers, err := w.startPortal(3, 0, time.Now())
	if err != nil {
		return 0, err
	}
	defer stopServers(servers)
	for _, s := range servers {
		go w.keepRunning(s)
	}
	served, sent := 0, 0
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	var touch []span
	for round := range rounds {
		begun := time.Now()
		if round > 0 && trouble() {
			if err := w.killAll(); err != nil {
				return 0, err
			}
		}
		inTouch := span{from: time.Now().Add(contact)}
		for i, coming := range comings {
			time.Sleep(time.Until(begun.Add(coming)))
			// A sound request, whose answer shows that the system serves.
			sent++
			d := fetch(client, w.pick(), fmt.Sprintf("50%02d%02d", round, i))
			w.record.lineAt(d.sent, "%s", d)
			if d.err == nil && d.status == http.StatusOK {
				served++
			}
			w.comeAgain(client, round, i)
		}
		time.Sleep(time.Until(begun.Add(roundTime)))
		inTouch.until = time.Now()
		touch = append(touch, inTouch)
	}
	if served < sent/2 {
		return 0, fmt.Errorf("only %d of %d sound requests were served", served, sent)
	}
	return w.judgeAgain(servers, touch)
}

type span struct{ from, until time.Time }

// comeAgain sends the crashing request, and its client's one retry on another channel.
func (w *world) comeAgain(client *http.Client, round, i int) {
	for try := range 2 {
		m, id := w.pick(), fmt.Sprintf("dead%02d%02d%d", round, i, try)
		request, _ := http.NewRequest(http.MethodGet, "http://"+m.front+crashingPath+"x", nil)
		request.Host = host
		request.Header.Set("X-Request-Id", id)
		request.Header.Set("X-Api-Key", apiKey)
		request.Header.Set("X-Deadline-Ms", "3000")
		w.record.line("client: %s, which crashes servers, is sent to %s", id, m.name)
		response, err := client.Do(request)
		if err != nil {
			w.record.line("client: %s: %v", id, err)
			continue
		}
		_ = response.Body.Close()
		w.record.line("client: %s is answered %d", id, response.StatusCode)
		if response.Header.Get("Retry-After") != "" {
			return
		}
	}
}

// killAll kills all processes of the system at once and starts them again.
func (w *world) killAll() error {
	w.record.line("all processes of the system are killed")
	for _, m := range w.nodes {
		_ = m.signal(syscall.SIGKILL)
	}
	for _, m := range w.nodes {
		<-m.endedChannel()
	}
	time.Sleep(killsDownFor)
	for _, m := range w.nodes {
		if err := w.start(m, false); err != nil {
			return err
		}
	}
	return nil
}

// keepRunning starts a server again, under a new ID, some seconds after it crashed.
func (w *world) keepRunning(s *plainServer) {
	for {
		err := s.process.Wait()
		w.record.line("server i-%d-%d ended: %v", s.index, s.starts, err)
		time.Sleep(serverBackIn)
		s.mu.Lock()
		if s.stopped || w.startRunner(s) != nil {
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
	}
}

// judgeAgain counts the times that the crashing request reached a server later than the time of contact after it
// crashed the third one (BUDGET). Those sent by machines that have not run for the time of contact don't count.
func (w *world) judgeAgain(servers []*plainServer, touch []span) (int, error) {
	var arrivals []time.Time
	for _, s := range servers {
		w.recordRuns(s.log)
		found, err := crashingArrivals(s.log)
		if err != nil {
			return 0, err
		}
		arrivals = append(arrivals, found...)
	}
	slices.SortFunc(arrivals, time.Time.Compare)
	if len(arrivals) < 3 {
		return 0, fmt.Errorf("the request crashed only %d servers", len(arrivals))
	}
	third, counted := arrivals[2].Add(crashDelay), 0
	for i, at := range arrivals {
		inTouch := slices.ContainsFunc(touch, func(s span) bool { return at.After(s.from) && at.Before(s.until) })
		counts := inTouch && at.After(third.Add(contact))
		w.record.lineAt(at, "crash %d of a server by the request, counted=%t", i+1, counts)
		if counts {
			counted++
		}
	}
	w.record.line("%d crashes, %d counted, %d allowed", len(arrivals), counted, allowed)
	if counted <= allowed {
		return 0, nil
	}
	w.record.line("BUDGET broken: the request reached servers %d times later than %v after it crashed the third", counted, contact)
	return counted, nil
}

// crashingArrivals returns when a server began to run the crashing request.
func crashingArrivals(path string) ([]time.Time, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var found []time.Time
	for line := range strings.Lines(string(text)) {
		var nanos int64
		if _, err := fmt.Sscan(line, &nanos); err == nil && strings.Contains(line, "which crashes the server") {
			found = append(found, time.Unix(0, nanos))
		}
	}
	return found, nil
}
