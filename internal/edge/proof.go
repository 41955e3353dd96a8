package edge

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"

	"oleandershunt.example/oleandershunt/internal/bootclock"
	configv1 "oleandershunt.example/oleandershunt/internal/peer/gen/peer/config/v1"
	"oleandershunt.example/oleandershunt/internal/peer/gen/peer/config/v1/configv1connect"
	objects "oleandershunt.example/oleandershunt/internal/platform"
)

// inForce is the configuration in force and the proof that it is the newest.
type inForce struct {
	// config is the configuration's own version, which the operator raises: it holds in each
	// history of the platform, as the version of the object doesn't. 0 before the first.
	config uint64
	// object is what the platform has of it. Its version is 0 where another VM told it.
	object objects.Object
	// provenAt is when the platform was asked that last said so, by bootclock. 0
	// before the first time.
	provenAt time.Duration
}

// proofAge is how long ago the proof was had, in microseconds; nil where there is none.
func (f inForce) proofAge() *uint64 {
	if f.provenAt <= 0 {
		return nil
	}
	age := uint64((bootclock.Now() - f.provenAt).Microseconds())
	return &age
}

// proofKeeper keeps what is in force for this VM's requests and for other VMs that
// ask. It is safe for concurrent use.
type proofKeeper struct {
	mu  sync.Mutex
	now inForce
	// newer is closed when the next object is in force.
	newer chan struct{}
}

func newProofKeeper() *proofKeeper { return &proofKeeper{newer: make(chan struct{})} }

// wait returns when a configuration newer than one is in force, or ctx ends.
func (k *proofKeeper) wait(ctx context.Context, known uint64) {
	k.mu.Lock()
	config, newer := k.now.config, k.newer
	k.mu.Unlock()
	if config > known {
		return
	}
	select {
	case <-newer:
	case <-ctx.Done():
	}
}

func (k *proofKeeper) get() inForce {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.now
}

// prove notes a configuration that was the newest at a moment. An older proof changes
// nothing, and so does one of an older configuration: a platform that came back from a copy
// shows one until the operator has written the newer one again, and what was taken away by
// that stays taken away.
func (k *proofKeeper) prove(config uint64, object objects.Object, at time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if config < k.now.config {
		return
	}
	if config > k.now.config || object.Version > 0 {
		k.now.object = object
	}
	if config > k.now.config {
		k.now.config = config
		close(k.newer)
		k.newer = make(chan struct{})
	}
	k.now.provenAt = max(k.now.provenAt, at)
}

// renew notes that a configuration was the newest at a moment. It says nothing of another
// one than that in force here: a newer one has to be learnt first.
func (k *proofKeeper) renew(config uint64, at time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if config == k.now.config {
		k.now.provenAt = max(k.now.provenAt, at)
	}
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

// longestWait bounds the wait for something newer.
const longestWait = 2 * time.Second

// InForce implements configv1connect.ConfigServiceHandler. It waits for something newer
// as long as it is asked to.
func (s *configService) InForce(ctx context.Context, request *connect.Request[configv1.InForceRequest]) (*connect.Response[configv1.InForceResponse], error) {
	if wait := time.Duration(request.Msg.WaitMillis) * time.Millisecond; wait > 0 {
		waiting, cancel := context.WithTimeout(ctx, min(wait, longestWait))
		s.keeper.wait(waiting, request.Msg.Known)
		cancel()
	}
	now := s.keeper.get()
	answer := &configv1.InForceResponse{Release: now.config, ProofAgeMicros: now.proofAge()}
	if request.Msg.Known < now.config {
		answer.Value = now.object.Value
	}
	return connect.NewResponse(answer), nil
}
