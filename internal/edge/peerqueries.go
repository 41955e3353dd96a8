package edge

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"oleandershunt.example/oleandershunt/internal/core/history"
	"oleandershunt.example/oleandershunt/internal/core/lease"
	"oleandershunt.example/oleandershunt/internal/peer"
	entriesv1 "oleandershunt.example/oleandershunt/internal/peer/gen/peer/entries/v1"
	"oleandershunt.example/oleandershunt/internal/peer/gen/peer/entries/v1/entriesv1connect"
	rolesv1 "oleandershunt.example/oleandershunt/internal/peer/gen/peer/roles/v1"
	"oleandershunt.example/oleandershunt/internal/peer/gen/peer/roles/v1/rolesv1connect"
	"oleandershunt.example/oleandershunt/internal/role"
)

// roleQueryTimeout bounds a query for a role's lease, which is answered within a
// millisecond or two.
const roleQueryTimeout = 300 * time.Millisecond

// peerQueries queries other VMs for what they know, which saves calls of the platform.
type peerQueries struct{ dialer *peer.Dialer }

// changes queries a VM, by its name or address, for changes of backend server entries.
func (q peerQueries) changes(ctx context.Context, vm string, request *entriesv1.ChangesRequest) (*entriesv1.ChangesResponse, error) {
	client, url, err := q.dialer.Endpoint(vm)
	if err != nil {
		client, url = q.dialer.Seed(vm)
	}
	answer, err := entriesv1connect.NewEntriesServiceClient(client, url).Changes(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, err
	}
	return answer.Msg, nil
}

// holding queries a VM for the version of the lease of a role that it holds. It returns
// false when the VM doesn't confirm that it holds the role; the caller then reads the
// platform.
func (q peerQueries) holding(ctx context.Context, name string, holder lease.VM) (history.Version, bool) {
	client, url, err := q.dialer.Endpoint(holder.Name)
	if err != nil {
		return 0, false
	}
	ctx, cancel := context.WithTimeout(ctx, roleQueryTimeout)
	defer cancel()
	answer, err := rolesv1connect.NewRolesServiceClient(client, url).Holding(ctx, connect.NewRequest(&rolesv1.HoldingRequest{Role: name}))
	if err != nil {
		return 0, false
	}
	return history.Version(answer.Msg.Version), answer.Msg.Held
}

// rolesService answers other VMs' queries for the role that this VM may hold.
type rolesService struct {
	rolesv1connect.UnimplementedRolesServiceHandler
	role *role.Role
}

// Holding implements rolesv1connect.RolesServiceHandler.
func (s *rolesService) Holding(_ context.Context, request *connect.Request[rolesv1.HoldingRequest]) (*connect.Response[rolesv1.HoldingResponse], error) {
	tenure := s.role.LeaseState()
	if request.Msg.Role != s.role.Name || !tenure.Held {
		return connect.NewResponse(&rolesv1.HoldingResponse{}), nil
	}
	return connect.NewResponse(&rolesv1.HoldingResponse{Held: true, Version: uint64(tenure.Version)}), nil
}
