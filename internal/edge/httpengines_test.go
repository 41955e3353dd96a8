package edge_test

import (
	"context"
	"io"
	"net/http"

	"oleandershunt.example/oleandershunt/internal/core/backpressure"
	"oleandershunt.example/oleandershunt/internal/core/chain"
	"oleandershunt.example/oleandershunt/internal/relay"
)

// httpEngines fetches servers' reports over HTTP. A server that answers has nothing stalled.
type httpEngines struct{ client *http.Client }

func newHTTPEngines(transport http.RoundTripper) relay.Engines {
	return httpEngines{client: &http.Client{Transport: transport}}
}

func (e httpEngines) Report(ctx context.Context, address string) (relay.Report, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/report", nil)
	if err != nil {
		return relay.Report{}, err
	}
	response, err := e.client.Do(request)
	if err != nil {
		return relay.Report{}, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return relay.Report{Queued: 1}, err
}

func (httpEngines) Place(context.Context, string, string, relay.Order) (backpressure.Signals, error) {
	return backpressure.Signals{}, nil
}

func (httpEngines) Repath(context.Context, string, string, string, chain.Path) (backpressure.Signals, error) {
	return backpressure.Signals{}, nil
}
