package steer

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Demand moves to other models in a fleet of many servers. The plan compared all servers, with each
// replica that could be replaced, for each model and each order, which took seconds with 1,500 servers.
// The shortlists must find options that are about as good as the best of all servers.
func TestShortlistsFindGoodOptions(t *testing.T) {
	c := scaledController(maxComparedServers+40, 120)
	now := c.Now().Add(2 * time.Minute)
	for m := range 10 {
		c.demand("s").Add(now, scaledModel(m), 3, 30)
	}
	p := &Planner{
		Engine: c.Table().Services()[0].Engine, Servers: c.serversOf("s"), Now: now,
		Work:           func(m string) float64 { return c.demand("s").Work(now, m) },
		StartStoreLoad: func() *LoadStart { return &LoadStart{} },
	}
	p.prepare()
	for m := range 10 {
		model := p.Engine.Models[scaledModel(m)]
		short, ok := p.bestOption(model)
		require.True(t, ok)
		require.Less(t, len(p.comparedCandidates(model)), maxComparedServers/2)
		best := option{}
		for i := range p.candidates {
			if p.candidates[i].models[model.Name] != nil {
				continue
			}
			if o, ok := p.optionAt(i, model); ok && o.urgency > best.urgency {
				best = o
			}
		}
		require.Greater(t, short.urgency, 0.95*best.urgency)
	}
}

// A plan for a large fleet must not hold up the controller with thousands of orders at once.
func TestPlanStepsAreBounded(t *testing.T) {
	c := scaledController(4*maxComparedServers, 400)
	now := c.Now().Add(2 * time.Minute)
	for m := range 100 {
		c.demand("s").Add(now, scaledModel(m), 50, 500)
	}
	p := &Planner{
		Engine: c.Table().Services()[0].Engine, Servers: c.serversOf("s"), Now: now,
		Work:           func(m string) float64 { return c.demand("s").Work(now, m) },
		StartStoreLoad: func() *LoadStart { return &LoadStart{} },
	}
	steps := p.Steps()
	require.Len(t, steps, maxPlanSteps)
	ordered := make(map[*Server]bool)
	for _, s := range steps {
		require.False(t, ordered[s.Server], "one order for each server")
		ordered[s.Server] = true
	}
	c.Step(context.Background(), now)
}
