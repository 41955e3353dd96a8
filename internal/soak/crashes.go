package soak

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"oleandershunt.example/oleandershunt/platform/standin"
)

const (
	// crashDown is how long a server is down after a request that ended it.
	crashDown = 3 * time.Second
	// crashingFor is how much longer than its fault such requests come: from the ends that show what
	// they do, for the contact time and as long again.
	crashingFor = 8 * time.Second
	// crashingInterval is the time between two such requests.
	crashingInterval = 100 * time.Millisecond
	// darkDown is how long a server is dark. It is over twice streamPatience: if connections were reset while
	// callers wait, that alone would show the loss of the server.
	darkDown = 6 * time.Second
	// darkInterval is the time between two requests under which servers go dark. Some servers must be left
	// for those that come after the ends that show what they do.
	darkInterval = 400 * time.Millisecond
	// bodyCrashes and partCrashes are the ends after which a request or a part must not be sent any
	// more, later than the contact time, but for maxLateSends.
	bodyCrashes  = 3
	partCrashes  = 5
	maxLateSends = 3
	// streamPatience is how long the callers of crashing streams wait.
	streamPatience = 2 * time.Second
	// firstDarkPart is the number of the first part under which servers go dark.
	firstDarkPart = 1 << 20
	// skewFor is how much longer than its fault a skew lasts.
	skewFor = 6 * time.Second
)

// sendCrashing sends requests that end servers to all VMs in turn: with one body, or with one part of
// their prompts.
func (w *world) sendCrashing(f Fault) {
	n, interval := f.Target+1, crashingInterval
	if f.Kind == DarkPart {
		n, interval = n+firstDarkPart, darkInterval
	}
	var requests []<-chan struct{}
	for i, until := 0, time.Now().Add(crashingFor+f.For); time.Now().Before(until); i++ {
		v, id := w.vms[i%len(w.vms)], w.callers.nextID()
		r := request{id: id, route: standin.FreeRoute, account: standin.Account, path: standin.CrashPath(n), body: "{}", crashing: true}
		if f.Kind != CrashingBody {
			r.patience = streamPatience
			r.route, r.path, r.body, r.crashPart = standin.StreamRoute, pathOf(standin.StreamRoute, id), bodyOf(id), n
		}
		requests = append(requests, w.callers.start(v, r, false))
		time.Sleep(interval)
	}
	for _, ended := range requests {
		<-ended
	}
}

// crash ends a server under a request, unless another fault uses it. The server restarts later.
func (w *world) crash(s *server, content string) {
	w.mu.Lock()
	if s.inFault {
		w.mu.Unlock()
		return
	}
	s.inFault = true
	w.facts.crashes[content] = append(w.facts.crashes[content], time.Now())
	w.wait.Add(1)
	w.mu.Unlock()
	end := w.beginDisturbance(disturbancesOf(s.ID, func(f *observations) map[string]*spans { return f.servers }))
	restart := func(down time.Duration) {
		defer w.wait.Done()
		s.Kill()
		time.Sleep(down)
		if err := w.startServer(s); err != nil {
			w.fail(err)
		}
		end()
		w.mu.Lock()
		defer w.mu.Unlock()
		s.inFault = false
	}
	if isDark(content) {
		w.darken(s)
		go restart(0)
		return
	}
	if err := s.proxy.setTarget(""); err != nil {
		w.fail(err)
	}
	go restart(crashDown)
}

// isDark reports whether servers go dark under a content.
func isDark(content string) bool {
	n, err := strconv.Atoi(strings.TrimPrefix(content, standin.CrashPart(0)[:len(standin.CrashPart(0))-1]))
	return err == nil && n > firstDarkPart
}

// darken makes a server dark for a time.
func (w *world) darken(s *server) {
	s.SetUnresponsive(true)
	s.proxy.setMode(blackholed)
	w.setDark(s.proxy.address, true)
	time.Sleep(darkDown)
	if err := s.proxy.setTarget(""); err != nil {
		w.fail(err)
	}
	s.proxy.setMode(forwarding)
	w.setDark(s.proxy.address, false)
}

// setDark has the VMs' connects to an address hang, or ends that.
func (w *world) setDark(address string, dark bool) {
	for _, v := range w.vms {
		if err := v.setDark(address, dark); err != nil {
			w.fail(err)
		}
	}
}

// skew sends most requests to one VM for a time.
func (w *world) skew(f Fault) {
	w.callers.prefer(w.vms[f.Target%len(w.vms)])
	time.Sleep(skewFor + f.For)
	w.callers.prefer(nil)
}

func (c *callers) prefer(v *vm) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.preferred = v
}

// checkCrashing finds requests that were sent on after several servers had ended under what they
// contain.
func (f *observations) checkCrashing(sent map[string]request) []finding {
	var found []finding
	for _, content := range slices.Sorted(maps.Keys(f.crashes)) {
		ends, name, allowed := f.crashes[content], "part sent on", partCrashes
		if strings.HasPrefix(content, "/") {
			name, allowed = "body sent on", bodyCrashes
		}
		if len(ends) < allowed {
			continue
		}
		from, late := ends[allowed-1].Add(f.bounds.Contact+timingTolerance), 0
		for _, a := range f.arrivals {
			if a.Crashing == content && a.Executed && a.At.After(from) && f.vms[sent[a.ID].vm].undisturbed(a.At, a.At, f.bounds.Contact) {
				late++
			}
		}
		if late > maxLateSends {
			found = append(found, finding{name, fmt.Sprintf("%s %d times after %d ends, %d in all", content, late, allowed, len(ends))})
		}
	}
	return found
}
