package wire

import (
	"context"
	"net/http"

	"go.opentelemetry.io/otel/propagation"
)

// traceContext is the W3C format of a trace's identity.
var traceContext propagation.TraceContext

// Inject adds the trace context of ctx to the headers of an outgoing request.
func Inject(ctx context.Context, header http.Header) {
	traceContext.Inject(ctx, propagation.HeaderCarrier(header))
}

// Extract returns ctx with the trace context that came in the headers.
func Extract(ctx context.Context, header http.Header) context.Context {
	return traceContext.Extract(ctx, propagation.HeaderCarrier(header))
}
