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
func (s *Registry) AddCounter(name string, n int64) {
	metrics.GetOrRegisterCounter(name, s.registry).Inc(n)
}

// CounterValue returns the value of a counter.
func (s *Registry) CounterValue(name string) int64 {
	return metrics.GetOrRegisterCounter(name, s.registry).Count()
}

// SetGauge sets a gauge to v.
func (s *Registry) SetGauge(name string, v int64) {
	metrics.GetOrRegisterGauge(name, s.registry).Update(v)
}

// RecordDuration records a duration in a timer.
func (s *Registry) RecordDuration(name string, d time.Duration) {
	metrics.GetOrRegisterTimer(name, s.registry).Update(d)
}

// ServeHTTP serves the metrics as JSON.
func (s *Registry) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	metrics.WriteJSONOnce(s.registry, w)
}

// ServeText serves the metrics as text, with one value per line.
func (s *Registry) ServeText(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	metrics.WriteOnce(s.registry, w)
}
