package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["crashing-request"] = crashingRequest }

const (
	// crashBody is the body of the request that crashes each runner that begins to run it.
	crashBody = `{"page":"status","candidate":"7731","render":"all"}`
	// crashDown is how long a runner is down after a crash.
	crashDown = 3 * time.Second
	// lateAllowed is how many retries may reach runners later than contactMs after the third crash.
	lateAllowed = 3
)

// crashingRequest sends a request that crashes the runners that run it, again and again with the same path, caller
// and body, at all machines in turn. As clients do that don't want a cached page, it has the time in its query.
func crashingRequest(w *world, trouble bool) (bool, error) {
	if err := w.prepare(kademe, "bornova", "karsiyaka", "gaziemir"); err != nil {
		return false, err
	}
	app, err := newRunners(w, "candidate-portal", "bornova", "karsiyaka", "gaziemir", "bornova", "karsiyaka", "gaziemir")
	if err != nil {
		return false, err
	}
	defer app.close()
	var mu sync.Mutex
	var crashes []time.Time
	app.work = func(_ *runner, _ *http.Request, body []byte, _ *arrival) (int, bool) {
		if trouble && string(body) == crashBody {
			mu.Lock()
			defer mu.Unlock()
			crashes = append(crashes, time.Now())
			return 0, true
		}
		time.Sleep(60 * time.Millisecond)
		return http.StatusOK, false
	}
	w.configure(1, []map[string]any{route("status-page", "/status/", "unsafe", "candidate-portal", nil)},
		[]map[string]any{{"name": "candidate-portal", "healthPath": "/health", "maxConnections": 110}}, oneTenant())
	if err := w.startVMs(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(w.site.contact)
	var wait sync.WaitGroup
	end := time.Now().Add(22 * time.Second)
	wait.Go(func() { // ordinary traffic
		for i := 0; time.Now().Before(end); i++ {
			v, id := w.vms[i%len(w.vms)], nextID("0")
			wait.Go(func() {
				w.line("client: %s at %s: %s", id, v.name, call(v, id, "POST", "/status/2f", apiKey, `{"n":"`+id+`"}`, 3*time.Second))
			})
			time.Sleep(100 * time.Millisecond)
		}
	})
	time.Sleep(2 * time.Second)
	crashing := make(map[string]bool)
	for i := 0; time.Now().Before(end); i++ {
		v, id := w.vms[i%len(w.vms)], nextID("c")
		crashing[id] = true
		target := fmt.Sprintf("/status/2f?t=%d", time.Now().UnixMilli())
		wait.Go(func() {
			w.line("client: sends %s (POST %s) to %s", id, target, v.name)
			w.line("client: %s at %s: %s", id, v.name, call(v, id, "POST", target, apiKey, crashBody, 3*time.Second))
		})
		time.Sleep(700 * time.Millisecond)
	}
	wait.Wait()
	mu.Lock()
	defer mu.Unlock()
	late := 0
	if len(crashes) >= 3 {
		for _, a := range app.arrivals() {
			if crashing[a.id] && a.at.After(crashes[2].Add(w.site.contact)) {
				late++
				w.line("late: %s reaches %s %.3f s after the third crash", a.id, a.runner, a.at.Sub(crashes[2]).Seconds())
			}
		}
	}
	w.summary("the request came %d times and crashed %d runners; %d times it reached a runner later than contactMs after the third crash, %d are allowed", len(crashing), len(crashes), late, lateAllowed)
	return late <= lateAllowed, nil
}
