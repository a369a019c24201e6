// Package meter records the metrics of a VM and serves them over HTTP.
package meter

import (
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"
)

// Registry holds the metrics of one VM. Each VM of a process has its own
// registry, so that a demo with several VMs does not sum their metrics.
type Registry struct {
	registry metrics.Registry
}

// New returns an empty Registry.
func New() *Registry { return &Registry{registry: metrics.NewRegistry()} }

// AddCounter adds n to a counter.
func (r *Registry) AddCounter(name string, n int64) {
	metrics.GetOrRegisterCounter(name, r.registry).Inc(n)
}

// CounterValue returns the value of a counter.
func (r *Registry) CounterValue(name string) int64 {
	return metrics.GetOrRegisterCounter(name, r.registry).Count()
}

// SetGauge sets a gauge to v.
func (r *Registry) SetGauge(name string, v int64) {
	metrics.GetOrRegisterGauge(name, r.registry).Update(v)
}

// GaugeValue returns the value of a gauge.
func (r *Registry) GaugeValue(name string) int64 {
	return metrics.GetOrRegisterGauge(name, r.registry).Value()
}

// RecordDuration records a duration in a timer.
func (r *Registry) RecordDuration(name string, d time.Duration) {
	metrics.GetOrRegisterTimer(name, r.registry).Update(d)
}

// ServeHTTP serves the metrics as JSON.
func (r *Registry) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	metrics.WriteJSONOnce(r.registry, w)
}

// ServeText serves the metrics as text, with one value per line.
func (r *Registry) ServeText(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	metrics.WriteOnce(r.registry, w)
}
