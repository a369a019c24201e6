package bench

import (
	"context"
	"time"

	"github.com/hibiscuscart/hibiscuscart/demo"
	"github.com/hibiscuscart/hibiscuscart/load"
	"github.com/hibiscuscart/hibiscuscart/pause"
	"github.com/hibiscuscart/hibiscuscart/stand"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

type stormReport struct {
	CommonReport
	latencyReport
	naiveLatencyReport
	Amplification      float64 `json:"amplification"`
	NaiveAmplification float64 `json:"naive_amplification"`
}

const stormEngines = 6

// storm kills a third of the servers under load. The remaining servers are
// overloaded and refuse requests.
func storm(ctx context.Context, o Options) (Report, error) {
	profile := engineProfile("label", 1, 3)
	profile.FirstTokenMs, profile.WholeAnswerMs = 1000, 6000
	profile.ConcurrencyLimit, profile.QueueLimit = stormEngines*16, 4096
	duration := o.duration(12 * time.Second)
	t := trial{
		spec: deploymentSpec{
			domains: 2, vmsPerDomain: 1, engines: stormEngines, slots: 16,
			firstToken: 20 * time.Millisecond, betweenTokens: 5 * time.Millisecond,
		},
		profiles: []wire.Profile{profile},
		classes:  []load.Class{{Name: "label", Profile: profile, Rate: 420, MaxTokens: 40}},
		duration: duration,
		setUp: func(deployment *demo.Deployment) {
			for _, doc := range deployment.Servers() {
				deployment.Engine(doc.Name).SetResident("label-1", "", 1, 1<<30)
				deployment.Engine(doc.Name).QueueLimit = 4
			}
			time.Sleep(time.Second)
		},
		injectFaults: func(ctx context.Context, deployment *demo.Deployment) int {
			pause.For(ctx, duration/3)
			deployment.KillServer("llm-1")
			deployment.KillServer("llm-2")
			return 2
		},
	}
	system, baseline, err := t.runPair(ctx, o)
	if err != nil {
		return nil, err
	}
	report := stormReport{CommonReport: t.commonReport("storm", o, system)}
	report.latencyReport = newLatencyReport(system.summary.Total, stormEngines)
	report.naiveLatencyReport = naiveLatencyReport(newLatencyReport(baseline.summary.Total, stormEngines))
	report.Amplification = float64(system.attempts) / float64(system.summary.Total.Sent)
	report.NaiveAmplification = float64(baseline.attempts) / float64(baseline.summary.Total.Sent)
	return report, report.violationError()
}

type streamsReport struct {
	CommonReport
	latencyReport
	naiveLatencyReport
	WholeShare      float64 `json:"whole_share"`
	NaiveWholeShare float64 `json:"naive_whole_share"`
	StreamsCut      int64   `json:"streams_cut"`
}

// streams breaks connections of streams, repeats frames, mixes in frames of other
// attempts, and kills one server. The baseline does not resume streams.
func streams(ctx context.Context, o Options) (Report, error) {
	draft, issue := engineProfile("draft", 1, 3), engineProfile("issue", 1, 1)
	duration := o.duration(10 * time.Second)
	faults := stand.EngineFaults{DisconnectShare: 0.01, ForeignFrameShare: 0.02, DuplicateShare: 0.02}
	t := trial{
		spec:     deploymentSpec{domains: 2, vmsPerDomain: 1, engines: 4, slots: 32, firstToken: 20 * time.Millisecond, betweenTokens: 5 * time.Millisecond},
		profiles: []wire.Profile{draft, issue},
		classes: []load.Class{
			{Name: "draft", Profile: draft, Rate: 100, MaxTokens: 60},
			{Name: "issue", Profile: issue, Rate: 50, MaxTokens: 60},
		},
		duration: duration,
		setUp: func(deployment *demo.Deployment) {
			for _, doc := range deployment.Servers() {
				deployment.Engine(doc.Name).SetFaults(faults)
			}
		},
		injectFaults: func(ctx context.Context, deployment *demo.Deployment) int {
			pause.For(ctx, duration/2)
			deployment.KillServer("llm-3")
			return 1
		},
	}
	system, baseline, err := t.runPair(ctx, o)
	if err != nil {
		return nil, err
	}
	report := streamsReport{CommonReport: t.commonReport("streams", o, system)}
	report.latencyReport = newLatencyReport(system.summary.Total, 4)
	report.naiveLatencyReport = naiveLatencyReport(newLatencyReport(baseline.summary.Total, 4))
	report.WholeShare = wholeShare(system.summary.Total)
	report.NaiveWholeShare = wholeShare(baseline.summary.Total)
	for _, doc := range system.deployment.Servers() {
		report.StreamsCut += system.deployment.Engine(doc.Name).Counts().Disconnects
	}
	report.FaultsInjected += int(report.StreamsCut)
	return report, report.violationError()
}

func wholeShare(summary load.ClassSummary) float64 {
	return float64(summary.Complete) / float64(max(summary.Sent, 1))
}
