package entry_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"github.com/hibiscuscart/hibiscuscart/entry"
)

// A once-only request must have a span for each stage and attempt, all in the
// trace that the caller started.
func TestRequestSpans(t *testing.T) {
	recorder := tracetest.NewSpanRecorder()
	otel.SetTracerProvider(trace.NewTracerProvider(trace.WithSpanProcessor(recorder)))
	otel.SetTextMapPropagator(propagation.TraceContext{})
	t.Cleanup(func() { otel.SetTracerProvider(trace.NewTracerProvider()) })
	deployment := startDeployment(t, nil)
	const traceID = "4bf92f3577b34da6a3ce929d0e0e4736"
	const requests = 8
	for i := range requests {
		id := fmt.Sprint("traced", i)
		r := post(t, deployment, "one-1", "/services/desk/loans", loanCall(id), entry.HeaderIdempotencyKey, id, "traceparent", "00-"+traceID+"-00f067aa0ba902b7-01")
		require.Equal(t, 200, r.status, r.body)
	}
	names := make(map[string]int)
	for _, s := range recorder.Ended() {
		if s.SpanContext().TraceID().String() == traceID {
			names[s.Name()]++
		}
	}
	for _, name := range []string{"request", "profile", "admit", "claim", "route", "attempt"} {
		require.Equal(t, requests, names[name], "spans %q of %v", name, names)
	}
	require.Positive(t, names["claim owner"], "the other VM owns the shards of some of eight keys: %v", names)
}
