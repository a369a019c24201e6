package replay

import (
	"cmp"
	"math"
	"time"

	"github.com/hibiscuscart/hibiscuscart/batch"
)

// paceMeanAge is the mean age of the readings in the estimated pace of a server.
const paceMeanAge = 4 * time.Second

// paceEstimate is a moving mean of a server's pace.
type paceEstimate struct {
	value float64
	at    time.Duration
}

// update adds the pace since the last update.
func (e *paceEstimate) update(now time.Duration, pace float64) {
	if e.value == 0 {
		e.value = pace
	}
	weight := 1 - math.Exp(-float64(now-e.at)/float64(paceMeanAge))
	e.value += weight * (pace - e.value)
	e.at = now
}

// pace returns the pace of the server without faults.
func (s *server) pace() float64 {
	paces := s.sim.pattern.Fleet.Paces
	if len(paces) == 0 {
		return 1
	}
	return paces[s.index%len(paces)]
}

// spec returns the capacity and speed of the server without faults.
func (s *server) spec() batch.Spec { return s.sim.pattern.Fleet.ServerSpec.AtPace(s.pace()) }

// slow sets the factor by which the server is slower because of a fault, 1 for none.
func (s *server) slow(factor float64) {
	s.estimate.update(s.sim.now, s.pace()*s.slowdown)
	s.slowdown = factor
	spec := s.spec()
	if factor != 1 {
		spec.StepTime = time.Duration(float64(spec.StepTime) * factor)
		spec.PrefillTokensPerMs /= factor
	}
	s.batch.Spec = spec
}

// estimatedPace returns the pace that the controller is told, 0 if it is unknown.
func (sim *simulation) estimatedPace(_ time.Time, id string) float64 {
	s := sim.serverByID(id)
	if s == nil || s.down || s.index*37%100 < int(100*sim.variant.UnknownPaces) {
		return 0
	}
	s.estimate.update(sim.now, s.pace()*s.slowdown)
	return s.estimate.value
}

// paceOrUsual is like estimatedPace, but returns 1 if the pace is unknown.
func (sim *simulation) paceOrUsual(now time.Time, id string) float64 {
	return cmp.Or(sim.estimatedPace(now, id), 1)
}
