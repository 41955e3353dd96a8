package soak

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"oleandershunt.example/oleandershunt/platform/standin"
)

// The load.
const (
	// perSecond is how many requests come in a second, at times that a seed decides.
	perSecond = 60
	// probeEvery is the time between two probes of the configuration at each VM.
	probeEvery = 250 * time.Millisecond
	// askEvery is how often the balancer asks each VM whether it is ready; two misses take
	// it out.
	askEvery = time.Second
	// leavePart is the part of requests whose callers leave, after leaveAfter.
	leavePart  = 0.06
	leaveAfter = 120 * time.Millisecond
	// events is how many a stream has.
	events = 40
	// callerWait bounds a caller's wait.
	callerWait = 2 * standin.Timeout
)

func bodyOf(id string) string { return `{"ask":"` + id + `"}` }

// pathOf is the path of a request on a route.
func pathOf(route, id string) string { return route + id }

// callers send requests to VMs that are ready and note what they get. They are safe for
// concurrent use.
type callers struct {
	vms    []*vm
	client *http.Client
	random *rand.Rand

	mu    sync.Mutex
	next  int
	ready map[string]bool
	all   []request
	wait  sync.WaitGroup
}

func newCallers(vms []*vm, seed uint64) *callers {
	transport := &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: 30 * time.Second, DisableCompression: true}
	return &callers{
		vms: vms, client: &http.Client{Transport: transport}, ready: make(map[string]bool),
		random: rand.New(rand.NewPCG(seed, 1)),
	}
}

// run sends until ctx ends, and returns when all have their answers. version tells the
// newest version of the configuration.
func (c *callers) run(ctx context.Context, version func() int) {
	c.wait.Add(1)
	go func() {
		defer c.wait.Done()
		c.balance(ctx)
	}()
	probes := time.NewTicker(probeEvery)
	defer probes.Stop()
	for {
		next := time.Duration(c.random.ExpFloat64() * float64(time.Second) / perSecond)
		due := time.After(next)
	waiting:
		for {
			select {
			case <-due:
				break waiting
			case <-probes.C:
				c.probe(version())
			case <-ctx.Done():
				c.wait.Wait()
				return
			}
		}
		if v := c.pick(); v != nil {
			c.send(v, c.kind(), 0)
		}
	}
}

// kind draws a route: more streams than others.
func (c *callers) kind() string {
	kinds := []string{standin.StreamRoute, standin.StreamRoute, standin.OnceRoute, standin.OnceRoute, standin.FreeRoute}
	return kinds[c.random.IntN(len(kinds))]
}

// balance asks each VM whether it is ready.
func (c *callers) balance(ctx context.Context) {
	misses := make(map[string]int)
	client := &http.Client{Timeout: askEvery / 2, Transport: &http.Transport{DisableKeepAlives: true}}
	ticker := time.NewTicker(askEvery)
	defer ticker.Stop()
	for {
		for _, v := range c.vms {
			if v.ready(client) {
				misses[v.Name] = 0
			} else {
				misses[v.Name]++
			}
			c.mu.Lock()
			c.ready[v.Name] = misses[v.Name] == 0 || c.ready[v.Name] && misses[v.Name] < 2
			c.mu.Unlock()
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// pick draws a VM that is ready; nil while none is.
func (c *callers) pick() *vm {
	c.mu.Lock()
	defer c.mu.Unlock()
	var ready []*vm
	for _, v := range c.vms {
		if c.ready[v.Name] {
			ready = append(ready, v)
		}
	}
	if len(ready) == 0 {
		return nil
	}
	return ready[c.random.IntN(len(ready))]
}

// probe asks each VM that is ready for the own routes of the newest version and of the one
// before.
func (c *callers) probe(version int) {
	for _, v := range c.vms {
		c.mu.Lock()
		ready := c.ready[v.Name]
		c.mu.Unlock()
		if ready {
			c.send(v, standin.VersionRoute(version), version)
		}
		if ready && version > 1 {
			c.send(v, standin.VersionRoute(version-1), version-1)
		}
	}
}

// send makes a request in its own goroutine.
func (c *callers) send(v *vm, route string, version int) {
	c.mu.Lock()
	c.next++
	id := fmt.Sprintf("r%05d", c.next)
	c.mu.Unlock()
	leaves := version == 0 && c.random.Float64() < leavePart
	c.wait.Add(1)
	go func() {
		defer c.wait.Done()
		v.mu.Lock()
		boot := v.boots
		v.mu.Unlock()
		r := request{id: id, route: route, vm: v.Name, boot: boot, version: version}
		c.ask(v, &r, leaves)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.all = append(c.all, r)
	}()
}

// errLeft is why a caller's request ends that it gave up.
var errLeft = errors.New("caller leaves")

func (c *callers) ask(v *vm, r *request, leaves bool) {
	ctx, cancel := context.WithTimeout(context.Background(), callerWait)
	defer cancel()
	ctx, leave := context.WithCancelCause(ctx)
	defer leave(nil)
	if leaves {
		timer := time.AfterFunc(leaveAfter, func() { leave(errLeft) })
		defer timer.Stop()
	}
	wanted := 0
	if r.route == standin.StreamRoute {
		wanted = events
	}
	outgoing, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+v.Callers+pathOf(r.route, r.id), strings.NewReader(bodyOf(r.id)))
	if err != nil {
		r.err = err.Error()
		return
	}
	outgoing.Host = standin.Host
	standin.Call(outgoing.Header, r.id, wanted)
	r.sent = time.Now()
	defer func() {
		r.ended = time.Now()
		if errors.Is(context.Cause(ctx), errLeft) {
			r.left = r.ended
		}
	}()
	response, err := c.client.Do(outgoing)
	if err != nil {
		r.err = err.Error()
		return
	}
	defer response.Body.Close()
	r.status = response.StatusCode
	if r.status != http.StatusOK {
		r.refused(response)
		return
	}
	if !standin.Sealed(response.Header) || standin.AnswerTo(response.Header) != r.id {
		r.wrong = fmt.Sprintf("headers %v", response.Header)
	}
	if wanted == 0 {
		r.readPlain(response.Body)
	} else {
		r.readStream(response.Body, wanted)
	}
	r.whole = r.err == "" && r.wrong == ""
}

// refused reads what a refusal says of the request.
func (r *request) refused(response *http.Response) {
	var said struct {
		Reason    string `json:"reason"`
		Execution string `json:"execution"`
	}
	if body, err := io.ReadAll(response.Body); err != nil {
		r.err = err.Error()
	} else if json.Unmarshal(body, &said) == nil {
		r.execution = said.Execution
	}
}

func (r *request) readPlain(body io.Reader) {
	text, err := io.ReadAll(body)
	if err != nil {
		r.err = err.Error()
	} else if string(text) != standin.PlainAnswer(r.id) {
		r.wrong = fmt.Sprintf("answer %q", text)
	}
}

// readStream reads events, which must come in order and without one missing or twice, and
// end as complete only after the last.
func (r *request) readStream(body io.Reader, wanted int) {
	scanner := bufio.NewScanner(body)
	n := 0
	for scanner.Scan() {
		line := scanner.Text()
		if text, ok := strings.CutPrefix(line, "id: "); ok {
			id, err := strconv.Atoi(text)
			if err != nil || id != n+1 {
				r.wrong = fmt.Sprintf("event %q after %d", text, n)
				return
			}
			n = id
		} else if text, ok := strings.CutPrefix(line, "data: "); ok && text != r.id {
			r.wrong = fmt.Sprintf("data %q", text)
			return
		}
	}
	switch err := scanner.Err(); {
	case err != nil:
		r.err = fmt.Sprintf("after %d events: %v", n, err)
	case n != wanted:
		r.wrong = fmt.Sprintf("ended as complete after %d of %d events", n, wanted)
	}
}

// done are the requests that have ended, in order of sending.
func (c *callers) done() []request {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]request(nil), c.all...)
}
