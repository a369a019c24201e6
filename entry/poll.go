package entry

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"time"

	"github.com/hibiscuscart/hibiscuscart/httpx"
	"github.com/hibiscuscart/hibiscuscart/pause"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

const (
	pollInterval = 200 * time.Millisecond
	pollTimeout  = time.Second
)

// pollServers polls every backend server for its load and its cache events.
func (d *Daemon) pollServers(ctx context.Context) {
	inFlight := &sync.Map{}
	for pause.For(ctx, pollInterval) {
		for _, server := range d.fleet.Servers() {
			// A server that has not replied is not polled a second time in
			// parallel.
			if _, polling := inFlight.LoadOrStore(server.Name, true); polling {
				continue
			}
			go func() {
				defer inFlight.Delete(server.Name)
				d.pollServer(ctx, server)
			}()
		}
	}
}

func (d *Daemon) pollServer(ctx context.Context, server wire.Server) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	fetchReport := d.engines.LoadReport
	if server.Backend == wire.ServerBackendService {
		fetchReport = d.plain.LoadReport
	}
	report, err := fetchReport(ctx, server.Address)
	var resting *httpx.RestingError
	if errors.As(err, &resting) {
		return
	}
	if err != nil {
		d.meter.AddCounter("poll.failed", 1)
		return
	}
	d.fleet.SetReport(d.now(), server.Name, report)
	if server.Backend == wire.ServerBackendEngine {
		d.pollCacheEvents(ctx, server)
	}
}

func (d *Daemon) pollCacheEvents(ctx context.Context, server wire.Server) {
	events, err := d.engines.CacheEvents(ctx, server.Address, d.fleet.LastCacheEvent(server.Name))
	if err != nil {
		d.meter.AddCounter("poll.failed", 1)
		return
	}
	d.fleet.AddCacheEvents(server.Name, events, parsePrefixHash)
}

func parsePrefixHash(text string) (uint64, error) { return strconv.ParseUint(text, 16, 64) }
