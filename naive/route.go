package naive

import "github.com/hibiscuscart/hibiscuscart/fleet"

// LeastLoaded returns the candidate with the lowest reported load. It ignores failure domains, cached
// prefixes and the age of the reports. It reports false if there are no candidates.
func LeastLoaded(candidates []fleet.Candidate) (fleet.Candidate, bool) {
	if len(candidates) == 0 {
		return fleet.Candidate{}, false
	}
	best := candidates[0]
	for _, c := range candidates[1:] {
		if c.ReportedLoad < best.ReportedLoad {
			best = c
		}
	}
	return best, true
}
