package gauge

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// reportedTime is the time constant of the mean of the readings of a server. With a shorter one the estimates deviate more,
	// a longer one follows a lasting change later.
	reportedTime = 8 * time.Second
	// observedTime is the time constant of the mean of the observed ratios. A single ratio deviates more than a reading, and a
	// bound needs to follow less quickly than an estimate.
	observedTime = 20 * time.Second
	// ownTime is the time constant of the mean of this VM's own readings of a server: three readings at one in ten seconds.
	ownTime = 30 * time.Second
	// ownPriorReadings is how many readings the steady pace counts for in that mean.
	ownPriorReadings = 3
	// minResponses is the weight of the observed ratios from which they bound the reported pace. The mean of so many deviates by
	// far less than trustFactor.
	minResponses = 8
	// minScaleReadings is the weight of the readings of a server from which it takes part in the scale between reported and
	// observed paces.
	minScaleReadings = 2
	// trustFactor is how far a reported pace may be from the observed one, as specified.
	trustFactor = 2
	// trustAgainFactor is within what factor of the observed pace a reported one has to be for the next difference to be told
	// anew, so that a pace around the bound is not told many times.
	trustAgainFactor = 1.4
	// hubReadings is how many readings an estimate of the hub counts for, at most: those of reportedTime.
	hubReadings = 40
	// meanReadings is how many readings the mean of the service counts for where there is no estimate of the hub, so that a
	// single reading in a spell does not pass for the steady pace.
	meanReadings = 1
	// maxHubEstimateAge is the age from which an estimate of a hub that still sends others is not used. The hub repeats
	// each within some two minutes, in fleets of 1,500 servers as well.
	maxHubEstimateAge = 5 * time.Minute
	// recomputeInterval is the time for which the trusted paces of a service are reused. A request looks at the paces of all
	// servers of its service, and those do not change perceptibly in a tenth of a second.
	recomputeInterval = 100 * time.Millisecond
)

// mean is a moving mean whose weights fall exponentially.
type mean struct {
	weight, sum float64
	// at is the time that the weights are as of, last when a value was added.
	at, last time.Time
}

// add adds a number of values with a sum.
func (m *mean) add(now time.Time, timeConstant time.Duration, count, sum float64) {
	m.decay(now, timeConstant)
	m.weight += count
	m.sum += sum
	m.last = now
}

func (m *mean) decay(now time.Time, timeConstant time.Duration) {
	if m.weight == 0 || now.Sub(m.last) >= estimateLife {
		*m = mean{at: now}
		return
	}
	if age := now.Sub(m.at); age > 0 {
		factor := math.Exp(-age.Seconds() / timeConstant.Seconds())
		m.weight, m.sum, m.at = m.weight*factor, m.sum*factor, now
	}
}

func (m *mean) value() float64 { return m.sum / m.weight }

// hubEstimate is an estimate of the hub; a pace of 0 means none.
type hubEstimate struct {
	pace float64
	at   time.Time
}

// serverState is what is known of one server. All paces in it but the readings are relative to the service.
type serverState struct {
	id, service string
	// joined is set once the server is in the list of its service.
	joined bool
	// reported is the mean of the paces that the server reported to this VM and to those below it, observed that of the
	// ratios in its responses, own that of the paces it reported to this VM before the last one.
	reported, observed, own mean
	lastReading             float64
	lastReadingAt           time.Time
	// trusted is the pace of the server by reported and observed, trustedWeight the number of readings or responses behind
	// it; 0 if there are none.
	trusted, trustedWeight float64
	distrusted             bool
	hub                    hubEstimate
	// pending is what the hub has not been told, since pendingSince. told is the pace that linked VMs were told last, at
	// toldAt; 0 if none.
	pending      Sample
	pendingSince time.Time
	told         float64
	toldAt       time.Time
}

// serviceState is what the servers of one service have in common.
type serviceState struct {
	// servers are sorted by ID, so that sums over them are the same each time.
	servers    []*serverState
	computedAt time.Time
	// unknown is set for the servers whose service is not known yet. They have only the estimates of the hub.
	unknown bool
	// reports is set if a server has reported a pace to this VM, to those below it or to the hub. usualReading is the
	// reading that a server with a pace of 1 is expected to report, 0 if this VM and those below it know none.
	reports      bool
	usualReading float64
}

// server returns the state of a server. g.mu is held.
func (g *Gauge) server(id string) *serverState {
	s := g.servers[id]
	if s == nil {
		if g.servers == nil {
			g.servers = make(map[string]*serverState)
		}
		s = &serverState{id: id}
		g.servers[id] = s
		g.join(s)
	}
	return s
}

// join adds a server to its service as it is known now. g.mu is held.
func (g *Gauge) join(s *serverState) {
	name := ""
	if g.Service != nil {
		name = g.Service(s.id)
	}
	if s.joined && name == s.service {
		return
	}
	if s.joined {
		g.leave(s)
	}
	if g.services == nil {
		g.services = make(map[string]*serviceState)
	}
	svc := g.services[name]
	if svc == nil {
		svc = &serviceState{unknown: name == "" && g.Service != nil}
		g.services[name] = svc
	}
	i, _ := slices.BinarySearchFunc(svc.servers, s.id, compareID)
	svc.servers = slices.Insert(svc.servers, i, s)
	svc.computedAt = time.Time{}
	s.service, s.joined = name, true
}

// leave removes a server from its service. g.mu is held.
func (g *Gauge) leave(s *serverState) {
	svc := g.services[s.service]
	if i, found := slices.BinarySearchFunc(svc.servers, s.id, compareID); found {
		svc.servers = slices.Delete(svc.servers, i, i+1)
	}
	if len(svc.servers) == 0 {
		delete(g.services, s.service)
	}
}

func compareID(s *serverState, id string) int { return cmp.Compare(s.id, id) }

// service returns the service of a server with its paces as of now. g.mu is held.
func (g *Gauge) service(now time.Time, s *serverState) *serviceState {
	if s.service == "" && g.Service != nil {
		g.join(s)
		if unknown := g.services[""]; s.service != "" && unknown != nil {
			// The list of servers has arrived. A service has to be whole, as paces are relative to it.
			for _, other := range slices.Clone(unknown.servers) {
				g.join(other)
			}
		}
	}
	svc := g.services[s.service]
	if age := now.Sub(svc.computedAt); svc.computedAt.IsZero() || age < 0 || age >= recomputeInterval {
		g.compute(now, svc)
	}
	return svc
}

// steady returns the steady pace of a server: the estimate of the hub, or the mean of its service, combined with what this VM and
// those below it have learned. It reports false if nothing is known. g.mu is held.
func (g *Gauge) steady(now time.Time, s *serverState, svc *serviceState) (float64, bool) {
	pace, weight := 1.0, float64(meanReadings)
	hub := g.hubPace(now, s)
	if hub > 0 {
		pace, weight = hub, g.hubWeight(now)
	}
	if s.trustedWeight <= 0 || svc.usualReading <= 0 {
		return pace, hub > 0
	}
	return clampPace((weight*pace + s.trustedWeight*s.trusted) / (weight + s.trustedWeight)), true
}

// hubPace returns the hub's estimate for a server, 0 if there is none that is still in use. g.mu is held.
func (g *Gauge) hubPace(now time.Time, s *serverState) float64 {
	if s.hub.pace == 0 || now.Sub(g.mergedAt) >= estimateLife || now.Sub(s.hub.at) >= maxHubEstimateAge {
		return 0
	}
	return s.hub.pace
}

// hubWeight returns how many readings an estimate of the hub counts for. It falls once the hub sends none, so that a VM that has
// become the controller goes over to what it hears itself. g.mu is held.
func (g *Gauge) hubWeight(now time.Time) float64 {
	return hubReadings * math.Exp(-max(now.Sub(g.mergedAt), 0).Seconds()/reportedTime.Seconds())
}

// compute computes the trusted paces of the servers of a service. g.mu is held.
func (g *Gauge) compute(now time.Time, svc *serviceState) {
	svc.computedAt = now
	svc.usualReading, svc.reports = 0, false
	heard := false
	for _, s := range svc.servers {
		s.reported.decay(now, reportedTime)
		s.observed.decay(now, observedTime)
		s.own.decay(now, ownTime)
		s.trusted, s.trustedWeight = 0, 0
		heard = heard || s.reported.weight > 0
		svc.reports = svc.reports || heard || g.hubPace(now, s) > 0
	}
	if !heard || svc.unknown {
		return
	}
	scale, scaled := svc.reportScale()
	for _, s := range svc.servers {
		g.trust(s, scale, scaled)
	}
	g.normalize(now, svc)
	svc.usualReading = svc.readingScale()
}

// reportScale returns the factor between the reported and the observed paces of a service. It is the median over its servers, so
// that it holds as long as less than half of them report nonsense. It reports false if no server has both paces.
func (svc *serviceState) reportScale() (float64, bool) {
	var scales []float64
	for _, s := range svc.servers {
		if s.reported.weight >= minScaleReadings && s.observed.weight >= minResponses {
			scales = append(scales, s.reported.value()/s.observed.value())
		}
	}
	if len(scales) == 0 {
		return 1, false
	}
	slices.Sort(scales)
	middle := len(scales) / 2
	if len(scales)%2 == 0 {
		return math.Sqrt(scales[middle-1] * scales[middle]), true
	}
	return scales[middle], true
}

// trust sets the trusted pace of a server, on the scale of the observed paces, or of the reported ones if there are too few
// observed ones. g.mu is held.
func (g *Gauge) trust(s *serverState, scale float64, scaled bool) {
	enough := scaled && s.observed.weight >= minResponses
	switch {
	case s.reported.weight > 0:
		s.trusted, s.trustedWeight = s.reported.value()/scale, s.reported.weight
	case enough:
		s.trusted, s.trustedWeight = s.observed.value(), s.observed.weight
	}
	if s.reported.weight == 0 || !enough {
		s.distrusted = false
		return
	}
	observed := s.observed.value()
	bounded := min(max(s.trusted, observed/trustFactor), observed*trustFactor)
	switch {
	case bounded != s.trusted && !s.distrusted:
		g.distrusted = append(g.distrusted, Distrust{Server: s.id, Reported: s.trusted, Observed: observed})
		s.distrusted = true
	case s.trusted >= observed/trustAgainFactor && s.trusted <= observed*trustAgainFactor:
		s.distrusted = false
	}
	s.trusted = bounded
}

// normalize makes the trusted paces of a service relative to its mean: that of the hub's estimates where there are any, which cover
// more servers than those that this VM has heard, and otherwise that of the paces themselves. Without it, the paces and the rates
// that are measured under them could drift together. g.mu is held.
func (g *Gauge) normalize(now time.Time, svc *serviceState) {
	hubSum, hubTrusted, sum, count := 0.0, 0.0, 0.0, 0
	for _, s := range svc.servers {
		if s.trustedWeight <= 0 {
			continue
		}
		sum += s.trusted
		count++
		if hub := g.hubPace(now, s); hub > 0 {
			weight := min(s.trustedWeight, hubReadings)
			hubSum += weight * hub
			hubTrusted += weight * s.trusted
		}
	}
	factor := 1.0
	switch {
	case hubTrusted > 0:
		factor = hubSum / hubTrusted
	case count > 0:
		factor = float64(count) / sum
	}
	for _, s := range svc.servers {
		s.trusted *= factor
	}
}

// readingScale returns the reading that a server with a pace of 1 is expected to report.
func (svc *serviceState) readingScale() float64 {
	reported, trusted := 0.0, 0.0
	for _, s := range svc.servers {
		if s.reported.weight > 0 {
			reported += s.reported.sum
			trusted += s.reported.weight * s.trusted
		}
	}
	return reported / trusted
}
