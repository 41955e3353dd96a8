package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["foreign-entries"] = foreignEntries }

// foreignEntries has another writer register a service that no configuration names at the runners' addresses. Then
// all processes are killed, and start again.
func foreignEntries(w *world, trouble bool) (bool, error) {
	if err := w.prepare(lagonGrown, "ebene", "port-louis", "pamplemousses"); err != nil {
		return false, err
	}
	app, err := newRunners(w, "hire-portal", "ebene", "port-louis", "pamplemousses")
	if err != nil {
		return false, err
	}
	defer app.close()
	// Runners of a second service, which has no traffic in this case, as many as the site's page has besides these.
	zones := make([]string, 99)
	for i := range zones {
		zones[i] = []string{"ebene", "port-louis", "pamplemousses"}[i%3]
	}
	others, err := newRunners(w, "board-search", zones...)
	if err != nil {
		return false, err
	}
	defer others.close()
	answer := func(*runner, *http.Request, []byte, *arrival) (int, bool) {
		time.Sleep(15 * time.Millisecond)
		return http.StatusOK, false
	}
	app.work, others.work = answer, answer
	w.configure(1, []map[string]any{route("slot-confirm", "/slots/", "unsafe", "hire-portal", nil)},
		[]map[string]any{{"name": "hire-portal", "healthPath": "/health", "maxConnections": 590}, {"name": "board-search", "healthPath": "/health", "maxConnections": 590}},
		oneTenant())
	if err := w.startVMs(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	if trouble {
		for i, s := range app.all {
			name := fmt.Sprintf("agent-%d", i+1)
			w.store.Set("servers", name, map[string]any{
				"service": "metrics-agent", "address": s.address, "zone": s.zone, "version": "v1", "slots": 6, "state": "ready", "coldRemainingMs": 0, "sequence": 1,
			})
			w.line("another writer's entry %s at %s, of a service that no configuration names", name, s.address)
		}
		time.Sleep(w.site.contact)
	}
	before := w.measure("before", 6*time.Second)
	w.line("final fault: all processes are killed")
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
	time.Sleep(w.site.recover + 500*time.Millisecond)
	after := w.measure("after", 20*time.Second)
	w.summary("served before the final fault: %.3f of the requests; later than recoverS after the machines are back: %.3f (the rule asks for a quarter)", before, after)
	return before < 0.25 || after >= 0.25, nil
}

// measure sends 20 requests a second to the machines in turn, and returns the share that was served.
func (w *world) measure(when string, span time.Duration) float64 {
	var mu sync.Mutex
	var wait sync.WaitGroup
	sent, served := 0, 0
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		v, id := w.vms[sent%len(w.vms)], nextID("0")
		sent++
		wait.Go(func() {
			a := call(v, id, "POST", "/slots/2f", apiKey, `{"n":"`+id+`"}`, 800*time.Millisecond)
			w.line("%s: %s at %s: %s", when, id, v.name, a)
			mu.Lock()
			defer mu.Unlock()
			if a.err == nil && a.status == http.StatusOK && a.sealed && a.body == "answer to "+id {
				served++
			}
		})
	}
	wait.Wait()
	return float64(served) / float64(sent)
}
