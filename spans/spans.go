// Package spans sets up tracing. Each hop of a request has a span; the W3C trace
// context is propagated to peers and backend servers.
package spans

import (
	"context"
	"fmt"
	"io"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	"go.opentelemetry.io/otel/sdk/trace"
	oteltrace "go.opentelemetry.io/otel/trace"
)

const tracerName = "github.com/hibiscuscart/hibiscuscart"

// Config configures the sampling and export of spans.
type Config struct {
	// Exporter is "none", "stderr" or "otlp".
	Exporter string
	// Endpoint is the address (host and port) of the OTLP collector.
	Endpoint string
	// SampleRatio is the fraction of requests that are traced.
	SampleRatio float64
	// VMName is the name of the VM, which is set on each span.
	VMName string
	// Output is the destination of the stderr exporter.
	Output io.Writer
}

// Setup installs the global tracer provider. The returned function flushes the
// remaining spans and shuts the provider down.
func Setup(ctx context.Context, c Config) (func(context.Context) error, error) {
	otel.SetTextMapPropagator(propagation.TraceContext{})
	exporter, err := newExporter(ctx, c)
	if err != nil {
		return nil, err
	}
	if exporter == nil {
		return func(context.Context) error { return nil }, nil
	}
	provider := trace.NewTracerProvider(
		trace.WithBatcher(exporter),
		trace.WithSampler(trace.ParentBased(trace.TraceIDRatioBased(c.SampleRatio))),
		trace.WithResource(resource.NewSchemaless(attribute.String("service.name", "hibiscuscart"), attribute.String("node", c.VMName))),
	)
	otel.SetTracerProvider(provider)
	return provider.Shutdown, nil
}

func newExporter(ctx context.Context, c Config) (trace.SpanExporter, error) {
	switch c.Exporter {
	case "", "none":
		return nil, nil
	case "stderr":
		exporter, err := stdouttrace.New(stdouttrace.WithWriter(c.Output))
		if err != nil {
			return nil, fmt.Errorf("create span exporter: %w", err)
		}
		return exporter, nil
	case "otlp":
		exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpoint(c.Endpoint), otlptracehttp.WithInsecure())
		if err != nil {
			return nil, fmt.Errorf("create span exporter: %w", err)
		}
		return exporter, nil
	}
	return nil, fmt.Errorf("span exporter %q is not none, stderr or otlp", c.Exporter)
}

// Start starts the span of a hop.
func Start(ctx context.Context, name string, attrs ...attribute.KeyValue) (context.Context, oteltrace.Span) {
	return otel.Tracer(tracerName).Start(ctx, name, oteltrace.WithAttributes(attrs...))
}

const traceparentKey = "traceparent"

// Inject returns the W3C trace context of the span in ctx, to send it in a frame
// between VMs.
func Inject(ctx context.Context) string {
	carrier := propagation.MapCarrier{}
	otel.GetTextMapPropagator().Inject(ctx, carrier)
	return carrier[traceparentKey]
}

// Extract returns ctx with the W3C trace context that a frame carries.
func Extract(ctx context.Context, parent string) context.Context {
	if parent == "" {
		return ctx
	}
	return otel.GetTextMapPropagator().Extract(ctx, propagation.MapCarrier{traceparentKey: parent})
}

// End ends a span. If err is not nil, it sets the status of the span to err.
func End(span oteltrace.Span, err error) {
	if err != nil {
		span.SetStatus(codes.Error, err.Error())
	}
	span.End()
}
