package bench

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart"
	"github.com/hibiscuscart/hibiscuscart/demo"
	"github.com/hibiscuscart/hibiscuscart/engine"
	"github.com/hibiscuscart/hibiscuscart/entry"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

// BenchmarkDirect and BenchmarkPipe measure the time and allocations of a request
// of eight tokens, sent directly to an engine stand-in and through the request
// pipeline of a gateway. The difference is the cost of the pipeline.
func BenchmarkDirect(b *testing.B) {
	deployment := newOverheadDeployment(b)
	engines := engine.New()
	address := deployment.Servers()[0].Address
	b.ReportAllocs()
	for i := range b.N {
		err := engines.Generate(context.Background(), address, fmt.Sprint("direct-", i),
			engine.GenerateRequest{Model: "draft-1", Prompt: "menu", MaxTokens: overheadTokens},
			func(hibiscuscart.Frame) error { return nil })
		require.NoError(b, err)
	}
}

func newOverheadDeployment(b *testing.B) *demo.Deployment {
	b.Helper()
	s := deploymentSpec{domains: 1, vmsPerDomain: 1, engines: 1, slots: 64, firstToken: time.Millisecond, betweenTokens: 100 * time.Microsecond}
	deployment, err := s.start(context.Background(), Options{Seed: 1}, []wire.Profile{engineProfile("draft", 1, 3)}, nil)
	require.NoError(b, err)
	b.Cleanup(deployment.Close)
	for _, doc := range deployment.Servers() {
		e := deployment.Engine(doc.Name)
		e.FirstTokenDelay, e.TokenInterval = time.Microsecond, time.Microsecond
	}
	return deployment
}

func BenchmarkPipe(b *testing.B) {
	deployment := newOverheadDeployment(b)
	d := deployment.VMs()["domain-1-1"]
	sink := entry.Sink{WriteText: func(string) error { return nil }, WriteResponse: func(hibiscuscart.Response) error { return nil }}
	b.ReportAllocs()
	for i := range b.N {
		now := time.Now()
		req := &hibiscuscart.Request{ID: fmt.Sprint("r-", i), Profile: "draft", Model: "draft-1", Prompt: "menu", MaxTokens: overheadTokens, ArrivedAt: now}
		require.NoError(b, d.HandleRequest(context.Background(), req, sink))
	}
}

func TestExperimentsAreListed(t *testing.T) {
	for _, e := range List() {
		found, err := Find(e.Name)
		require.NoError(t, err)
		require.NotEmpty(t, found.Summary)
	}
	_, err := Find("atlantis")
	require.Error(t, err)
}

func TestOverheadRuns(t *testing.T) {
	report, err := overhead(context.Background(), Options{Seed: 1, Duration: 300 * time.Millisecond})
	require.NoError(t, err)
	require.Zero(t, report.(overheadReport).TotalViolations())
	require.Positive(t, report.(overheadReport).GatewayP50Ms)
}
