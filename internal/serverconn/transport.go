package serverconn

import (
	"net/http"
	"time"

	"oleandershunt.example/oleandershunt/internal/wire"
)

// dialTimeout bounds every dial; the connector's own limits are shorter.
const dialTimeout = time.Second

// Transports are the transports to backend servers.
type Transports struct {
	// Pooled and Fresh connect directly. Pooled keeps connections for further requests, Fresh opens
	// one for each request; see wire.Transports.
	Pooled, Fresh *wire.Transport
	// Through connects through another VM for each request, so that a VM in between carries no
	// idle connections and a direct path is used again as soon as it works.
	Through *wire.Transport
}

// Transports returns transports that keep up to idlePerServer unused connections to each server.
func (c *Connector) Transports(idlePerServer int) Transports {
	pooled, fresh := wire.TransportsVia(c.DialDirect, dialTimeout, nil, idlePerServer)
	c.mu.Lock()
	c.pooled = append(c.pooled, pooled)
	c.mu.Unlock()
	through := wire.NewTransportVia(c.DialThrough, dialTimeout, nil)
	through.DisableKeepAlives = true
	return Transports{Pooled: pooled, Fresh: fresh, Through: through}
}

// RoundTrip implements http.RoundTripper: it sends a request directly, or through another VM if
// it can't connect.
func (t Transports) RoundTrip(request *http.Request) (*http.Response, error) {
	ctx, sent := wire.WatchSent(request.Context())
	response, err := t.Pooled.RoundTrip(request.WithContext(ctx))
	if err == nil || sent.Connected() || request.Context().Err() != nil {
		return response, err
	}
	again, err := rewind(request)
	if err != nil {
		return nil, err
	}
	return t.Through.RoundTrip(again)
}

// rewind returns a copy of a request of which nothing was sent.
func rewind(request *http.Request) (*http.Request, error) {
	again := request.Clone(request.Context())
	if request.GetBody == nil {
		return again, nil
	}
	body, err := request.GetBody()
	again.Body = body
	return again, err
}
