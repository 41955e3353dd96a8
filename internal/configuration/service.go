package configuration

import (
	"context"
	"time"

	"connectrpc.com/connect"

	configv1 "oleandershunt.example/oleandershunt/internal/peer/gen/peer/config/v1"
)

// Bounds of what one call of a peer may cost.
const (
	maxWait      = 30 * time.Second
	maxPages     = 64
	maxCallBytes = 8 << 20
)

// service answers other VMs' calls for the configuration in force here.
type service struct {
	store *store
}

// InForce implements ConfigService: it answers as soon as there is a release
// newer than the one known, or when the time to wait has passed.
func (s service) InForce(ctx context.Context, request *connect.Request[configv1.InForceRequest]) (*connect.Response[configv1.InForceResponse], error) {
	wait := min(time.Duration(request.Msg.GetWaitMillis())*time.Millisecond, maxWait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		inForce, changed := s.store.current()
		response := &configv1.InForceResponse{Release: inForce.release.Sequence}
		if inForce.release.Sequence > request.Msg.GetKnown() {
			s.fill(response, inForce, request.Msg)
			return connect.NewResponse(response), nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return connect.NewResponse(response), nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// fill puts a release into an answer: as a delta where the asking VM says what
// it has and this VM knows that too, else whole.
func (s service) fill(response *configv1.InForceResponse, inForce version, request *configv1.InForceRequest) {
	if request.GetDigest() != "" {
		response.Delta = s.store.deltaTo(inForce, request.GetKnown(), request.GetDigest())
	}
	if response.Delta == nil {
		response.Value = inForce.value
	}
}

// Pages implements ConfigService.
func (s service) Pages(_ context.Context, request *connect.Request[configv1.PagesRequest]) (*connect.Response[configv1.PagesResponse], error) {
	hashes := request.Msg.GetHashes()
	response := &configv1.PagesResponse{Pages: make(map[string][]byte, len(hashes))}
	wanted := make(map[string]bool, len(hashes))
	for _, hash := range hashes[:min(len(hashes), maxPages)] {
		wanted[hash] = true
	}
	inForce, _ := s.store.current()
	for _, ref := range append(inForce.set.Pages(), inForce.release.Pages...) {
		if !wanted[ref.Hash] {
			continue
		}
		if value, ok := inForce.set.PageValue(ref); ok {
			response.Pages[ref.Hash] = value
		}
	}
	return connect.NewResponse(response), nil
}
