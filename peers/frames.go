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

// configFrame compresses a configuration: its names repeat, and it goes to
// every VM over links of the smallest of them.
func configFrame(revision int, value []byte) ([]byte, error) {
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("compress configuration: %w", err)
	}
	if _, err := w.Write(value); err != nil {
		return nil, fmt.Errorf("compress configuration: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("compress configuration: %w", err)
	}
	return link.Encode(&wire.Message{ConfigState: &wire.ConfigState{Revision: revision, Value: packed.String()}})
}

// configLimit bounds what a compressed configuration may grow to; the store
// holds a megabyte.
const configLimit = 4 << 20

func unpackConfig(s *wire.ConfigState) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader([]byte(s.Value)))
	value, err := io.ReadAll(io.LimitReader(r, configLimit))
	if err != nil {
		return nil, fmt.Errorf("decompress configuration: %w", err)
	}
	return value, nil
}

func statesOf(states []backs.State) []wire.ServerState {
	list := make([]wire.ServerState, 0, len(states))
	for _, s := range states {
		state := wire.ServerState{
			Server: s.ID, Name: s.Name, BornMs: inMillis(s.StartedAt), Unreadable: s.Unreadable, Service: s.Service, Address: s.Address, Domain: s.Domain, Slots: s.Slots, Draining: s.Draining,
			Gone: s.Removed, HoldMs: int(s.ReadmitAfter.Milliseconds()), ColdMs: int(s.WarmupRemaining.Milliseconds()), Models: []wire.HeldModel{},
		}
		for _, h := range s.Models {
			state.Models = append(state.Models, wire.HeldModel{Name: h.Model, Adapters: append([]string{}, h.Adapters...)})
		}
		list = append(list, state)
	}
	return list
}

func stateOf(s wire.ServerState) backs.State {
	state := backs.State{Removed: s.Gone, Unreadable: s.Unreadable, ReadmitAfter: time.Duration(s.HoldMs) * time.Millisecond, Entry: backs.Entry{
		ID: s.Server, Name: s.Name, StartedAt: timeOf(s.BornMs), Service: s.Service, Address: s.Address, Domain: s.Domain, Slots: s.Slots, Draining: s.Draining,
		WarmupRemaining: time.Duration(s.ColdMs) * time.Millisecond,
	}}
	for _, m := range s.Models {
		state.Models = append(state.Models, backs.LoadedModel{Model: m.Name, Adapters: m.Adapters})
	}
	return state
}

// inMillis returns Unix milliseconds, 0 for the zero time; timeOf is its reverse.
func inMillis(t time.Time) int {
	if t.IsZero() {
		return 0
	}
	return int(t.UnixMilli())
}

func timeOf(ms int) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return time.UnixMilli(int64(ms))
}

func loadList(loads map[string]pick.Load) []wire.ServerLoad {
	list := make([]wire.ServerLoad, 0, len(loads))
	for id, l := range loads {
		if l.Running != 0 {
			list = append(list, wire.ServerLoad{Server: id, Running: l.Running, ReadingUs: int(l.Reading.Microseconds()), Tokens: l.Tokens, Adapters: l.Adapters})
		}
	}
	return list
}

func loadsOf(list []wire.ServerLoad) map[string]pick.Load {
	loads := make(map[string]pick.Load, len(list))
	for _, l := range list {
		loads[l.Server] = pick.Load{Running: l.Running, Reading: time.Duration(l.ReadingUs) * time.Microsecond, Tokens: l.Tokens, Adapters: l.Adapters}
	}
	return loads
}

func wantsOf(list []wire.ModelWant) []steer.Want {
	wants := make([]steer.Want, 0, len(list))
	for _, w := range list {
		wants = append(wants, steer.Want{Service: w.Service, Model: w.Model, Adapter: w.Adapter, Requests: w.Requests, Time: time.Duration(w.TimeUs) * time.Microsecond})
	}
	return wants
}

func wantList(wants []steer.Want) []wire.ModelWant {
	list := make([]wire.ModelWant, 0, len(wants))
	for _, w := range wants {
		list = append(list, wire.ModelWant{Service: w.Service, Model: w.Model, Adapter: w.Adapter, Requests: w.Requests, TimeUs: int(w.Time.Microseconds())})
	}
	return list
}
