package batch

import "time"

// AtPace returns the spec of a server whose work takes pace times as long.
func (s Spec) AtPace(pace float64) Spec {
	if pace == 1 {
		return s
	}
	s.StepTime = time.Duration(float64(s.StepTime) * pace)
	s.StepTimePerRequest = time.Duration(float64(s.StepTimePerRequest) * pace)
	s.PrefillTokensPerMs /= pace
	return s
}
