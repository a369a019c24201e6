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

// BenchmarkDirect and BenchmarkPipe tell the time and allocations of one
// request of eight tokens: to the engine stand-in alone, and through the pipe
// of a gateway to it. The difference is the path's own cost.
func BenchmarkDirect(b *testing.B) {
	w := overheadWorld(b)
	engines := engine.New()
	address := w.Servers()[0].Address
	b.ReportAllocs()
	for i := range b.N {
		err := engines.Generate(context.Background(), address, fmt.Sprint("direct-", i),
			engine.Generation{Model: "draft-1", Prompt: "menu", MaxTokens: overheadTokens},
			func(hibiscuscart.Frame) error { return nil })
		require.NoError(b, err)
	}
}

func overheadWorld(b *testing.B) *demo.Deployment {
	b.Helper()
	s := shape{domains: 1, vmsPerDomain: 1, engines: 1, slots: 64, first: time.Millisecond, between: 100 * time.Microsecond}
	w, err := s.start(context.Background(), Options{Seed: 1}, []wire.Profile{engineProfile("draft", 1, 3)}, nil)
	require.NoError(b, err)
	b.Cleanup(w.Close)
	for _, doc := range w.Servers() {
		e := w.Engine(doc.Name)
		e.FirstToken, e.BetweenTokens = time.Microsecond, time.Microsecond
	}
	return w
}

func BenchmarkPipe(b *testing.B) {
	w := overheadWorld(b)
	d := w.VMs()["domain-1-1"]
	sink := entry.Sink{Text: func(string) error { return nil }, Whole: func(hibiscuscart.Answer) error { return nil }}
	b.ReportAllocs()
	for i := range b.N {
		now := time.Now()
		req := &hibiscuscart.Request{ID: fmt.Sprint("r-", i), Profile: "draft", Model: "draft-1", Prompt: "menu", MaxTokens: overheadTokens, Arrived: now}
		require.NoError(b, d.Exchange(context.Background(), req, sink))
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
	figures, err := overhead(context.Background(), Options{Seed: 1, For: 300 * time.Millisecond})
	require.NoError(t, err)
	require.Zero(t, figures.(overheadFigures).Broken())
	require.Positive(t, figures.(overheadFigures).GatewayP50)
}
