package entry

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/hibiscuscart/hibiscuscart/pause"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

const (
	pollInterval = 200 * time.Millisecond
	pollTimeout  = time.Second
)

// pollServers asks every backend server for its load and its cache events.
func (d *Daemon) pollServers(ctx context.Context) {
	busy := &sync.Map{}
	for pause.For(ctx, pollInterval) {
		for _, server := range d.fleet.Servers() {
			// A server that does not answer is not asked twice at once.
			if _, asked := busy.LoadOrStore(server.Name, true); asked {
				continue
			}
			go func() {
				defer busy.Delete(server.Name)
				d.poll(ctx, server)
			}()
		}
	}
}

func (d *Daemon) poll(ctx context.Context, server wire.Server) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	load := d.engines.LoadReport
	if server.Backend == wire.ServerBackendService {
		load = d.plain.LoadReport
	}
	report, err := load(ctx, server.Address)
	if err != nil {
		d.meter.Count("poll.failed", 1)
		return
	}
	d.fleet.SetReport(d.now(), server.Name, report)
	if server.Backend == wire.ServerBackendEngine {
		d.pollCache(ctx, server)
	}
}

func (d *Daemon) pollCache(ctx context.Context, server wire.Server) {
	events, err := d.engines.CacheEvents(ctx, server.Address, d.fleet.LastCacheEvent(server.Name))
	if err != nil {
		d.meter.Count("poll.failed", 1)
		return
	}
	d.fleet.AddCacheEvents(server.Name, events, parsePrefix)
}

func parsePrefix(text string) (uint64, error) { return strconv.ParseUint(text, 16, 64) }
