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

// Times of the tally exchange.
const (
	// tallyInterval is the interval at which a VM reports to its hub and a hub to the
	// other hubs. A VM's counts are in the sums of all VMs after at most three intervals,
	// within which each VM uses only its share of the remaining retry budget.
	tallyInterval = 250 * time.Millisecond
	// startupTallyInterval is the same until a VM that has started receives the first sum,
	// for at most maxStartupRounds: it may already have callers and doesn't know the other
	// VMs' usage.
	startupTallyInterval = 50 * time.Millisecond
	maxStartupRounds     = 10
	// tallyTimeout bounds an exchange, which is answered within a millisecond or two.
	tallyTimeout = 400 * time.Millisecond
	// sumRetention is how long reported usage counts without an update: most requests last
	// longer.
	sumRetention = 1500 * time.Millisecond
	// roleTally is the role of the hub, whose VM reads the configuration too.
	roleTally = "tally"
	// loadUnit is the unit of reported memory usage, in tokens times layers: an eighth of
	// a usual request on a usual server.
	loadUnit = 2048
)

// tallyExchanger reports this VM's usage of servers and its retries to the hub of the data
// centre, and learns the sums of all other VMs. It is the hub itself while this VM ranks
// first.
//
// Without the sums each VM would assume that a server has capacity for its own share, and
// together the VMs would evict requests from the server's memory; or retries would be
// refused for lack of a share although the whole deployment makes hardly any.
type tallyExchanger struct {
	tallyv1connect.UnimplementedTallyServiceHandler
	self, dataCentre string
	dispatcher       *relay.Dispatcher
	dialer           *peer.Dialer
	// liveVMs lists the live VMs of all data centres, this one included.
	liveVMs func() []lease.VM
	// settled reports whether the VMs had time to discover one another.
	settled func() bool
	// proof is the configuration in force and the time of its proof. The hub reads the
	// configuration for its data centre, so its proof is the newest there.
	//
	// When the platform was unavailable for less time than keys are trusted, VMs refused
	// keys because their own proofs were already seconds old: the reader's read interval
	// and the followers' long polls add up. With the proofs in the tallies a VM's proof is
	// at most half a second older than the newest one of all data centres' readers.
	proof *proofTracker

	// reachability tracks the other data centres while this VM is the hub.
	reachability *reachabilityTracker

	log logr.Logger
	// unreachable lists the data centres that were last reported unreachable. Only run
	// uses it.
	unreachable []string
	// lastSumAt is when the last sum was received. Only run uses it.
	lastSumAt time.Duration

	mu  sync.Mutex
	hub *tally.Hub
}

func newTallyExchanger(network *peerNetwork, proof *proofTracker) *tallyExchanger {
	return &tallyExchanger{
		self:         network.self,
		dataCentre:   network.dataCentre,
		dispatcher:   network.dispatcher,
		dialer:       network.dialer,
		log:          network.log,
		liveVMs:      network.liveVMs,
		settled:      network.settled,
		proof:        proof,
		reachability: newReachabilityTracker(),
		hub:          tally.NewHub(network.dataCentre),
	}
}

func (t *tallyExchanger) run(ctx context.Context) error {
	for rounds := 0; ; rounds++ {
		pace := tallyInterval
		if t.lastSumAt == 0 && rounds < maxStartupRounds {
			pace = startupTallyInterval
		}
		select {
		case <-time.After(pace):
			t.exchange(ctx)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// exchange reports this VM's tally and learns the sum of the others.
func (t *tallyExchanger) exchange(ctx context.Context) {
	live := t.liveVMs()
	if len(live) > 1 {
		t.dispatcher.SetLiveVMs(len(live))
	}
	if t.settled() {
		t.dispatcher.SetMembers(t.self, live)
	}
	ranked := lease.Rank(roleTally, t.dataCentre, live)
	own := t.ownTally()
	t.mu.Lock()
	t.hub.Report(bootclock.Now(), t.self, own)
	t.mu.Unlock()
	if len(ranked) == 0 || ranked[0].DataCentre != t.dataCentre {
		t.applySum(tally.Tally{}, false) // this VM is stopping and is the last one of its data centre
		return
	}
	if hub := ranked[0].Name; hub != t.self {
		response, err := t.sendTally(ctx, hub, "", own, tallyTimeout)
		if err == nil {
			t.applyUnreachable(response.unreachable)
		}
		t.applySum(response.tally, err == nil)
		return
	}
	for dataCentre, remote := range t.reachability.update(bootclock.Now(), ranked, t.dataCentre) {
		go t.exchangeRemote(ctx, dataCentre, remote.names)
	}
	t.applyUnreachable(t.reachability.unreachable())
	t.mu.Lock()
	others := t.hub.SumExcept(bootclock.Now(), t.self)
	t.mu.Unlock()
	t.applySum(others, others.VMs > 0)
}

func (t *tallyExchanger) ownTally() tally.Tally {
	own := tally.Tally{VMs: 1, Counts: t.dispatcher.RetryCounts()}
	t.dispatcher.WithFleet(func(now time.Duration, fleet *backends.Fleet) {
		own.Loads, own.Full, own.Rates = fleet.PublishUsage(), fleet.FullServers(now), fleet.RateLimits(now)
	})
	return own
}

// applySum applies a sum. Usage that was not updated for a while is dropped: when the hub
// is lost with all its connections silent, the servers that were full at that moment would
// count as full until the others detect the loss, although their requests have ended.
func (t *tallyExchanger) applySum(others tally.Tally, ok bool) {
	now := bootclock.Now()
	if ok {
		t.lastSumAt = now
		t.dispatcher.ApplyTally(others)
	} else if now-t.lastSumAt > sumRetention {
		t.dispatcher.WithFleet(func(_ time.Duration, fleet *backends.Fleet) { fleet.SetRemoteUsage(nil, 0) })
	}
}

// tallyResponse is a VM's response to a tally.
type tallyResponse struct {
	tally tally.Tally
	// unreachable are the unreachable data centres.
	unreachable []string
}

// sendTally sends a tally to a VM and returns its response; the proof in it is recorded.
// Without a response the next round sends again, to another VM if this one was lost, and
// meanwhile the known sums age.
func (t *tallyExchanger) sendTally(ctx context.Context, vm, dataCentre string, reported tally.Tally, within time.Duration) (tallyResponse, error) {
	client, url, err := t.dialer.Endpoint(vm)
	if err != nil {
		return tallyResponse{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	// Messages are some kilobytes of names and numbers: compression would cost small VMs
	// more than it saves.
	service := tallyv1connect.NewTallyServiceClient(client, url, connect.WithAcceptCompression("gzip", nil, nil))
	sent := bootclock.Now()
	request := &tallyv1.TellRequest{Vm: t.self, DataCentre: dataCentre, Tally: encodeTally(reported, sent)}
	answer, err := service.Tell(ctx, connect.NewRequest(request))
	if err != nil {
		return tallyResponse{}, err
	}
	if age := answer.Msg.ProofAgeMicros; age != nil {
		// As for queries, ages count from before they were computed.
		t.proof.renewProof(answer.Msg.GetConfigVersion(), sent-peer.Age(*age))
	}
	return tallyResponse{tally: decodeTally(answer.Msg.GetTally(), sent), unreachable: answer.Msg.GetUnreached()}, nil
}

// Tell implements tallyv1connect.TallyServiceHandler. It answers a VM with the sum of all
// other VMs, and another data centre's hub with the sum of this data centre.
func (t *tallyExchanger) Tell(_ context.Context, request *connect.Request[tallyv1.TellRequest]) (*connect.Response[tallyv1.TellResponse], error) {
	now := bootclock.Now()
	reported := decodeTally(request.Msg.GetTally(), now)
	t.mu.Lock()
	defer t.mu.Unlock()
	answer := tally.Tally{}
	if from := request.Msg.GetDataCentre(); from != "" {
		t.hub.ReportRemote(now, from, reported)
		answer = t.hub.LocalSum(now, "")
	} else {
		t.hub.Report(now, request.Msg.GetVm(), reported)
		answer = t.hub.SumExcept(now, request.Msg.GetVm())
	}
	proof := t.proof.get()
	return connect.NewResponse(&tallyv1.TellResponse{
		Tally: encodeTally(answer, now), ConfigVersion: proof.configVersion, ProofAgeMicros: proof.proofAge(), Unreached: t.reachability.unreachable(),
	}), nil
}

// encodeTally converts a tally to its message, with ages relative to now.
func encodeTally(from tally.Tally, now time.Duration) *tallyv1.Tally {
	to := &tallyv1.Tally{Vms: uint32(from.VMs), Counts: make(map[string]*tallyv1.Count, len(from.Counts))}
	for id, span := range from.Full {
		to.Full, to.FullMillis = append(to.Full, id), append(to.FullMillis, uint32(span.Milliseconds()))
	}
	for id, rate := range from.Rates {
		to.Limited, to.PerSecond = append(to.Limited, id), append(to.PerSecond, rate.PerSecond)
		to.SaidAgeMicros = append(to.SaidAgeMicros, uint64(max(now-rate.ObservedAt, 0).Microseconds()))
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

// decodeTally converts a message to a tally, with ages relative to the given time.
func decodeTally(from *tallyv1.Tally, at time.Duration) tally.Tally {
	to := tally.Tally{
		VMs:    int(from.GetVms()),
		Loads:  make(map[string]backends.Usage),
		Counts: make(map[string]budget.Count),
		Full:   make(map[string]time.Duration),
		Rates:  decodeRates(from, at),
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

// decodeRates decodes the rate limits of servers. Rates that are negative or NaN are skipped.
func decodeRates(from *tallyv1.Tally, at time.Duration) map[string]ratelimit.Report {
	rates := make(map[string]ratelimit.Report)
	for i, id := range from.GetLimited() {
		if i >= min(len(from.GetPerSecond()), len(from.GetSaidAgeMicros())) {
			break
		}
		if perSecond := from.GetPerSecond()[i]; perSecond >= 0 {
			rates[id] = ratelimit.Report{PerSecond: perSecond, ObservedAt: at - peer.Age(from.GetSaidAgeMicros()[i])}
		}
	}
	return rates
}
