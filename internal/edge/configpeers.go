package edge

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"connectrpc.com/connect"

	"oleandershunt.example/oleandershunt/internal/bootclock"
	"oleandershunt.example/oleandershunt/internal/peer"
	configv1 "oleandershunt.example/oleandershunt/internal/peer/gen/peer/config/v1"
	"oleandershunt.example/oleandershunt/internal/peer/gen/peer/config/v1/configv1connect"
	objects "oleandershunt.example/oleandershunt/internal/platform"
)

// Limits of configuration queries to other VMs.
const (
	// maxQueriedPeers is how many VMs are queried at once. One of them may be as cut off
	// from the platform as this one.
	maxQueriedPeers = 2
	// peerQueryTimeout bounds a query, which is answered within a millisecond or two.
	peerQueryTimeout = 300 * time.Millisecond
	// startupWait and startupTimeout bound the first query of a VM that may already have
	// callers; the platform would answer within milliseconds.
	startupWait    = 50 * time.Millisecond
	startupTimeout = 50 * time.Millisecond
)

// configPeers queries other VMs for the configuration in force.
type configPeers struct {
	dialer *peer.Dialer
	// self is this VM. others lists the VMs that may be queried, and ranked the live VMs
	// of the data centre, this one included, in the order of their rank as reader.
	self           string
	others, ranked func() []string
	// contacts are the addresses to query at startup, when no other VM is known.
	contacts []string
}

// queryContact queries a contact for the configuration before any other VM is known. A VM
// that gets no response reads the platform. So few VMs read the platform when all of them
// start at once.
func (p *configPeers) queryContact(ctx context.Context, wait time.Duration, apply func(state configState)) {
	if len(p.contacts) == 0 {
		return
	}
	sent := bootclock.Now()
	client, url := p.dialer.Seed(p.contacts[rand.IntN(len(p.contacts))])
	answer, err := queryInForce(ctx, client, url, wait+startupTimeout, &configv1.InForceRequest{WaitMillis: uint32(wait.Milliseconds())})
	if state, ok := parseInForce(answer, err, sent); ok {
		apply(state)
	}
}

// fanOut is how many VMs of a data centre learn the configuration from one VM.
const fanOut = 16

// rank lists the VMs of the data centre in the order of their rank as reader, and returns
// this VM's rank, from 0, or -1 when it is not among them.
func (p *configPeers) rank() (ranked []string, position int) {
	ranked = p.ranked()
	return ranked, slices.Index(ranked, p.self)
}

// upstream returns the VM from which this one learns the configuration, and the number of
// hops to the VM that reads it for the data centre; 0 hops on that VM itself. VMs with the
// same view of the live VMs compute the same tree, and the loss of one VM moves few
// others.
func (p *configPeers) upstream() (vm string, hops int) {
	ranked, position := p.rank()
	if position <= 0 {
		return "", 0
	}
	vm = ranked[(position-1)/fanOut]
	for ; position > 0; position = (position - 1) / fanOut {
		hops++
	}
	return vm, hops
}

// follow long-polls the upstream VM for a configuration newer than known, for at most the
// given wait, and passes the response to apply. It returns the version in force there and
// the number of hops; 0 hops without a usable response.
func (p *configPeers) follow(ctx context.Context, known uint64, wait time.Duration, apply func(state configState)) (config uint64, hops int) {
	vm, hops := p.upstream()
	if hops == 0 {
		return 0, 0
	}
	sent := bootclock.Now()
	answer, err := p.call(ctx, vm, wait+peerQueryTimeout, &configv1.InForceRequest{Known: known, WaitMillis: uint32(wait.Milliseconds())})
	state, ok := parseInForce(answer, err, sent)
	if !ok {
		// The caller reads the platform instead.
		return 0, 0
	}
	apply(state)
	return state.configVersion, hops
}

// parseInForce converts a VM's response to the configuration in force there and the time
// of its proof. It returns false without a response or without a proof.
func parseInForce(answer *configv1.InForceResponse, err error, sent time.Duration) (configState, bool) {
	if err != nil || answer.ProofAgeMicros == nil {
		return configState{}, false
	}
	return configState{configVersion: answer.Release, object: objects.Object{Value: answer.Value}, provenAt: sent - peer.Age(*answer.ProofAgeMicros)}, true
}

// queryPeers queries some VMs and passes each response to apply: a configuration and when
// it was the newest. A response without a value confirms a known version.
//
// The age counts from the time at which the query was sent, which is before the time at
// which the other VM computed it. So neither network delay nor a pause of either VM makes
// a proof look newer than it is.
func (p *configPeers) queryPeers(ctx context.Context, known uint64, apply func(state configState)) {
	others := p.others()
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	others = others[:min(len(others), maxQueriedPeers)]
	states := make(chan *configState, len(others))
	for _, vm := range others {
		go func() {
			sent := bootclock.Now()
			answer, err := p.call(ctx, vm, peerQueryTimeout, &configv1.InForceRequest{Known: known})
			state, ok := parseInForce(answer, err, sent)
			if !ok {
				// Other responses may suffice. Without any, the proof ages, and its expiry
				// is logged.
				states <- nil
				return
			}
			states <- &state
		}()
	}
	for range others {
		if state := <-states; state != nil {
			apply(*state)
		}
	}
}

func (p *configPeers) call(ctx context.Context, vm string, limit time.Duration, request *configv1.InForceRequest) (*configv1.InForceResponse, error) {
	client, url, err := p.dialer.Endpoint(vm)
	if err != nil {
		return nil, err
	}
	return queryInForce(ctx, client, url, limit, request)
}

func queryInForce(ctx context.Context, client *http.Client, url string, limit time.Duration, request *configv1.InForceRequest) (*configv1.InForceResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	answer, err := configv1connect.NewConfigServiceClient(client, url).InForce(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, err
	}
	return answer.Msg, nil
}
