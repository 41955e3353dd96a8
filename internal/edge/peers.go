package edge

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/oklog/run"

	"oleandershunt.example/oleandershunt/internal/actors"
	"oleandershunt.example/oleandershunt/internal/bootclock"
	"oleandershunt.example/oleandershunt/internal/core/backends"
	"oleandershunt.example/oleandershunt/internal/core/lease"
	"oleandershunt.example/oleandershunt/internal/peer"
	"oleandershunt.example/oleandershunt/internal/peer/gossip"
	"oleandershunt.example/oleandershunt/internal/relay"
	"oleandershunt.example/oleandershunt/internal/telemetry"
)

// The talk between VMs.
const (
	// deployment names the VMs that talk to one another. A platform runs one.
	deployment = "forward"
	// talkEvery is the time between two rounds of the talk.
	talkEvery = 150 * time.Millisecond
	// tellEvery is the time between two words of news. The others know it after two or
	// three rounds.
	tellEvery = 300 * time.Millisecond
	// tellPerVM makes that time longer with each VM beyond tellFew for words on slow
	// servers, which many VMs have at once, so that a VM hears no more than about 30 of
	// them a second, whatever the number of VMs. Other news has few VMs that tell it.
	//
	// What can go wrong: words cost those who hear them, and events that pass through a
	// small VM come late though each server keeps pace.
	tellPerVM = 60 * time.Millisecond
	tellFew   = 9
	// keyWord is the entry that each VM writes.
	keyWord = "word"
	// settleWithin is how long VMs that start together need to get to know one another:
	// some rounds of the talk. settleFirst is the same at the first start of all VMs, when
	// callers come many seconds later.
	settleWithin = time.Second
	settleFirst  = 2 * time.Second
)

// peers is the talk with the other VMs: who lives, and news of servers and of bodies that
// may crash them.
type peers struct {
	log        logr.Logger
	self       string
	dispatcher *relay.Dispatcher
	gossip     *gossip.Gossip
	directory  *peer.Directory
	identity   peer.Identity
	dialer     *peer.Dialer
	handler    *relay.Handler
	dataCentre string
	// begun is when the talk began, and first says that all VMs start.
	begun time.Duration
	first bool
	// tells tells whether departures that this VM knows of are news to others.
	tells func() bool
	// telling is held while a word is made. count counts the words.
	telling sync.Mutex
	count   uint64
	// saidNothing says that the last word had no news. pacesTold is when slow servers were
	// told last.
	saidNothing bool
	pacesTold   time.Duration
	// recent are the findings of the last words, which are told again.
	recent [][]relay.Finding

	mu sync.Mutex
	// found are the servers that don't answer, by this VM's findings, and leaving
	// those that leave, with the number of words in which each is still told.
	found   map[string]int
	leaving map[backends.Departure]int
}

// word is what a VM tells. Count makes each one new: an old one says nothing of
// what happened since.
type word struct {
	Count uint64 `json:"n"`
	// Lost are the servers that others wait for in vain.
	Lost []string `json:"x,omitempty"`
	// Left are the servers that leave, or whose entries are gone.
	Left []backends.Departure `json:"g,omitempty"`
	// Slow are the paces that this VM was told of servers that are slow or were.
	Slow map[string]float64 `json:"p,omitempty"`
	// Findings are what is held against bodies that may crash servers.
	Findings []relay.Finding `json:"c,omitempty"`
}

// newPeers makes the talk with other VMs, which is not begun yet.
func newPeers(p Parts, d *relay.Dispatcher, handler *relay.Handler) *peers {
	s := p.Settings
	// A later process of the VM has a higher incarnation. Should the time of day
	// have been set back, the gossip finds out and raises it.
	incarnation := uint64(time.Now().UnixMicro())
	identity := peer.Identity{Name: s.VM, Deployment: deployment}
	directory := peer.NewDirectory()
	talk := &peers{
		log: p.Log, self: s.VM, dataCentre: s.DataCentre, dispatcher: d, handler: handler, directory: directory,
		begun: bootclock.Now(), first: s.FirstStart, tells: func() bool { return true },
		found: make(map[string]int), leaving: make(map[backends.Departure]int),
	}
	talk.identity, talk.dialer = identity, peer.NewDialer(directory, identity, nil)
	talk.gossip = gossip.New(gossip.Options{
		Self: peer.Member{
			Name: s.VM, DataCentre: s.DataCentre, Deployment: deployment, Address: s.Peers,
			Incarnation: fmt.Sprintf("%016x", incarnation), Cores: s.Cores,
		},
		Incarnation: incarnation, Directory: directory,
		Dialer:   talk.dialer,
		Interval: talkEvery,
		Contacts: func() []string { return s.Seeds },
		Now:      bootclock.Now,
		Seed:     incarnation,
	})
	handler.OnUnresponsive = talk.lost
	talk.gossip.OnEntry(keyWord, talk.heard)
	return talk
}

// add adds the server for other VMs, with their questions' services, and the talk.
func (t *peers) add(group *run.Group, address string, services ...service) error {
	server := peer.NewServer(t.identity, nil, func(from, address string, err error) {
		telemetry.PeerRefused.Fail(t.log, err, "from", from, "address", address)
	})
	server.Handle(t.gossip.Handler())
	for _, service := range services {
		server.Handle(service.path, service.handler)
	}
	if err := listen(group, server.HTTPServer(), address); err != nil {
		return err
	}
	actors.AddContext(group, func(ctx context.Context) error {
		t.gossip.Meet(ctx)
		return t.gossip.Run(ctx)
	})
	actors.AddContext(group, t.run)
	return nil
}

// service is what answers other VMs' questions of a kind.
type service struct {
	path    string
	handler http.Handler
}

func serviceOf(path string, handler http.Handler) service { return service{path, handler} }

// settled tells whether the VMs had time to get to know one another.
func (t *peers) settled() bool {
	within := settleWithin
	if t.first {
		within = settleFirst
	}
	return bootclock.Now()-t.begun >= within
}

// ranked lists the VMs of this data centre that may take a duty, this one included, in
// the order in which they do. VMs that know the same ones have the same order.
func (t *peers) ranked(duty string) []string {
	var names []string
	for _, vm := range lease.Rank(duty, t.dataCentre, t.candidates()) {
		names = append(names, vm.Name)
	}
	return names
}

// candidates lists the VMs of this data centre that live and don't stop, this one
// included.
func (t *peers) candidates() []lease.VM {
	return slices.DeleteFunc(t.everywhere(), func(vm lease.VM) bool { return vm.DataCentre != t.dataCentre })
}

// everywhere lists the VMs of all data centres that live and don't stop.
func (t *peers) everywhere() []lease.VM {
	var vms []lease.VM
	for dataCentre, names := range t.gossip.LiveVMs() {
		for _, name := range names {
			if member, _ := t.directory.Member(name); !member.Leaving {
				vms = append(vms, lease.VM{Name: name, DataCentre: dataCentre, Cores: member.Cores})
			}
		}
	}
	return vms
}

// others lists the other VMs that live or may live, of all data centres.
func (t *peers) others() []string {
	var others []string
	for _, names := range t.gossip.LiveVMs() {
		others = append(others, names...)
	}
	return slices.DeleteFunc(others, func(name string) bool { return name == t.self })
}

// run tells what this VM does.
func (t *peers) run(ctx context.Context) error {
	for {
		select {
		case <-time.After(tellEvery):
			t.tell()
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// paceFor is the time between two words on slow servers of each of so many VMs.
func paceFor(vms int) time.Duration {
	return tellEvery + time.Duration(max(vms-tellFew, 0))*tellPerVM
}

func (t *peers) tell() {
	t.telling.Lock()
	defer t.telling.Unlock()
	t.count++
	now := word{Count: t.count}
	var news []backends.Departure
	pace := paceFor(len(t.others()) + 1)
	t.dispatcher.WithFleet(func(at time.Duration, fleet *backends.Fleet) {
		news = fleet.TakeDepartures()
		if at >= t.pacesTold+pace {
			t.pacesTold, now.Slow = at, fleet.PacesToPublish(at, 2*pace)
		}
	})
	if !t.tells() {
		news = nil // what this VM knows from a reader, the reader tells
	}
	now.Lost, now.Left = t.stillTold(news)
	now.Findings = t.findings()
	empty := len(now.Lost)+len(now.Left)+len(now.Findings)+len(now.Slow) == 0
	if empty && t.saidNothing {
		return
	}
	// The word stays where it was heard, and a VM that starts hears it as new. So one
	// without news follows, or servers would count as lost again.
	t.saidNothing = empty
	value, err := json.Marshal(now)
	if err != nil {
		panic(err) // counts always encode
	}
	t.gossip.Put(keyWord, value, len(now.Lost)+len(now.Left)+len(now.Findings) > 0)
}

// findings lists what this word tells of bodies that may crash servers: all that is
// new, and what the last words told.
func (t *peers) findings() []relay.Finding {
	fresh := t.handler.TakeFindings()
	t.recent = append(t.recent, fresh)
	if len(t.recent) > toldTimes {
		t.recent = t.recent[1:]
	}
	var list []relay.Finding
	for _, findings := range t.recent {
		list = append(list, findings...)
	}
	return list
}

// toldTimes is in how many words a lost server is told.
const toldTimes = 3

// lost tells the others at once of a server that doesn't answer.
func (t *peers) lost(id string) {
	t.mu.Lock()
	_, known := t.found[id]
	t.found[id] = toldTimes
	t.mu.Unlock()
	if !known {
		t.tell()
	}
}

// stillTold lists what this word tells of lost and of leaving servers. Both are told
// several times, since a VM may miss a word.
func (t *peers) stillTold(news []backends.Departure) (lost []string, left []backends.Departure) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, gone := range news {
		t.leaving[gone] = toldTimes
	}
	return tellOnce(t.found), tellOnce(t.leaving)
}

// tellOnce lists what is told, and drops what has been told often enough.
func tellOnce[K comparable](told map[K]int) []K {
	var list []K
	for what := range told {
		list = append(list, what)
		if told[what]--; told[what] <= 0 {
			delete(told, what)
		}
	}
	return list
}

func (t *peers) heard(entry gossip.Entry) {
	var now word
	if err := json.Unmarshal(entry.Value, &now); err != nil {
		telemetry.PeerUnread.Fail(t.log, err, "vm", entry.VM)
		return
	}
	for _, finding := range now.Findings {
		t.handler.ReceiveFinding(finding)
	}
	for _, id := range now.Lost {
		t.handler.MarkUnresponsive(id, true)
	}
	t.dispatcher.WithFleet(func(at time.Duration, fleet *backends.Fleet) {
		for id, pace := range now.Slow {
			fleet.SetRemotePace(at, id, pace)
		}
		for _, gone := range now.Left {
			fleet.ApplyDeparture(at, gone)
		}
	})
}
