package edge

import (
	"context"
	"math/rand/v2"
	"sync"
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
)

// inForce is the configuration in force and the proof that it is the newest.
type inForce struct {
	object objects.Object
	// provenAt is when the platform was asked that last said so, by bootclock. 0
	// before the first time.
	provenAt time.Duration
}

// proofKeeper keeps what is in force for this VM's requests and for other VMs that
// ask. It is safe for concurrent use.
type proofKeeper struct {
	mu  sync.Mutex
	now inForce
}

func (k *proofKeeper) get() inForce {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.now
}

// prove notes an object that was the newest at a moment. An older proof, and one of
// an older object, changes nothing.
func (k *proofKeeper) prove(object objects.Object, at time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if object.Version < k.now.object.Version {
		return
	}
	if object.Version > k.now.object.Version {
		k.now.object = object
	}
	k.now.provenAt = max(k.now.provenAt, at)
}

// configService tells other VMs what is in force here.
//
// What can go wrong: the platform turns a VM away, or its way there is cut, while
// callers still reach it. It can't know whether a key was taken away and refuses
// every request with a key. One notices refusals as configuration_unproven on
// single VMs. Another VM's word, with the age of its proof, is as good as the
// platform's.
type configService struct {
	configv1connect.UnimplementedConfigServiceHandler
	keeper *proofKeeper
}

// InForce implements configv1connect.ConfigServiceHandler. It answers at once.
func (s *configService) InForce(_ context.Context, request *connect.Request[configv1.InForceRequest]) (*connect.Response[configv1.InForceResponse], error) {
	now := s.keeper.get()
	answer := &configv1.InForceResponse{Release: now.object.Version}
	if now.provenAt > 0 {
		age := uint64((bootclock.Now() - now.provenAt).Microseconds())
		answer.ProofAgeMicros = &age
	}
	if request.Msg.Known < now.object.Version {
		answer.Value = now.object.Value
	}
	return connect.NewResponse(answer), nil
}

// configPeers asks other VMs what is in force.
type configPeers struct {
	dialer *peer.Dialer
	// others lists the VMs that may be asked.
	others func() []string
}

// ask asks some VMs and hands over what they say: objects and when each of them
// was the newest. An object without a value is the one that is known already.
//
// The age counts from the moment at which the question was sent, which is before
// the one at which the other VM worked it out. So neither the way nor a pause of
// either VM makes a proof look newer than it is.
func (p *configPeers) ask(ctx context.Context, known uint64, take func(object objects.Object, at time.Duration)) {
	type word struct {
		object objects.Object
		at     time.Duration
	}
	others := p.others()
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	others = others[:min(len(others), peersAsked)]
	words := make(chan *word, len(others))
	for _, vm := range others {
		go func() {
			sent := bootclock.Now()
			answer, err := p.call(ctx, vm, known)
			if err != nil || answer.ProofAgeMicros == nil {
				// The VMs that answer are enough; without one the proof grows old, which
				// is logged when it is too old.
				words <- nil
				return
			}
			age := time.Duration(*answer.ProofAgeMicros) * time.Microsecond
			words <- &word{objects.Object{Version: answer.Release, Value: answer.Value}, sent - age}
		}()
	}
	for range others {
		if w := <-words; w != nil {
			take(w.object, w.at)
		}
	}
}

func (p *configPeers) call(ctx context.Context, vm string, known uint64) (*configv1.InForceResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	client, url, err := p.dialer.Endpoint(vm)
	if err != nil {
		return nil, err
	}
	answer, err := configv1connect.NewConfigServiceClient(client, url).InForce(ctx, connect.NewRequest(&configv1.InForceRequest{Known: known}))
	if err != nil {
		return nil, err
	}
	return answer.Msg, nil
}
