package entry

import (
	"encoding/json"
	"net/http"

	"github.com/hibiscuscart/hibiscuscart/link"
)

// peerHandler serves the links of peers and operators, and the metrics.
func (d *Daemon) peerHandler() http.Handler {
	acceptor := &link.Acceptor{
		Hello: d.peers.hello, Keys: d.config.LinkKeys, MaxFrameBytes: d.config.MaxFrameBytes, Serve: d.peers.serve, CountBytes: d.peers.countBytes,
		OnRefused: func(err error) {
			d.meter.AddCounter("peers.links_refused", 1)
			d.log.Warn().Err(err).Msg("refused link of peer or operator")
		},
	}
	mux := http.NewServeMux()
	mux.Handle(link.Path, acceptor)
	mux.Handle("GET /metrics", d.metricsHandler())
	mux.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", d.readyz)
	return mux
}

// metricsHandler updates the gauges before it serves the metrics.
func (d *Daemon) metricsHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		running, waiting := d.admission.requestCounts()
		d.meter.SetGauge("admit.running", int64(running))
		d.meter.SetGauge("admit.waiting", int64(waiting))
		d.meter.ServeHTTP(w, r)
	})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
