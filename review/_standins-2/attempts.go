package main

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

func init() { cases["too-many-runners"] = tooManyRunners }

const (
	// ownFailures is the share of the requests that a runner answers with a 500 of its own, as in the site file.
	ownFailures = 0.14
	// releaseShare of the runners are replaced, one each releaseGap.
	releaseShare = 0.45
	releaseGap   = 740 * time.Millisecond
	// maxAttempts is the route's, and overAllowed how many requests may run on more runners.
	maxAttempts, overAllowed = 2, 3

	attemptsRate   = 600 // requests a second
	attemptsSlots  = 48  // as many requests a runner runs at once
	attemptsWork   = 450 * time.Millisecond
	attemptsLength = 70 * time.Second
)

// tooManyRunners replaces the runners of a service one after the other.
func tooManyRunners(w *world, trouble bool) (bool, error) {
	at := kademe
	at.cores, at.memoryMB = 1.6, 1048 // the largest machines of the pages
	if err := w.prepare(at, "bornova", "karsiyaka", "gaziemir"); err != nil {
		return false, err
	}
	zones := make([]string, 12)
	for i := range zones {
		zones[i] = w.vms[i%3].zone
	}
	app, err := newRunners(w, "candidate-portal", zones...)
	if err != nil {
		return false, err
	}
	defer app.close()
	app.slots = attemptsSlots
	app.work = func(*runner, *http.Request, []byte, *arrival) (int, bool) {
		time.Sleep(attemptsWork)
		if rand.Float64() < ownFailures {
			return http.StatusInternalServerError, false
		}
		return http.StatusOK, false
	}
	w.configure(1, []map[string]any{route("doc-download", "/docs/", "safe", "candidate-portal", map[string]any{"maxAttempts": maxAttempts, "timeoutMs": 3000})},
		[]map[string]any{{"name": "candidate-portal", "healthPath": "/health", "maxConnections": 1800}}, oneTenant())
	if err := w.startVMs(15 * time.Second); err != nil {
		return false, err
	}
	var wait sync.WaitGroup
	start := time.Now()
	if trouble {
		wait.Go(func() {
			for time.Since(start) < attemptsLength-10*time.Second {
				time.Sleep(2 * time.Second)
				w.release(app, &wait)
			}
		})
	}
	sent := 0
	for time.Since(start) < attemptsLength {
		for ; sent < int(time.Since(start).Seconds()*attemptsRate); sent++ {
			v, id := w.vms[sent%len(w.vms)], nextID("0")
			wait.Go(func() {
				w.line("client: %s at %s: %s", id, v.name, call(v, id, "GET", "/docs/"+id, apiKey, "", 3*time.Second))
			})
		}
		time.Sleep(5 * time.Millisecond)
	}
	wait.Wait()
	over := 0
	runs := make(map[string][]arrival)
	for _, a := range app.arrivals() { // by time
		runs[a.id] = append(runs[a.id], a)
	}
	for id, list := range runs {
		last, living := list[len(list)-1].at, make(map[string]bool)
		for _, a := range list {
			// Runners that had ended when the last run began don't count.
			if end, ended := app.ended(a.runner); !ended || end.After(last) {
				living[a.runner] = true
			}
		}
		if len(living) > maxAttempts {
			over++
			w.line("%s ran on %d runners, none of which had ended:", id, len(living))
			for _, a := range list {
				w.line("%s ran at %s from %.3f s on: %d", id, a.runner, a.at.Sub(w.record.start).Seconds(), a.status)
			}
		}
	}
	w.summary("%d requests; %d ran on more than maxAttempts = %d runners that had not ended, %d are allowed", sent, over, maxAttempts, overAllowed)
	return over <= overAllowed, nil
}

// release replaces a share of the runners, the oldest first: a new one starts, and the old one leaves. Each second
// one leaves without a word.
func (w *world) release(app *runners, wait *sync.WaitGroup) {
	app.mu.Lock()
	old := append([]*runner(nil), app.all[:int(releaseShare*float64(len(app.all)))]...)
	app.mu.Unlock()
	w.line("%d runners are replaced one after the other", len(old))
	for i, s := range old {
		next := &runner{set: app, zone: s.zone}
		if err := next.start(); err != nil {
			w.line("no new runner: %v", err)
			return
		}
		app.mu.Lock()
		app.all = append(app.all[1:], next)
		app.mu.Unlock()
		time.Sleep(releaseGap)
		wait.Go(func() { s.leave(i%2 == 0) })
	}
}
