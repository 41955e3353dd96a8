package mirror

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"oleandershunt.example/oleandershunt/internal/core/history"
	"oleandershunt.example/oleandershunt/internal/peer"
	entriesv1 "oleandershunt.example/oleandershunt/internal/peer/gen/peer/entries/v1"
	"oleandershunt.example/oleandershunt/internal/peer/gen/peer/entries/v1/entriesv1connect"
	"oleandershunt.example/oleandershunt/internal/platform"
)

// maxWait bounds how long a request waits for a change.
const maxWait = 2 * time.Second

// Service serves the contents of a Log to other VMs.
type Service struct {
	entriesv1connect.UnimplementedEntriesServiceHandler
	Log *Log
}

// Changes implements entriesv1connect.EntriesServiceHandler.
func (s *Service) Changes(ctx context.Context, request *connect.Request[entriesv1.ChangesRequest]) (*connect.Response[entriesv1.ChangesResponse], error) {
	wait := min(time.Duration(request.Msg.WaitMillis)*time.Millisecond, maxWait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	changes := s.Log.changesSince(history.Version(request.Msg.Known))
	for waiting := wait > 0; waiting && !changes.ready(); {
		select {
		case <-changes.changed:
		case <-timer.C:
			waiting = false
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		changes = s.Log.changesSince(history.Version(request.Msg.Known))
	}
	return connect.NewResponse(encode(changes, s.Log.now())), nil
}

func encode(changes changeSet, now time.Duration) *entriesv1.ChangesResponse {
	if changes.unavailable || changes.proof.VerifiedAt == 0 || changes.page.Version == 0 {
		return &entriesv1.ChangesResponse{}
	}
	response := &entriesv1.ChangesResponse{Version: uint64(changes.page.Version), Whole: changes.page.Whole, ProofAgeMicros: ageMicros(now, changes.proof.VerifiedAt)}
	if changes.proof.RecoveredAt > 0 {
		response.BackAgeMicros = ageMicros(now, changes.proof.RecoveredAt)
	}
	for _, event := range changes.page.Events {
		response.Entries = append(response.Entries, &entriesv1.Entry{
			Name: event.Object.Name, Version: uint64(event.Object.Version), Value: event.Object.Value, Gone: event.Deleted,
		})
	}
	return response
}

func ageMicros(now, at time.Duration) *uint64 {
	micros := uint64(max(now-at, 0).Microseconds())
	return &micros
}

// decode converts the answer to a request sent at the given time. Ages count from that
// time, so that neither network delay nor a pause of either VM makes a proof look newer
// than it is. It returns false if the VM asked has no valid data.
func decode(kind string, response *entriesv1.ChangesResponse, sent time.Duration) (platform.Page, Proof, bool) {
	if response.ProofAgeMicros == nil {
		return platform.Page{}, Proof{}, false
	}
	page := platform.Page{Version: history.Version(response.Version), Whole: response.Whole}
	for _, entry := range response.Entries {
		object := platform.Object{Kind: kind, Name: entry.Name, Version: history.Version(entry.Version), Value: entry.Value}
		page.Events = append(page.Events, platform.WatchEvent{Object: object, Deleted: entry.Gone})
	}
	proof := Proof{VerifiedAt: sent - peer.Age(*response.ProofAgeMicros)}
	if response.BackAgeMicros != nil {
		proof.RecoveredAt = sent - peer.Age(*response.BackAgeMicros)
	}
	return page, proof, true
}
