package main

import (
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["crash-loop"] = crashLoop }

const (
	// loopRounds is how often each runner crashes, loopStagger the time from one runner's crash to the next one's,
	// and loopUp the time from the return of the last runner to the next round.
	loopRounds  = 3
	loopStagger = 200 * time.Millisecond
	loopUp      = time.Second
	// loopWork is the work of a request, the largest of its class.
	loopWork = 450 * time.Millisecond
)

// crashLoop has the runners of a service crash and come back a few times, while clients fetch one document. Then all
// processes are killed, and start again.
func crashLoop(w *world, trouble bool) (bool, error) {
	if err := w.prepare(kademe, "bornova", "karsiyaka", "gaziemir"); err != nil {
		return false, err
	}
	app, err := newRunners(w, "candidate-portal", "bornova", "karsiyaka", "gaziemir")
	if err != nil {
		return false, err
	}
	defer app.close()
	app.work = func(*runner, *http.Request, []byte, *arrival) (int, bool) {
		time.Sleep(loopWork)
		return http.StatusOK, false
	}
	w.configure(1, []map[string]any{route("doc-download", "/docs/", "safe", "candidate-portal", map[string]any{"maxAttempts": 2})},
		[]map[string]any{{"name": "candidate-portal", "healthPath": "/health", "maxConnections": 110}}, oneTenant())
	if err := w.startVMs(15 * time.Second); err != nil {
		return false, err
	}
	fetches := w.fetch()
	time.Sleep(20 * time.Second)
	for range loopRounds {
		for _, s := range app.all {
			if trouble {
				s.crash(s.boot(), crashDown)
			}
			time.Sleep(loopStagger)
		}
		time.Sleep(crashDown + loopUp)
	}
	w.line("no runner is disturbed from now on")
	time.Sleep(5 * time.Second)
	w.line("final fault: all processes are killed")
	fault := time.Now()
	var ended sync.WaitGroup
	for _, v := range w.vms {
		ended.Go(func() {
			v.settings["bootstrap"] = false
			v.signal(syscall.SIGKILL)
			<-v.ended
			time.Sleep(1500 * time.Millisecond)
			if err := w.start(v); err != nil {
				w.line("%s doesn't start: %v", v.name, err)
			}
		})
	}
	ended.Wait()
	from := time.Now().Add(w.site.recover + 500*time.Millisecond)
	time.Sleep(time.Until(from.Add(12 * time.Second)))
	all := fetches()
	before, after := served(all, time.Time{}, fault), served(all, from, time.Now())
	w.summary("served of all requests before the final fault: %.3f; later than recoverS after the machines are back: %.3f (the rule asks for a quarter)", before, after)
	return before < 0.25 || after >= 0.25, nil
}

// boot returns the id of the runner's present boot.
func (s *runner) boot() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.id
}

// fetched is a client's request for the document.
type fetched struct {
	at     time.Time
	served bool
}

// fetch has clients fetch one document, 10 times a second, at the machines in turn. It returns a function that ends
// that, and returns what came of it.
func (w *world) fetch() func() []fetched {
	stop, stopped := make(chan struct{}), make(chan struct{})
	var mu sync.Mutex
	var all []fetched
	var wait sync.WaitGroup
	go func() {
		defer close(stopped)
		for i := 0; ; i++ {
			v, id := w.vms[i%len(w.vms)], nextID("0")
			wait.Go(func() {
				at := time.Now()
				a := call(v, id, "GET", "/docs/panel-day", apiKey, "", 3*time.Second)
				w.line("client: %s (GET /docs/panel-day) at %s: %s", id, v.name, a)
				mu.Lock()
				defer mu.Unlock()
				all = append(all, fetched{at, a.err == nil && a.status == http.StatusOK && a.sealed && a.body == "answer to "+id})
			})
			select {
			case <-time.After(100 * time.Millisecond):
			case <-stop:
				return
			}
		}
	}()
	return func() []fetched {
		close(stop)
		<-stopped
		wait.Wait()
		return all
	}
}

// served returns the share of the requests sent between two times that were served.
func served(all []fetched, from, to time.Time) float64 {
	sent, good := 0, 0
	for _, f := range all {
		if f.at.Before(from) || f.at.After(to) {
			continue
		}
		sent++
		if f.served {
			good++
		}
	}
	return float64(good) / float64(max(sent, 1))
}
