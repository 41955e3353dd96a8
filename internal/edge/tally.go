package edge

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/go-logr/logr"

	"oleandershunt.example/oleandershunt/internal/bootclock"
	"oleandershunt.example/oleandershunt/internal/core/backends"
	"oleandershunt.example/oleandershunt/internal/core/budget"
	"oleandershunt.example/oleandershunt/internal/core/lease"
	"oleandershunt.example/oleandershunt/internal/core/ratelimit"
	"oleandershunt.example/oleandershunt/internal/core/tally"
	"oleandershunt.example/oleandershunt/internal/peer"
	tallyv1 "oleandershunt.example/oleandershunt/internal/peer/gen/peer/tally/v1"
	"oleandershunt.example/oleandershunt/internal/peer/gen/peer/tally/v1/tallyv1connect"
	"oleandershunt.example/oleandershunt/internal/relay"
)

// The pace of tallies.
const (
	// tallyEvery is the time between two tellings of a VM to its hub, and of a hub to the
	// others. What a VM does is in the sums of all after three of them at most, within
	// which each uses but its part of what is left of the budget of repeats.
	tallyEvery = 250 * time.Millisecond
	// tallyFirst is the same until a VM that has started hears the first sum, in so many
	// rounds at most: its callers may be there already, and it doesn't know what others do.
	tallyFirst  = 50 * time.Millisecond
	firstRounds = 10
	// tallyTimeout bounds a telling; the answer takes a millisecond or two.
	tallyTimeout = 400 * time.Millisecond
	// sumsKept is how long loads count that aren't told again: most requests last longer.
	sumsKept = 1500 * time.Millisecond
	// dutyTally names the duty of the hub, which reads the configuration too.
	dutyTally = "tally"
	// loadUnit is the unit in which loads are told, in tokens times layers: an eighth
	// of a usual request on a usual server.
	loadUnit = 2048
)

// tallies tells the hub of the data centre what this VM puts on servers and how often it
// repeats, learns the sums of all others, and is the hub while it comes first.
//
// What can go wrong: each VM believes that a server has room for its own share, and
// together they throw requests out of memory; or repeats are refused for want of a share,
// though the whole deployment hardly makes any.
type tallies struct {
	tallyv1connect.UnimplementedTallyServiceHandler
	self, dataCentre string
	dispatcher       *relay.Dispatcher
	dialer           *peer.Dialer
	// everywhere lists the VMs that live, of all data centres, this one included.
	everywhere func() []lease.VM
	// settled tells whether the VMs had time to get to know one another.
	settled func() bool
	// proof is what is in force, and since when it is proven. The hub reads the
	// configuration for its data centre, so what it says is the newest there is.
	//
	// What can go wrong: the platform goes for less time than keys are trusted, and VMs
	// refuse them, since their own proofs were seconds old: that of the reader, and the
	// waits of those that learn from it. With the sums a proof is as old as the newest one
	// of all data centres' readers, and half a second.
	proof *proofKeeper

	// reaches are the ways to other data centres, as far as this VM is hub.
	reaches *reaches

	log logr.Logger
	// cutOff lists the data centres that were last said to be out of reach. Only run uses it.
	cutOff []string
	// heard is when a sum came last. Only run uses it.
	heard time.Duration

	mu  sync.Mutex
	hub *tally.Hub
}

func newTallies(talk *peers, proof *proofKeeper) *tallies {
	return &tallies{
		self:       talk.self,
		dataCentre: talk.dataCentre,
		dispatcher: talk.dispatcher,
		dialer:     talk.dialer,
		log:        talk.log,
		everywhere: talk.everywhere,
		settled:    talk.settled,
		proof:      proof,
		reaches:    newReaches(),
		hub:        tally.NewHub(talk.dataCentre),
	}
}

func (t *tallies) run(ctx context.Context) error {
	for rounds := 0; ; rounds++ {
		pace := tallyEvery
		if t.heard == 0 && rounds < firstRounds {
			pace = tallyFirst
		}
		select {
		case <-time.After(pace):
			t.round(ctx)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// round tells, and learns what the others have.
func (t *tallies) round(ctx context.Context) {
	everywhere := t.everywhere()
	if len(everywhere) > 1 {
		t.dispatcher.SetLiveVMs(len(everywhere))
	}
	if t.settled() {
		t.dispatcher.SetMembers(t.self, everywhere)
	}
	ranked := lease.Rank(dutyTally, t.dataCentre, everywhere)
	own := t.own()
	t.mu.Lock()
	t.hub.Report(bootclock.Now(), t.self, own)
	t.mu.Unlock()
	if len(ranked) == 0 || ranked[0].DataCentre != t.dataCentre {
		t.learn(tally.Tally{}, false) // this VM stops, and no other is left here
		return
	}
	if hub := ranked[0].Name; hub != t.self {
		heard, err := t.tell(ctx, hub, "", own, tallyTimeout)
		if err == nil {
			t.unreached(heard.unreached)
		}
		t.learn(heard.tally, err == nil)
		return
	}
	for dataCentre, far := range t.reaches.update(bootclock.Now(), ranked, t.dataCentre) {
		go t.tellFar(ctx, dataCentre, far.names)
	}
	t.unreached(t.reaches.lost())
	t.mu.Lock()
	others := t.hub.SumExcept(bootclock.Now(), t.self)
	t.mu.Unlock()
	t.learn(others, others.VMs > 0)
}

func (t *tallies) own() tally.Tally {
	own := tally.Tally{VMs: 1, Counts: t.dispatcher.RetryCounts()}
	t.dispatcher.WithFleet(func(now time.Duration, fleet *backends.Fleet) {
		own.Loads, own.Full, own.Rates = fleet.PublishUsage(), fleet.FullServers(now), fleet.RateLimits(now)
	})
	return own
}

// learn takes a sum. Loads that nobody has told for a while are forgotten.
//
// What can go wrong: the hub is lost with all its connections silent, for the seconds until
// the others judge it gone. The servers that were full at that moment count as full all the
// while, though their requests have ended.
func (t *tallies) learn(others tally.Tally, ok bool) {
	now := bootclock.Now()
	if ok {
		t.heard = now
		t.dispatcher.ApplyTally(others)
	} else if now-t.heard > sumsKept {
		t.dispatcher.WithFleet(func(_ time.Duration, fleet *backends.Fleet) { fleet.SetRemoteUsage(nil, 0) })
	}
}

// heard is what a VM answers to a telling.
type heard struct {
	tally tally.Tally
	// unreached are the data centres out of reach.
	unreached []string
}

// tell tells a VM, and returns what it answers; the proof in it is taken over. When it
// doesn't answer, the next round tells again, to another one if it is gone, and meanwhile what
// is known grows old.
func (t *tallies) tell(ctx context.Context, vm, dataCentre string, said tally.Tally, within time.Duration) (heard, error) {
	client, url, err := t.dialer.Endpoint(vm)
	if err != nil {
		return heard{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	// Some kilobytes of names and numbers: compression would cost small VMs more than
	// it saves.
	service := tallyv1connect.NewTallyServiceClient(client, url, connect.WithAcceptCompression("gzip", nil, nil))
	sent := bootclock.Now()
	request := &tallyv1.TellRequest{Vm: t.self, DataCentre: dataCentre, Tally: wireTally(said, sent)}
	answer, err := service.Tell(ctx, connect.NewRequest(request))
	if err != nil {
		return heard{}, err
	}
	if age := answer.Msg.ProofAgeMicros; age != nil {
		// As for a question, ages count from before they were worked out.
		t.proof.renew(answer.Msg.GetConfigVersion(), sent-peer.Age(*age))
	}
	return heard{tally: readTally(answer.Msg.GetTally(), sent), unreached: answer.Msg.GetUnreached()}, nil
}

// Tell implements tallyv1connect.TallyServiceHandler. To a VM it answers with all others'
// sum, to another data centre's hub with that of this data centre.
func (t *tallies) Tell(_ context.Context, request *connect.Request[tallyv1.TellRequest]) (*connect.Response[tallyv1.TellResponse], error) {
	now := bootclock.Now()
	said := readTally(request.Msg.GetTally(), now)
	t.mu.Lock()
	defer t.mu.Unlock()
	answer := tally.Tally{}
	if from := request.Msg.GetDataCentre(); from != "" {
		t.hub.ReportRemote(now, from, said)
		answer = t.hub.LocalSum(now, "")
	} else {
		t.hub.Report(now, request.Msg.GetVm(), said)
		answer = t.hub.SumExcept(now, request.Msg.GetVm())
	}
	proof := t.proof.get()
	return connect.NewResponse(&tallyv1.TellResponse{
		Tally: wireTally(answer, now), ConfigVersion: proof.config, ProofAgeMicros: proof.proofAge(), Unreached: t.reaches.lost(),
	}), nil
}

// wireTally makes a tally's message, with ages up to now.
func wireTally(from tally.Tally, now time.Duration) *tallyv1.Tally {
	to := &tallyv1.Tally{Vms: uint32(from.VMs), Counts: make(map[string]*tallyv1.Count, len(from.Counts))}
	for id, span := range from.Full {
		to.Full, to.FullMillis = append(to.Full, id), append(to.FullMillis, uint32(span.Milliseconds()))
	}
	for id, word := range from.Rates {
		to.Limited, to.PerSecond = append(to.Limited, id), append(to.PerSecond, word.PerSecond)
		to.SaidAgeMicros = append(to.SaidAgeMicros, uint64(max(now-word.ObservedAt, 0).Microseconds()))
	}
	for id, load := range from.Loads {
		if units := uint32(load.Memory / loadUnit); units > 0 || load.Running > 0 {
			to.Servers, to.Loads = append(to.Servers, id), append(to.Loads, units)
			to.Running = append(to.Running, uint32(load.Running))
		}
	}
	for service, count := range from.Counts {
		to.Counts[service] = &tallyv1.Count{Requests: uint32(count.Requests), Repeats: uint32(count.Retries)}
	}
	return to
}

// readTally reads a tally whose ages count up to a moment.
func readTally(from *tallyv1.Tally, at time.Duration) tally.Tally {
	to := tally.Tally{
		VMs:    int(from.GetVms()),
		Loads:  make(map[string]backends.Usage),
		Counts: make(map[string]budget.Count),
		Full:   make(map[string]time.Duration),
		Rates:  readRates(from, at),
	}
	for i, id := range from.GetFull() {
		if i < len(from.GetFullMillis()) {
			to.Full[id] = time.Duration(from.GetFullMillis()[i]) * time.Millisecond
		}
	}
	for i, id := range from.GetServers() {
		if i >= len(from.GetLoads()) {
			break
		}
		load := backends.Usage{Memory: float64(from.GetLoads()[i]) * loadUnit}
		if i < len(from.GetRunning()) {
			load.Running = int(from.GetRunning()[i])
		}
		to.Loads[id] = load
	}
	for service, count := range from.GetCounts() {
		to.Counts[service] = budget.Count{Requests: int(count.GetRequests()), Retries: int(count.GetRepeats())}
	}
	return to
}

// readRates reads the words on servers' request rates. One that holds no rate is left out.
func readRates(from *tallyv1.Tally, at time.Duration) map[string]ratelimit.Report {
	words := make(map[string]ratelimit.Report)
	for i, id := range from.GetLimited() {
		if i >= min(len(from.GetPerSecond()), len(from.GetSaidAgeMicros())) {
			break
		}
		if perSecond := from.GetPerSecond()[i]; perSecond >= 0 {
			words[id] = ratelimit.Report{PerSecond: perSecond, ObservedAt: at - peer.Age(from.GetSaidAgeMicros()[i])}
		}
	}
	return words
}
