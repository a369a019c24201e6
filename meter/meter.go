// Package meter records the metrics of a VM and serves them over HTTP.
package meter

import (
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"
)

// Set holds the metrics of one VM. Each VM of a process has its own registry, so
// that a demo with several VMs does not sum their metrics.
type Set struct {
	registry metrics.Registry
}

// New returns an empty Set.
func New() *Set { return &Set{registry: metrics.NewRegistry()} }

// Count adds n to a counter.
func (s *Set) Count(name string, n int64) {
	metrics.GetOrRegisterCounter(name, s.registry).Inc(n)
}

// Counter returns the value of a counter.
func (s *Set) Counter(name string) int64 {
	return metrics.GetOrRegisterCounter(name, s.registry).Count()
}

// Gauge sets a gauge to v.
func (s *Set) Gauge(name string, v int64) {
	metrics.GetOrRegisterGauge(name, s.registry).Update(v)
}

// Time records a duration in a timer.
func (s *Set) Time(name string, d time.Duration) {
	metrics.GetOrRegisterTimer(name, s.registry).Update(d)
}

// ServeHTTP serves the metrics as JSON.
func (s *Set) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	metrics.WriteJSONOnce(s.registry, w)
}

// ServeText serves the metrics as text, with one value per line.
func (s *Set) ServeText(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	metrics.WriteOnce(s.registry, w)
}
