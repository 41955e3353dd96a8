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

// longestWait bounds how long an answer waits for a change.
const longestWait = 2 * time.Second

// Service tells other VMs what a log knows.
type Service struct {
	entriesv1connect.UnimplementedEntriesServiceHandler
	Log *Log
}

// Changes implements entriesv1connect.EntriesServiceHandler.
func (s *Service) Changes(ctx context.Context, request *connect.Request[entriesv1.ChangesRequest]) (*connect.Response[entriesv1.ChangesResponse], error) {
	wait := min(time.Duration(request.Msg.WaitMillis)*time.Millisecond, longestWait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	told := s.Log.since(history.Version(request.Msg.Known))
	for waiting := wait > 0; waiting && !told.settled(); {
		select {
		case <-told.news:
		case <-timer.C:
			waiting = false
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		told = s.Log.since(history.Version(request.Msg.Known))
	}
	return connect.NewResponse(encode(told, s.Log.now())), nil
}

func encode(told answer, now time.Duration) *entriesv1.ChangesResponse {
	if told.lost || told.proof.At == 0 || told.page.Version == 0 {
		return &entriesv1.ChangesResponse{}
	}
	response := &entriesv1.ChangesResponse{Version: uint64(told.page.Version), Whole: told.page.Whole, ProofAgeMicros: age(now, told.proof.At)}
	if told.proof.Back > 0 {
		response.BackAgeMicros = age(now, told.proof.Back)
	}
	for _, event := range told.page.Events {
		response.Entries = append(response.Entries, &entriesv1.Entry{
			Name: event.Object.Name, Version: uint64(event.Object.Version), Value: event.Object.Value, Gone: event.Deleted,
		})
	}
	return response
}

func age(now, at time.Duration) *uint64 {
	micros := uint64(max(now-at, 0).Microseconds())
	return &micros
}

// decode reads an answer to a question that was sent at a moment. Ages count from then,
// so that neither the way nor a pause of either VM makes a proof look newer than it is.
// False says that the VM asked knows nothing to be believed.
func decode(kind string, response *entriesv1.ChangesResponse, sent time.Duration) (platform.Page, Proof, bool) {
	if response.ProofAgeMicros == nil {
		return platform.Page{}, Proof{}, false
	}
	page := platform.Page{Version: history.Version(response.Version), Whole: response.Whole}
	for _, entry := range response.Entries {
		object := platform.Object{Kind: kind, Name: entry.Name, Version: history.Version(entry.Version), Value: entry.Value}
		page.Events = append(page.Events, platform.WatchEvent{Object: object, Deleted: entry.Gone})
	}
	proof := Proof{At: sent - peer.Age(*response.ProofAgeMicros)}
	if response.BackAgeMicros != nil {
		proof.Back = sent - peer.Age(*response.BackAgeMicros)
	}
	return page, proof, true
}
