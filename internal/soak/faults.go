package soak

import (
	"net/http"
	"slices"
	"syscall"
	"time"

	"oleandershunt.example/oleandershunt/platform/standin"
)

// cause brings a fault about, and returns when it is over.
func (w *world) cause(f Fault) error {
	switch f.Kind {
	case VMStop, VMKill, VMFreeze, VMReload, StoreSilent, StoreResets:
		return w.causeAtVM(f, w.vms[f.Target%len(w.vms)])
	case ServerCrash, ServerLeave, ServerSilent, ServerResets, ServerDelay:
		return w.causeAtServer(f)
	case ConfigChange:
		w.configure()
		return nil
	case StoreCopy:
		w.comeBack(f.For)
		return nil
	case ServerRate:
		w.setRate(f)
		return nil
	case ServerPause:
		w.pause(f)
		return nil
	case ServerSays:
		return w.sayLeaving(f)
	case StoreDown, StoreSlow, StoreFull, StoreLoses, StoreForget:
		w.causeAtStore(f)
	}
	return nil
}

// disturb notes a disturbance of a VM, a server or the store while it lasts.
func (w *world) disturb(into func(f *facts) *spans) (end func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	all := into(&w.facts)
	i := len(*all)
	// Until it ends, it may last for ever.
	*all = append(*all, span{from: time.Now(), to: time.Now().Add(time.Hour)})
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		(*into(&w.facts))[i].to = time.Now()
	}
}

func ofStore(f *facts) *spans { return &f.store }

// named is the disturbances of something in a map.
func named(name string, in func(f *facts) map[string]*spans) func(f *facts) *spans {
	return func(f *facts) *spans {
		all := in(f)
		if all[name] == nil {
			all[name] = &spans{}
		}
		return all[name]
	}
}

func (w *world) causeAtVM(f Fault, v *vm) error {
	switch f.Kind {
	case VMReload:
		return v.signal(syscall.SIGHUP, false)
	case VMStop:
		end := w.disturb(named(v.Name, func(f *facts) map[string]*spans { return f.stops }))
		defer end()
		return w.restart(v, syscall.SIGTERM)
	default:
	}
	end := w.disturb(named(v.Name, func(f *facts) map[string]*spans { return f.vms }))
	defer end()
	switch f.Kind {
	case VMKill:
		return w.restart(v, syscall.SIGKILL)
	case VMFreeze:
		if err := v.signal(syscall.SIGSTOP, false); err != nil {
			return err
		}
		time.Sleep(f.For)
		return v.signal(syscall.SIGCONT, false)
	case StoreResets:
		v.store.reset()
	case StoreSilent:
		v.store.set(silent)
		time.Sleep(f.For)
		v.store.set(passes)
		v.store.reset() // what was held back for so long is lost
	default:
	}
	return nil
}

// restart ends a VM's process and starts another.
func (w *world) restart(v *vm, signal syscall.Signal) error {
	v.turn.Lock()
	defer v.turn.Unlock()
	if err := v.signal(signal, true); err != nil {
		return err
	}
	if signal == syscall.SIGTERM {
		// One that is frozen at the moment takes the signal later.
		const wakes = 3 * time.Second
		if !v.wait(bounds.Grace + wakes) {
			w.mu.Lock()
			w.facts.slowStops = append(w.facts.slowStops, v.Name)
			w.mu.Unlock()
		}
	} else {
		v.wait(bounds.Grace)
	}
	time.Sleep(restartAfter)
	v.First = false
	return v.start(bounds, w.endedItself)
}

func (w *world) causeAtStore(f Fault) {
	if f.Kind == StoreForget {
		w.store.Forget()
		return
	}
	defer w.disturb(ofStore)()
	switch f.Kind {
	case StoreDown:
		w.store.SetFaults(standin.Faults{Status: http.StatusServiceUnavailable})
	case StoreFull:
		w.store.SetFaults(standin.Faults{Status: http.StatusTooManyRequests})
	case StoreSlow:
		w.store.SetFaults(standin.Faults{Slow: slowStore})
	case StoreLoses:
		w.store.SetFaults(standin.Faults{LoseAnswers: 3})
	default:
	}
	time.Sleep(f.For)
	w.store.SetFaults(standin.Faults{})
}

// The figures of the rare faults.
const (
	// lostVersions is how many configurations are lost with a copy.
	lostVersions = 3
	// ratePerSecond is the request rate that a server sets, and rateFor how long beyond the
	// time from which it must be kept.
	ratePerSecond = 3.0
	rateFor       = 6 * time.Second
)

// comeBack has the store lose what was written in a time, be away for a moment and go on from
// a copy. What its owners wrote is written again, and the operator goes on.
func (w *world) comeBack(lost time.Duration) {
	copied := w.store.Copy()
	for range lostVersions {
		w.configure()
		time.Sleep(lost / lostVersions)
	}
	end := w.disturb(ofStore)
	w.store.SetFaults(standin.Faults{Status: http.StatusServiceUnavailable})
	time.Sleep(shortest)
	w.mu.Lock()
	w.store.ComeBack(copied)
	w.store.PutConfiguration(len(w.versions))
	servers := slices.Clone(w.servers)
	w.mu.Unlock()
	w.store.SetFaults(standin.Faults{})
	end()
	w.configure()
	time.Sleep(standin.Lapse)
	for _, s := range servers {
		if s.SignedOff() {
			w.store.Remove("servers", s.ID)
		}
	}
}

// setRate has a server set a request rate for a time.
func (w *world) setRate(f Fault) {
	s := w.pickServer(f.Target)
	if s == nil {
		return
	}
	from := time.Now()
	s.SetRate(ratePerSecond)
	time.Sleep(bounds.Contact + rateFor + f.For)
	s.SetRate(0)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.facts.rates = append(w.facts.rates, rated{server: s.ID, perSecond: ratePerSecond, from: from, to: time.Now()})
	s.taken = false
}

// pickServer draws a server that isn't in another fault, of either kind as often, and keeps
// it for this one. Nil when there is none.
func (w *world) pickServer(target int) *server {
	w.mu.Lock()
	defer w.mu.Unlock()
	var free []*server
	for _, s := range w.servers {
		if plain := s.Card == ""; !s.taken && plain == (target%2 == 0) {
			free = append(free, s)
		}
	}
	if len(free) == 0 {
		return nil
	}
	s := free[target/2%len(free)]
	s.taken = true
	return s
}

func (w *world) causeAtServer(f Fault) error {
	s := w.pickServer(f.Target)
	if s == nil {
		return nil
	}
	if f.Kind == ServerLeave {
		return w.leave(s)
	}
	defer func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		s.taken = false
	}()
	end := w.disturb(named(s.ID, func(f *facts) map[string]*spans { return f.servers }))
	defer end()
	switch f.Kind {
	case ServerCrash:
		if err := s.way.lead(""); err != nil {
			return err
		}
		s.Kill()
		time.Sleep(f.For)
		return w.startServer(s)
	case ServerSilent:
		s.SetSilent(true)
		s.way.set(silent)
		time.Sleep(f.For)
		s.SetSilent(false)
		s.way.set(passes)
	case ServerDelay:
		s.way.set(delayed)
		time.Sleep(f.For)
		s.way.set(passes)
	case ServerResets:
		s.way.reset()
	default:
	}
	return nil
}

// leave has a server say that it leaves, and a successor come. It serves on for a while.
func (w *world) leave(s *server) error {
	at := s.Drain()
	w.mu.Lock()
	w.facts.leavings = append(w.facts.leavings, leaving{s.ID, at})
	w.mu.Unlock()
	if err := w.addServer(s.Card); err != nil {
		return err
	}
	time.Sleep(servesOn)
	s.Kill()
	w.store.Remove("servers", s.ID)
	return s.way.lead("")
}
