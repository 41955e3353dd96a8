package entry

import (
	"context"
	"net/http"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"

	"oleandershunt.example/oleandershunt/internal/core"
	"oleandershunt.example/oleandershunt/internal/core/request"
	"oleandershunt.example/oleandershunt/internal/wire"
)

// tracerName names the spans' source.
const tracerName = "oleandershunt/entry"

// startRequestSpan continues the caller's trace with a span for the request.
func startRequestSpan(r *http.Request, arrived core.RequestArrived) (context.Context, func()) {
	ctx := wire.Extract(r.Context(), r.Header)
	ctx, span := otel.Tracer(tracerName).Start(ctx, "request", trace.WithSpanKind(trace.SpanKindServer))
	if span.IsRecording() {
		span.SetAttributes(
			attribute.String("request.id", string(arrived.Request)),
			attribute.String("account", arrived.Account),
			attribute.String("pipeline", arrived.Pipeline),
			attribute.String("route", arrived.Route),
			attribute.Bool("idempotent", arrived.Idempotent),
		)
	}
	return ctx, func() { span.End() }
}

func noteRefusal(ctx context.Context, problem *Problem) {
	span := trace.SpanFromContext(ctx)
	span.SetStatus(codes.Error, problem.Reason)
	span.SetAttributes(attribute.String("execution", string(problem.Execution)))
}

// startAttemptSpan starts a span for an attempt. Its end adds one for each hop
// of the path, as long as the attempt: the stages pass activations among
// themselves, so their own times are known only to themselves, and the trace
// context is sent along for engines that report them.
func startAttemptSpan(ctx context.Context, dispatch core.Dispatch) (context.Context, func(attemptResult)) {
	tracer := otel.Tracer(tracerName)
	ctx, span := tracer.Start(ctx, "attempt", trace.WithSpanKind(trace.SpanKindClient))
	if !span.IsRecording() {
		return ctx, func(attemptResult) {}
	}
	span.SetAttributes(
		attribute.Int("attempt", dispatch.Attempt),
		attribute.String("model", dispatch.Model),
		attribute.String("version", dispatch.Version),
		attribute.Int("from_token", dispatch.FromToken),
	)
	hops := make([]trace.Span, 0, len(dispatch.Path))
	for i, stage := range dispatch.Path {
		_, hop := tracer.Start(ctx, "hop", trace.WithAttributes(
			attribute.Int("hop", i),
			attribute.String("server", stage.Server),
			attribute.String("layers", stage.Layers.String()),
		))
		hops = append(hops, hop)
	}
	return ctx, func(result attemptResult) {
		for i, hop := range hops {
			endHop(hop, dispatch.Path[i].Server, result)
		}
		span.SetAttributes(attribute.String("outcome", string(result.outcome)), attribute.Int("tokens", result.tokens))
		if result.outcome != request.Completed {
			span.SetStatus(codes.Error, string(result.outcome))
		}
		span.End()
	}
}

func endHop(hop trace.Span, server string, result attemptResult) {
	if result.server == server {
		hop.SetStatus(codes.Error, string(result.outcome))
	}
	hop.End()
}
