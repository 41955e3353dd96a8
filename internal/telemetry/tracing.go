package telemetry

import (
	"context"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/sdk/resource"
	"go.opentelemetry.io/otel/sdk/trace"
)

// StartTracing exports the process's spans to an OTLP/HTTP collector and
// returns what ends the export. A caller's own decision to trace is followed;
// of the other requests a share is traced. Without a call no span is made.
func StartTracing(ctx context.Context, endpoint string, share float64, vm, dataCentre string) (func(context.Context) error, error) {
	exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(endpoint))
	if err != nil {
		return nil, eris.Wrap(err, "traces can't be exported: correct tracing.endpoint")
	}
	provider := trace.NewTracerProvider(
		trace.WithBatcher(exporter),
		trace.WithSampler(trace.ParentBased(trace.TraceIDRatioBased(share))),
		trace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "oleandershunt"),
			attribute.String("host.name", vm),
			attribute.String("data_centre", dataCentre),
		)),
	)
	otel.SetTracerProvider(provider)
	return provider.Shutdown, nil
}
