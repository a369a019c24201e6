package load

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/hibiscuscart/hibiscuscart"
)

// Violations counts the violated guarantees that callers and stand-ins observed.
// All must be 0.
type Violations struct {
	Overcommits       int `json:"overcommits"`
	DoubleRuns        int `json:"double_runs"`
	LostAnswers       int `json:"lost_answers"`
	WrongAnswers      int `json:"wrong_answers"`
	FalseNotRun       int `json:"false_not_run"`
	UnreachableModels int `json:"unreachable_models"`
	CutOffInShutdown  int `json:"cut_off_in_shutdown"`
	ConfigReverts     int `json:"config_reverts"`
}

// TotalViolations returns the total number of violations.
func (v Violations) TotalViolations() int {
	return v.Overcommits + v.DoubleRuns + v.LostAnswers + v.WrongAnswers + v.FalseNotRun +
		v.UnreachableModels + v.CutOffInShutdown + v.ConfigReverts
}

// ClassSummary is the summary of one class, or of all classes.
type ClassSummary struct {
	Class            string  `json:"class"`
	Sent             int     `json:"sent"`
	Complete         int     `json:"whole"`
	NotRun           int     `json:"not_run"`
	Unknown          int     `json:"unknown"`
	Repeated         int     `json:"repeated"`
	Attainment       float64 `json:"attainment"`
	Tokens           int     `json:"tokens"`
	FirstTokenP50    float64 `json:"first_token_p50_ms"`
	FirstTokenP95    float64 `json:"first_token_p95_ms"`
	FirstTokenP99    float64 `json:"first_token_p99_ms"`
	TokenIntervalP50 float64 `json:"between_tokens_p50_ms"`
	TokenIntervalP95 float64 `json:"between_tokens_p95_ms"`
	TokenIntervalP99 float64 `json:"between_tokens_p99_ms"`
	ResponseP50      float64 `json:"answer_p50_ms"`
	ResponseP95      float64 `json:"answer_p95_ms"`
	ResponseP99      float64 `json:"answer_p99_ms"`
}

// Summary is the summary of all results.
type Summary struct {
	Violations Violations     `json:"promises"`
	Total      ClassSummary   `json:"total"`
	Classes    []ClassSummary `json:"classes"`
	Failures   map[string]int `json:"failures"`
	// Examples describes the first 8 violations.
	Examples []string `json:"examples,omitempty"`
}

const (
	histogramLow    = 1
	histogramHigh   = int64(time.Hour / time.Microsecond)
	histogramDigits = 3
)

// aggregator accumulates results for one ClassSummary.
type aggregator struct {
	summary                             ClassSummary
	attained                            int
	counted                             int
	firstToken, tokenInterval, response *hdrhistogram.Histogram
}

func newAggregator(name string) *aggregator {
	h := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(histogramLow, histogramHigh, histogramDigits)
	}
	return &aggregator{summary: ClassSummary{Class: name}, firstToken: h(), tokenInterval: h(), response: h()}
}

// Summarize summarizes results. runs maps each request to its number of executions,
// as counted by the stand-ins.
func Summarize(classes []Class, results []Result, runs map[string]int) Summary {
	s := Summary{Failures: make(map[string]int)}
	total := newAggregator("total")
	perClass := make([]*aggregator, len(classes))
	for i, c := range classes {
		perClass[i] = newAggregator(c.Name)
	}
	sendCounts := countSends(results)
	for _, r := range results {
		class := classes[r.Arrival.Class]
		repeated := sendCounts[r.Arrival.ID] > 1
		perClass[r.Arrival.Class].add(class, r, repeated)
		total.add(class, r, repeated)
		s.countViolation(r, runs, repeated)
	}
	s.countExtraRuns(classes, results, runs)
	s.Total = total.summarize()
	for _, g := range perClass {
		s.Classes = append(s.Classes, g.summarize())
	}
	return s
}

// countSends returns how often each request was sent.
func countSends(results []Result) map[string]int {
	counts := make(map[string]int, len(results))
	for _, r := range results {
		counts[r.Arrival.ID]++
	}
	return counts
}

func (g *aggregator) add(class Class, r Result, repeated bool) {
	g.summary.Sent++
	if repeated {
		g.summary.Repeated++
	}
	switch r.Verdict {
	case VerdictCorrect:
		g.summary.Complete++
		g.summary.Tokens += r.Tokens
		g.recordDurations(r)
	case VerdictFailed:
		if r.Outcome == hibiscuscart.OutcomeNotRun {
			g.summary.NotRun++
		}
		if r.Outcome == hibiscuscart.OutcomeUnknown {
			g.summary.Unknown++
		}
	case VerdictUnreachable:
		g.summary.NotRun++
	}
	if repeated && r.Verdict != VerdictCorrect {
		return
	}
	g.counted++
	if meetsObjectives(class, r) {
		g.attained++
	}
}

func (g *aggregator) recordDurations(r Result) {
	_ = g.response.RecordValue(r.Duration.Microseconds())
	if r.Tokens > 0 {
		_ = g.firstToken.RecordValue(r.TimeToFirstToken.Microseconds())
	}
	for _, gap := range r.TokenIntervals {
		_ = g.tokenInterval.RecordValue(gap.Microseconds())
	}
}

// meetsObjectives reports whether a request met its profile's objectives. The mean
// time between tokens counts, because a user does not notice one slow token in a
// long response.
func meetsObjectives(class Class, r Result) bool {
	p := class.Profile
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	if r.Verdict != VerdictCorrect || r.Duration > ms(p.WholeAnswerMs) {
		return false
	}
	if r.Tokens == 0 {
		return true
	}
	if r.TimeToFirstToken > ms(p.FirstTokenMs) {
		return false
	}
	var sum time.Duration
	for _, gap := range r.TokenIntervals {
		sum += gap
	}
	return len(r.TokenIntervals) == 0 || sum/time.Duration(len(r.TokenIntervals)) <= ms(p.BetweenTokensMs)
}

func (g *aggregator) summarize() ClassSummary {
	summary := g.summary
	if g.counted > 0 {
		summary.Attainment = float64(g.attained) / float64(g.counted)
	}
	ms := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	summary.FirstTokenP50, summary.FirstTokenP95, summary.FirstTokenP99 = ms(g.firstToken, 50), ms(g.firstToken, 95), ms(g.firstToken, 99)
	summary.TokenIntervalP50, summary.TokenIntervalP95, summary.TokenIntervalP99 = ms(g.tokenInterval, 50), ms(g.tokenInterval, 95), ms(g.tokenInterval, 99)
	summary.ResponseP50, summary.ResponseP95, summary.ResponseP99 = ms(g.response, 50), ms(g.response, 95), ms(g.response, 99)
	return summary
}

// countViolation counts the guarantee that a result violates, if any.
func (s *Summary) countViolation(r Result, runs map[string]int, repeated bool) {
	switch r.Verdict {
	case VerdictWrong:
		s.Violations.WrongAnswers++
		s.addExample("wrong answer", r)
	case VerdictIncomplete:
		s.Violations.LostAnswers++
		s.addExample("lost answer", r)
	case VerdictFailed:
		s.Failures[r.Code+"/"+r.Outcome.String()]++
		// If a key was sent twice, one response may report that the request
		// was not run although the other one ran.
		if r.Outcome == hibiscuscart.OutcomeNotRun && runs[r.Arrival.ID] > 0 && !repeated {
			s.Violations.FalseNotRun++
			s.addExample("false not_run", r)
		}
	case VerdictDisconnected:
		s.Failures["connection_broke"]++
	case VerdictUnreachable:
		s.Failures["no_vm_reached"]++
	}
}

func (s *Summary) countExtraRuns(classes []Class, results []Result, runs map[string]int) {
	seen := make(map[string]bool)
	for _, r := range results {
		id := r.Arrival.ID
		allowed := classes[r.Arrival.Class].Profile.RunsAllowed
		if !seen[id] && runs[id] > allowed {
			s.Violations.DoubleRuns++
			s.addExample(fmt.Sprintf("%d runs", runs[id]), r)
		}
		seen[id] = true
	}
}

func (s *Summary) addExample(violation string, r Result) {
	if len(s.Examples) < 8 {
		s.Examples = append(s.Examples, fmt.Sprintf("%s: request %s status %d code %q: %s", violation, r.Arrival.ID, r.Status, r.Code, r.Detail))
	}
}

// WriteTable writes the summary as a table.
func (s Summary) WriteTable(out io.Writer) error {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "class\tsent\twhole\tnot_run\tunknown\tattainment\tfirst token p50/p95/p99 ms\tbetween p50/p95/p99 ms\tanswer p50/p95/p99 ms\t")
	for _, class := range append(s.Classes, s.Total) {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%.4f\t%.1f/%.1f/%.1f\t%.1f/%.1f/%.1f\t%.1f/%.1f/%.1f\t\n",
			class.Class, class.Sent, class.Complete, class.NotRun, class.Unknown, class.Attainment,
			class.FirstTokenP50, class.FirstTokenP95, class.FirstTokenP99,
			class.TokenIntervalP50, class.TokenIntervalP95, class.TokenIntervalP99,
			class.ResponseP50, class.ResponseP95, class.ResponseP99)
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	violations := s.Violations
	fmt.Fprintf(out, "broken promises: overcommits %d, double_runs %d, lost_answers %d, wrong_answers %d, ",
		violations.Overcommits, violations.DoubleRuns, violations.LostAnswers, violations.WrongAnswers)
	fmt.Fprintf(out, "false_not_run %d, unreachable_models %d, cut_off_in_shutdown %d, config_reverts %d\n",
		violations.FalseNotRun, violations.UnreachableModels, violations.CutOffInShutdown, violations.ConfigReverts)
	for code, n := range s.Failures {
		fmt.Fprintf(out, "failures: %s %d\n", code, n)
	}
	for _, e := range s.Examples {
		fmt.Fprintln(out, "example:", e)
	}
	return nil
}
