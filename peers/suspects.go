package peers

import (
	"time"

	"github.com/hibiscuscart/hibiscuscart/poison"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

// maxSuspects bounds the suspect requests in a frame and in the lease record. Blocked requests
// take precedence.
const maxSuspects = 64

// mergeCrashes adds the crashes and answered requests of another VM's report to the tracker.
func (p *Peers) mergeCrashes(r *wire.VMReport) {
	report := poison.Report{}
	for _, c := range r.Crashes {
		report.Crashes = append(report.Crashes, poison.Crash{Request: poison.Fingerprint(c.Request), Server: c.Server})
	}
	for _, request := range r.Answered {
		report.Answered = append(report.Answered, poison.Fingerprint(request))
	}
	if !report.Empty() {
		p.Poison.AddReport(p.Now(), report)
	}
}

// addCrashes adds the crashes and answered requests of r to a report to the hub.
func addCrashes(report *wire.VMReport, r poison.Report) {
	for _, c := range r.Crashes {
		report.Crashes = append(report.Crashes, wire.RequestCrash{Request: string(c.Request), Server: c.Server})
	}
	for _, request := range r.Answered {
		report.Answered = append(report.Answered, string(request))
	}
}

// suspectList converts suspects to their wire form, at most maxSuspects of them.
func suspectList(suspects []poison.Suspect) []wire.SuspectRequest {
	var list []wire.SuspectRequest
	for _, s := range suspects[:min(len(suspects), maxSuspects)] {
		list = append(list, wire.SuspectRequest{Request: string(s.Request), Crashes: s.Crashes, LeftMs: int(s.BlockedFor.Milliseconds())})
	}
	return list
}

// blockedList is like suspectList but includes only blocked requests, which must come first in
// suspects.
func blockedList(suspects []poison.Suspect) []wire.SuspectRequest {
	for i, s := range suspects {
		if s.BlockedFor == 0 {
			return suspectList(suspects[:i])
		}
	}
	return suspectList(suspects)
}

// suspectsOf converts suspects from their wire form.
func suspectsOf(list []wire.SuspectRequest) []poison.Suspect {
	var suspects []poison.Suspect
	for _, s := range list {
		suspects = append(suspects, poison.Suspect{
			Request: poison.Fingerprint(s.Request), Crashes: s.Crashes, BlockedFor: time.Duration(s.LeftMs) * time.Millisecond,
		})
	}
	return suspects
}

// partReportOf returns the part of a VM's report about parts of prompts.
func partReportOf(r *wire.VMReport) poison.PartReport {
	report := poison.PartReport{Survived: partsOf(r.ZzzPartsSurvived), Alone: partsOf(r.ZzzzPartsAlone)}
	for _, c := range r.ZzzPartCrashes {
		report.Crashes = append(report.Crashes, poison.PartCrash{Server: c.Server, Parts: partsOf(c.Parts), Depths: c.Depths})
	}
	return report
}

// addPartReport adds what a VM has learned about parts of prompts to its report to the hub.
func addPartReport(report *wire.VMReport, r poison.PartReport) {
	report.ZzzPartsSurvived, report.ZzzzPartsAlone = partNames(r.Survived), partNames(r.Alone)
	for _, c := range r.Crashes {
		report.ZzzPartCrashes = append(report.ZzzPartCrashes, wire.PartCrash{Server: c.Server, Parts: partNames(c.Parts), Depths: c.Depths})
	}
}

func partsOf(names []string) []poison.Part {
	var parts []poison.Part
	for _, n := range names {
		parts = append(parts, poison.Part(n))
	}
	return parts
}

func partNames(parts []poison.Part) []string {
	var names []string
	for _, p := range parts {
		names = append(names, string(p))
	}
	return names
}

// suspectParts converts suspected parts to their wire form, at most maxSuspects of them. With blockedOnly, it includes
// only blocked ones, which come first.
func suspectParts(suspects []poison.PartSuspect, blockedOnly bool) []wire.SuspectPart {
	var list []wire.SuspectPart
	for _, s := range suspects[:min(len(suspects), maxSuspects)] {
		if blockedOnly && s.BlockedFor == 0 {
			break
		}
		list = append(list, wire.SuspectPart{Part: string(s.Part), Crashes: s.Crashes, LeftMs: int(s.BlockedFor.Milliseconds()), Tied: partNames(s.Tied)})
	}
	return list
}

// partSuspectsOf converts suspected parts from their wire form.
func partSuspectsOf(list []wire.SuspectPart) []poison.PartSuspect {
	var suspects []poison.PartSuspect
	for _, s := range list {
		suspects = append(suspects, poison.PartSuspect{Part: poison.Part(s.Part), Crashes: s.Crashes, BlockedFor: time.Duration(s.LeftMs) * time.Millisecond, Tied: partsOf(s.Tied)})
	}
	return suspects
}
