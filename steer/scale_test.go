package steer

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/hibiscuscart/hibiscuscart/backs"
	"github.com/hibiscuscart/hibiscuscart/meter"
	"github.com/hibiscuscart/hibiscuscart/routes"
)

// BenchmarkStep measures one placement step while demand is spread over all models and no orders
// are needed.
func BenchmarkStep(b *testing.B) {
	for _, size := range []struct{ servers, models int }{{12, 20}, {144, 171}, {1500, 1000}, {4000, 554}} {
		b.Run(fmt.Sprintf("%d_servers_%d_models", size.servers, size.models), func(b *testing.B) {
			c := scaledController(size.servers, size.models)
			now := c.Now()
			for b.Loop() {
				c.Step(context.Background(), now)
			}
		})
	}
}

// BenchmarkStepAfterShift measures the step in which demand has moved to twenty other models, and models
// without a replica are asked for.
func BenchmarkStepAfterShift(b *testing.B) {
	for _, size := range []struct{ servers, models int }{{144, 171}, {1500, 1000}, {4000, 554}} {
		b.Run(fmt.Sprintf("%d_servers_%d_models", size.servers, size.models), func(b *testing.B) {
			c := scaledController(size.servers, size.models)
			now := c.Now().Add(2 * time.Minute)
			for _, s := range c.servers {
				for m := range 5 {
					delete(s.models, scaledModel(m))
				}
			}
			for m := range 20 {
				c.demand("s").Add(now, scaledModel(m), 40, 100)
			}
			for b.Loop() {
				c.Step(context.Background(), now)
			}
		})
	}
}

func scaledController(servers, models int) *Controller {
	now := time.Unix(1000, 0)
	engine := &routes.Engine{WeightMemoryMB: 83, AdapterSlots: 5, StoreLoadsPerSecond: 20, Models: make(map[string]routes.Model)}
	for m := range models {
		name := scaledModel(m)
		engine.Models[name] = routes.Model{Name: name, SizeMB: 20, LoadTime: time.Second, AdapterCount: 4}
	}
	var entries []backs.Entry
	for s := range servers {
		e := backs.Entry{ID: fmt.Sprintf("i%04d", s), Service: "s", Domain: fmt.Sprintf("d%d", s%4)}
		for k := range 4 {
			e.Models = append(e.Models, backs.LoadedModel{Model: scaledModel((4*s + k) % models)})
		}
		entries = append(entries, e)
	}
	view := &backs.View{}
	view.Replace(now, entries)
	table := routes.NewTable(1, nil, []routes.Service{{Name: "s", Engine: engine}}, routes.Limits{})
	c := &Controller{
		Name: "vm", Servers: view, Table: func() *routes.Table { return table },
		FencingToken: func(time.Time) (int, bool) { return 1, true }, Now: func() time.Time { return now },
		Log: zerolog.Nop(), Meter: meter.New(),
		ServerCalls: ServerCalls{
			Send: func(context.Context, backs.Entry, Order) (OrderResult, backs.Notice, error) {
				return Refused, backs.Notice{}, nil
			},
			Report: func(context.Context, backs.Entry) (Report, error) { return Report{}, fmt.Errorf("unreachable") },
		},
	}
	for m := range models {
		c.demand("s").Add(now, scaledModel(m), float64(1000/(m+1)), 1)
	}
	c.Step(context.Background(), now)
	for _, s := range c.servers {
		s.ApplyReport(now.Add(time.Minute), now.Add(time.Minute), Report{Models: s.entry.Models})
		c.orderInFlight[s.entry.ID] = true
	}
	return c
}

func scaledModel(m int) string { return fmt.Sprintf("m%04d", m) }

// BenchmarkStepOfUnequalServers measures the step of BenchmarkStep with servers of unequal paces.
func BenchmarkStepOfUnequalServers(b *testing.B) {
	for _, size := range []struct{ servers, models int }{{144, 171}, {4000, 554}} {
		b.Run(fmt.Sprintf("%d_servers_%d_models", size.servers, size.models), func(b *testing.B) {
			c := scaledController(size.servers, size.models)
			c.Pace = func(_ time.Time, server string) float64 { return quarterFast(server) }
			now := c.Now()
			for b.Loop() {
				c.Step(context.Background(), now)
			}
		})
	}
}
