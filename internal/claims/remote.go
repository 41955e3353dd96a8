package claims

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"oleandershunt.example/oleandershunt/internal/core"
	"oleandershunt.example/oleandershunt/internal/core/claim"
	"oleandershunt.example/oleandershunt/internal/core/lease"
	claimsv1 "oleandershunt.example/oleandershunt/internal/peer/gen/peer/claims/v1"
	"oleandershunt.example/oleandershunt/internal/peer/gen/peer/claims/v1/claimsv1connect"
)

// server answers other VMs.
type server struct{ service *Service }

// Claim implements claimsv1connect.ClaimServiceHandler.
func (s server) Claim(ctx context.Context, request *connect.Request[claimsv1.ClaimRequest]) (*connect.Response[claimsv1.ClaimResponse], error) {
	h, ok := s.service.host(request.Msg.GetShard())
	if !ok {
		return connect.NewResponse(&claimsv1.ClaimResponse{NotOwner: true}), nil
	}
	seen := h.view.Load()
	if !seen.owns {
		return connect.NewResponse(&claimsv1.ClaimResponse{NotOwner: true, Owner: seen.owner.Name}), nil
	}
	decided := h.claim(ctx, opFromWire(request.Msg.GetOp()))
	return connect.NewResponse(&claimsv1.ClaimResponse{
		Verdict:       string(decided.Verdict),
		ValidForNanos: int64(decided.ValidFor),
	}), nil
}

// Peek implements claimsv1connect.ClaimServiceHandler.
func (s server) Peek(ctx context.Context, request *connect.Request[claimsv1.PeekRequest]) (*connect.Response[claimsv1.PeekResponse], error) {
	h, ok := s.service.host(request.Msg.GetShard())
	if !ok {
		return connect.NewResponse(&claimsv1.PeekResponse{NotOwner: true}), nil
	}
	seen := h.view.Load()
	if !seen.owns {
		return connect.NewResponse(&claimsv1.PeekResponse{NotOwner: true, Owner: seen.owner.Name}), nil
	}
	decided := h.peek(ctx, opFromWire(request.Msg.GetOp()))
	return connect.NewResponse(&claimsv1.PeekResponse{Verdict: string(decided.Verdict)}), nil
}

// Settle implements claimsv1connect.ClaimServiceHandler.
func (s server) Settle(ctx context.Context, request *connect.Request[claimsv1.SettleRequest]) (*connect.Response[claimsv1.SettleResponse], error) {
	h, ok := s.service.host(request.Msg.GetShard())
	if !ok || !h.view.Load().owns {
		return connect.NewResponse(&claimsv1.SettleResponse{NotOwner: true}), nil
	}
	h.post(ctx, claim.Settled{Op: opFromWire(request.Msg.GetOp())})
	return connect.NewResponse(&claimsv1.SettleResponse{}), nil
}

// Append implements claimsv1connect.ClaimServiceHandler.
func (s server) Append(ctx context.Context, request *connect.Request[claimsv1.AppendRequest]) (*connect.Response[claimsv1.AppendResponse], error) {
	h, ok := s.service.host(request.Msg.GetShard())
	if !ok {
		return connect.NewResponse(&claimsv1.AppendResponse{Refused: true}), nil
	}
	message := claim.Append{
		Epoch:      request.Msg.GetEpoch(),
		Owner:      vmFromWire(request.Msg.GetOwner()),
		Standby:    vmFromWire(request.Msg.GetTo()),
		Confirmed:  request.Msg.GetConfirmed(),
		FirstIndex: request.Msg.GetFrom(),
	}
	for _, op := range request.Msg.GetOps() {
		message.Ops = append(message.Ops, opFromWire(op))
	}
	reply := h.hold(ctx, message)
	return connect.NewResponse(&claimsv1.AppendResponse{Refused: reply.Refused, End: reply.End}), nil
}

// client finds the way to a VM.
func (s *Service) client(vm string) (claimsv1connect.ClaimServiceClient, error) {
	http, base, err := s.dialer.Endpoint(vm)
	if err != nil {
		return nil, err
	}
	return claimsv1connect.NewClaimServiceClient(http, base), nil
}

// ownerAnswer is what a VM said to a claim.
type ownerAnswer struct {
	claim.Decided
	// decided is false when that VM does not own the shard; owner is then the
	// one that it takes for the owner, or empty.
	decided bool
	owner   string
}

// askOwner asks another VM for a decision.
func (s *Service) askOwner(ctx context.Context, vm, shard string, op claim.Op, kind call) (ownerAnswer, error) {
	client, err := s.client(vm)
	if err != nil {
		return ownerAnswer{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, s.askTimeout())
	defer cancel()
	return kind.there(ctx, client, shard, op)
}

func callClaim(ctx context.Context, client claimsv1connect.ClaimServiceClient, shard string, op claim.Op) (ownerAnswer, error) {
	response, err := client.Claim(ctx, connect.NewRequest(&claimsv1.ClaimRequest{Shard: shard, Op: opToWire(op)}))
	if err != nil {
		return ownerAnswer{}, err
	}
	answer := ownerAnswer{decided: !response.Msg.GetNotOwner(), owner: response.Msg.GetOwner()}
	answer.Verdict = core.Verdict(response.Msg.GetVerdict())
	answer.ValidFor = time.Duration(response.Msg.GetValidForNanos())
	return answer, nil
}

func callPeek(ctx context.Context, client claimsv1connect.ClaimServiceClient, shard string, op claim.Op) (ownerAnswer, error) {
	response, err := client.Peek(ctx, connect.NewRequest(&claimsv1.PeekRequest{Shard: shard, Op: opToWire(op)}))
	if err != nil {
		return ownerAnswer{}, err
	}
	answer := ownerAnswer{decided: !response.Msg.GetNotOwner(), owner: response.Msg.GetOwner()}
	answer.Verdict = core.Verdict(response.Msg.GetVerdict())
	return answer, nil
}

// tellOwner passes a settlement on. False means that the VM isn't the owner.
func (s *Service) tellOwner(ctx context.Context, vm, shard string, op claim.Op) bool {
	client, err := s.client(vm)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, s.askTimeout())
	defer cancel()
	response, err := client.Settle(ctx, connect.NewRequest(&claimsv1.SettleRequest{Shard: shard, Op: opToWire(op)}))
	return err == nil && !response.Msg.GetNotOwner()
}

// append asks a standby to hold ops.
func (s *Service) append(ctx context.Context, shard string, request claim.Append) (claim.AppendReply, error) {
	client, err := s.client(request.Standby.Name)
	if err != nil {
		return claim.AppendReply{}, err
	}
	message := &claimsv1.AppendRequest{
		Shard:     shard,
		Epoch:     request.Epoch,
		Owner:     vmToWire(request.Owner),
		To:        vmToWire(request.Standby),
		Confirmed: request.Confirmed,
		From:      request.FirstIndex,
	}
	for _, op := range request.Ops {
		message.Ops = append(message.Ops, opToWire(op))
	}
	response, err := client.Append(ctx, connect.NewRequest(message))
	if err != nil {
		return claim.AppendReply{}, err
	}
	return claim.AppendReply{Refused: response.Msg.GetRefused(), End: response.Msg.GetEnd()}, nil
}

func opToWire(op claim.Op) *claimsv1.Op {
	return &claimsv1.Op{
		Kind:    uint32(op.Kind),
		KeyHigh: op.Key[0],
		KeyLow:  op.Key[1],
		Body:    op.Body,
		Request: op.Request,
		Origin:  op.Origin,
	}
}

func opFromWire(op *claimsv1.Op) claim.Op {
	return claim.Op{
		Kind:    claim.OpKind(op.GetKind()),
		Key:     claim.KeyHash{op.GetKeyHigh(), op.GetKeyLow()},
		Body:    op.GetBody(),
		Request: op.GetRequest(),
		Origin:  op.GetOrigin(),
	}
}

func vmToWire(vm lease.VM) *claimsv1.VM {
	return &claimsv1.VM{Name: vm.Name, DataCentre: vm.DataCentre, Incarnation: vm.Incarnation}
}

func vmFromWire(vm *claimsv1.VM) lease.VM {
	return lease.VM{Name: vm.GetName(), DataCentre: vm.GetDataCentre(), Incarnation: vm.GetIncarnation()}
}
