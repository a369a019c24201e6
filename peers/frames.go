package peers

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"time"

	"github.com/hibiscuscart/hibiscuscart/backs"
	"github.com/hibiscuscart/hibiscuscart/link"
	"github.com/hibiscuscart/hibiscuscart/pick"
	"github.com/hibiscuscart/hibiscuscart/steer"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

// configFrame returns the frame of a compressed configuration. Its names repeat often, and it is
// sent to every VM, including those with the least bandwidth.
func configFrame(revision int, value []byte) ([]byte, error) {
	var compressed bytes.Buffer
	w, err := flate.NewWriter(&compressed, flate.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("compress configuration: %w", err)
	}
	if _, err := w.Write(value); err != nil {
		return nil, fmt.Errorf("compress configuration: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("compress configuration: %w", err)
	}
	return link.Encode(&wire.Message{ConfigState: &wire.ConfigState{Revision: revision, Value: compressed.String()}})
}

// maxConfigBytes bounds the size of a decompressed configuration. The store accepts at most one
// megabyte.
const maxConfigBytes = 4 << 20

func decompressConfig(s *wire.ConfigState) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader([]byte(s.Value)))
	value, err := io.ReadAll(io.LimitReader(r, maxConfigBytes))
	if err != nil {
		return nil, fmt.Errorf("decompress configuration: %w", err)
	}
	return value, nil
}

// stateList converts server states to their wire form.
func stateList(states []backs.State) []wire.ServerState {
	list := make([]wire.ServerState, 0, len(states))
	for _, s := range states {
		state := wire.ServerState{
			Server: s.ID, Name: s.Name, BornMs: toUnixMillis(s.StartedAt), Unreadable: s.Unreadable, Service: s.Service, Address: s.Address, Domain: s.Domain, Slots: s.Slots, Draining: s.Draining,
			Version: s.SoftwareVersion,
			Gone:    s.Removed, HoldMs: int(s.ReadmitAfter.Milliseconds()), ColdMs: int(s.WarmupRemaining.Milliseconds()), Models: []wire.HeldModel{},
		}
		for _, m := range s.Models {
			state.Models = append(state.Models, wire.HeldModel{Name: m.Model, Adapters: append([]string{}, m.Adapters...)})
		}
		list = append(list, state)
	}
	return list
}

// stateOf converts a server state from its wire form.
func stateOf(s wire.ServerState) backs.State {
	state := backs.State{Removed: s.Gone, Unreadable: s.Unreadable, ReadmitAfter: time.Duration(s.HoldMs) * time.Millisecond, Entry: backs.Entry{
		ID: s.Server, Name: s.Name, StartedAt: fromUnixMillis(s.BornMs), Service: s.Service, Address: s.Address, Domain: s.Domain, SoftwareVersion: s.Version, Slots: s.Slots, Draining: s.Draining,
		WarmupRemaining: time.Duration(s.ColdMs) * time.Millisecond,
	}}
	for _, m := range s.Models {
		state.Models = append(state.Models, backs.LoadedModel{Model: m.Name, Adapters: m.Adapters})
	}
	return state
}

// toUnixMillis returns t in Unix milliseconds, or 0 for the zero time.
func toUnixMillis(t time.Time) int {
	if t.IsZero() {
		return 0
	}
	return int(t.UnixMilli())
}

// fromUnixMillis is the inverse of toUnixMillis.
func fromUnixMillis(ms int) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return time.UnixMilli(int64(ms))
}

// loadList converts loads to their wire form. Servers without running requests are omitted.
func loadList(loads map[string]pick.Load) []wire.ServerLoad {
	list := make([]wire.ServerLoad, 0, len(loads))
	for id, l := range loads {
		if l.Running != 0 {
			list = append(list, wire.ServerLoad{Server: id, Running: l.Running, ReadingUs: int(l.PrefillTime.Microseconds()), Tokens: l.KVTokens, Adapters: l.Adapters, ZzPrefillUs: prefillList(l)})
		}
	}
	return list
}

// prefillList converts the prefill by priority to its wire form. It is empty if all of it is of
// priority 0, which receivers assume of a load without the list.
func prefillList(l pick.Load) []int {
	n := pick.ServerPriorities
	for n > 0 && l.Prefill(n-1).Microseconds() == 0 {
		n--
	}
	if n <= 1 {
		return nil
	}
	list := make([]int, n)
	for p := range list {
		list[p] = int(l.Prefill(p).Microseconds())
	}
	return list
}

// loadsOf converts loads from their wire form.
func loadsOf(list []wire.ServerLoad) map[string]pick.Load {
	loads := make(map[string]pick.Load, len(list))
	for _, l := range list {
		parts := make([]time.Duration, len(l.ZzPrefillUs))
		for p, us := range l.ZzPrefillUs {
			parts[p] = time.Duration(us) * time.Microsecond
		}
		load := pick.Load{Running: l.Running, PrefillTime: time.Duration(l.ReadingUs) * time.Microsecond, KVTokens: l.Tokens, Adapters: l.Adapters}
		loads[l.Server] = load.WithPrefill(parts)
	}
	return loads
}

// demandOf converts demand from its wire form.
func demandOf(list []wire.ModelWant) []steer.ModelDemand {
	demand := make([]steer.ModelDemand, 0, len(list))
	for _, d := range list {
		demand = append(demand, steer.ModelDemand{Service: d.Service, Model: d.Model, Adapter: d.Adapter, Requests: d.Requests, ServerTime: time.Duration(d.TimeUs) * time.Microsecond})
	}
	return demand
}

// demandList converts demand to its wire form.
func demandList(demand []steer.ModelDemand) []wire.ModelWant {
	list := make([]wire.ModelWant, 0, len(demand))
	for _, d := range demand {
		list = append(list, wire.ModelWant{Service: d.Service, Model: d.Model, Adapter: d.Adapter, Requests: d.Requests, TimeUs: int(d.ServerTime.Microseconds())})
	}
	return list
}
