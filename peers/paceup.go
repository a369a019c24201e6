package peers

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/hibiscuscart/hibiscuscart/gauge"
)

// Load pattern: each response of a server that reports its pace is a sample, some hundred a second in a failure
// domain, and most of them say what the ones before have said. A relay adds up the samples of its subtree by server.
// What says something new is reported within a second, the rest waits for more to be added.

const (
	// maxPaceSamples bounds the samples in a report, some 35 bytes each. The rest goes with the next one.
	maxPaceSamples = 256
	// maxSampleWait is how long samples wait that say the same as the last ones reported. Three such waits, at a VM
	// and two relays, are within the time constant of the controller's means. With 10 s an estimate was at 1.68
	// after 10 s of readings of 2.2 at ten VMs.
	maxSampleWait = 3 * time.Second
	// readingTolerance is the change of the mean reading of a server from which samples do not wait: estimates
	// that change by less are not sent either. Responses differ from their predicted times by more than that at
	// a steady pace, and only bound what the server reports.
	readingTolerance = 0.1
	ratioTolerance   = 0.5
	// sampleLifetime is the age from which samples that could not be reported are dropped. Estimates are no
	// older.
	sampleLifetime = 30 * time.Second
)

// pendingSample is the sum of the samples of a server that have not been reported, the first of them added at since.
type pendingSample struct {
	sum   gauge.Sample
	since time.Time
}

// sampleSums adds up samples by server until they are due to be reported. The zero value is ready to use.
type sampleSums struct {
	pending map[string]pendingSample
	// reported are the samples last reported to the current hub.
	reported map[string]gauge.Sample
}

// add adds samples.
func (s *sampleSums) add(now time.Time, list []gauge.Sample) {
	if s.pending == nil && len(list) > 0 {
		s.pending = make(map[string]pendingSample)
	}
	for _, sample := range list {
		p, found := s.pending[sample.Server]
		if !found || now.Sub(p.since) >= sampleLifetime {
			p = pendingSample{sum: gauge.Sample{Server: sample.Server}, since: now}
		}
		p.sum.Readings += sample.Readings
		p.sum.PaceSum += sample.PaceSum
		p.sum.Responses += sample.Responses
		p.sum.RatioSum += sample.RatioSum
		s.pending[sample.Server] = p
	}
}

// discard drops what was not reported. A VM that becomes the controller has its own samples in its gauge already, and
// those of its subtree of some seconds are no loss.
func (s *sampleSums) discard() { s.pending = nil }

// take returns the samples that are due, those that have waited longest first.
func (s *sampleSums) take(now time.Time) []gauge.Sample {
	var due []pendingSample
	for server, p := range s.pending {
		age := now.Sub(p.since)
		if age >= sampleLifetime {
			delete(s.pending, server)
			continue
		}
		if last, found := s.reported[server]; !found || age >= maxSampleWait || saysNews(p.sum, last) {
			due = append(due, p)
		}
	}
	slices.SortFunc(due, func(a, b pendingSample) int {
		return cmp.Or(a.since.Compare(b.since), strings.Compare(a.sum.Server, b.sum.Server))
	})
	due = due[:min(len(due), maxPaceSamples)]
	if s.reported == nil {
		s.reported = make(map[string]gauge.Sample)
	}
	list := make([]gauge.Sample, 0, len(due))
	for _, p := range due {
		list = append(list, p.sum)
		s.reported[p.sum.Server] = p.sum
		delete(s.pending, p.sum.Server)
	}
	return list
}

// retain forgets the servers for which used returns false.
func (s *sampleSums) retain(used func(server string) bool) {
	for server := range s.pending {
		if !used(server) {
			delete(s.pending, server)
		}
	}
	for server := range s.reported {
		if !used(server) {
			delete(s.reported, server)
		}
	}
}

// saysNews reports whether samples differ from the last ones by more than the tolerances.
func saysNews(s, last gauge.Sample) bool {
	return meanChanged(s.PaceSum, s.Readings, last.PaceSum, last.Readings, readingTolerance) ||
		meanChanged(s.RatioSum, s.Responses, last.RatioSum, last.Responses, ratioTolerance)
}

func meanChanged(sum float64, count int, lastSum float64, lastCount int, tolerance float64) bool {
	if count == 0 {
		return false
	}
	if lastCount == 0 {
		return true
	}
	last := lastSum / float64(lastCount)
	return math.Abs(sum/float64(count)-last) >= tolerance*last
}
