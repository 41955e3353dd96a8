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

// The figures of asking other VMs for the configuration.
const (
	// peersAsked is how many VMs are asked at once: one of them may be as cut off
	// as this one.
	peersAsked = 2
	// peerTimeout bounds the question, whose answer takes a millisecond or two.
	peerTimeout = 300 * time.Millisecond
	// beginWait and beginTimeout bound the first question of a VM that has callers
	// already: the platform answers within some milliseconds.
	beginWait    = 50 * time.Millisecond
	beginTimeout = 50 * time.Millisecond
)

// configPeers asks other VMs what is in force.
type configPeers struct {
	dialer *peer.Dialer
	// self is this VM. others lists the VMs that may be asked, and ranked those of the
	// data centre that live, this one included, in the order in which they read.
	self           string
	others, ranked func() []string
	// contacts are the addresses that are asked at the start, when no other VM is known.
	contacts []string
}

// begin asks a contact for the configuration, before any other VM is known. A VM that
// learns nothing reads the platform.
//
// What it gains: when all VMs start at once, few of them read the platform.
func (p *configPeers) begin(ctx context.Context, wait time.Duration, take func(word inForce)) {
	if len(p.contacts) == 0 {
		return
	}
	sent := bootclock.Now()
	client, url := p.dialer.Seed(p.contacts[rand.IntN(len(p.contacts))])
	answer, err := inForceAt(ctx, client, url, wait+beginTimeout, &configv1.InForceRequest{WaitMillis: uint32(wait.Milliseconds())})
	if word, ok := said(answer, err, sent); ok {
		take(word)
	}
}

// fanOut is how many VMs of a data centre learn the configuration from one.
const fanOut = 16

// place lists the VMs of the data centre in the order in which they read, and this VM's place
// among them, from 0; -1 when it is none of them.
func (p *configPeers) place() (ranked []string, position int) {
	ranked = p.ranked()
	return ranked, slices.Index(ranked, p.self)
}

// upstream is the VM from which this one learns the configuration, and how many hops it
// takes from the one that reads it for the data centre; 0 hops for that one itself. The
// order of the VMs is the same on all that know the same ones live, and the loss of one
// moves few.
func (p *configPeers) upstream() (vm string, hops int) {
	ranked, position := p.place()
	if position <= 0 {
		return "", 0
	}
	vm = ranked[(position-1)/fanOut]
	for ; position > 0; position = (position - 1) / fanOut {
		hops++
	}
	return vm, hops
}

// follow waits at the upstream VM for something newer than what is known, as long as
// that is given, and hands over what it says. It returns the configuration in force there
// and how many hops it took; 0 hops when nothing was said.
func (p *configPeers) follow(ctx context.Context, known uint64, wait time.Duration, take func(word inForce)) (config uint64, hops int) {
	vm, hops := p.upstream()
	if hops == 0 {
		return 0, 0
	}
	sent := bootclock.Now()
	answer, err := p.call(ctx, vm, wait+peerTimeout, &configv1.InForceRequest{Known: known, WaitMillis: uint32(wait.Milliseconds())})
	word, ok := said(answer, err, sent)
	if !ok {
		// The platform is read instead.
		return 0, 0
	}
	take(word)
	return word.config, hops
}

// said is what a VM says to be in force, and since when it is proven. False when it doesn't
// answer, or has no proof.
func said(answer *configv1.InForceResponse, err error, sent time.Duration) (inForce, bool) {
	if err != nil || answer.ProofAgeMicros == nil {
		return inForce{}, false
	}
	return inForce{config: answer.Release, object: objects.Object{Value: answer.Value}, provenAt: sent - peer.Age(*answer.ProofAgeMicros)}, true
}

// ask asks some VMs and hands over what they say: configurations and when each of them
// was the newest. One without a value is known already.
//
// The age counts from the moment at which the question was sent, which is before
// the one at which the other VM worked it out. So neither the way nor a pause of
// either VM makes a proof look newer than it is.
func (p *configPeers) ask(ctx context.Context, known uint64, take func(word inForce)) {
	others := p.others()
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	others = others[:min(len(others), peersAsked)]
	words := make(chan *inForce, len(others))
	for _, vm := range others {
		go func() {
			sent := bootclock.Now()
			answer, err := p.call(ctx, vm, peerTimeout, &configv1.InForceRequest{Known: known})
			word, ok := said(answer, err, sent)
			if !ok {
				// The VMs that answer are enough; without one the proof grows old, which
				// is logged when it is too old.
				words <- nil
				return
			}
			words <- &word
		}()
	}
	for range others {
		if word := <-words; word != nil {
			take(*word)
		}
	}
}

func (p *configPeers) call(ctx context.Context, vm string, limit time.Duration, request *configv1.InForceRequest) (*configv1.InForceResponse, error) {
	client, url, err := p.dialer.Endpoint(vm)
	if err != nil {
		return nil, err
	}
	return inForceAt(ctx, client, url, limit, request)
}

func inForceAt(ctx context.Context, client *http.Client, url string, limit time.Duration, request *configv1.InForceRequest) (*configv1.InForceResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	answer, err := configv1connect.NewConfigServiceClient(client, url).InForce(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, err
	}
	return answer.Msg, nil
}
