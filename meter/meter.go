// Package meter has the names of the system's metrics and serves them.
package meter

import (
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"
)

// Set is the metrics of one VM. Each VM of a process has its own registry, so
// that a demo of several VMs does not add them up.
type Set struct {
	registry metrics.Registry
}

// New returns an empty Set.
func New() *Set { return &Set{registry: metrics.NewRegistry()} }

// Count adds to a counter.
func (s *Set) Count(name string, n int64) {
	metrics.GetOrRegisterCounter(name, s.registry).Inc(n)
}

// Counter returns the value of a counter.
func (s *Set) Counter(name string) int64 {
	return metrics.GetOrRegisterCounter(name, s.registry).Count()
}

// Gauge sets a gauge.
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

// ServeText serves the metrics as text, one value a line.
func (s *Set) ServeText(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	metrics.WriteOnce(s.registry, w)
}
