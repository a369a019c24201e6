package trail

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// orderMargin is the time before and after a request's lines for which a timeline includes the
// orders for its model. A load takes a few seconds.
const orderMargin = 5 * time.Second

// WriteTimeline writes the lines of the request selected by RequestID, sorted by time, and the orders
// for its model within orderMargin of them.
func (l *Log) WriteTimeline(w io.Writer) error {
	if len(l.timeline) == 0 {
		return fmt.Errorf("request %q is in none of the %d lines", l.RequestID, l.lines)
	}
	lines := slices.Clone(l.timeline)
	slices.SortStableFunc(lines, func(a, b timelineLine) int { return a.at.Compare(b.at) })
	t := newTable(w)
	model := ""
	for _, entry := range lines {
		if entry.line.Message == messageRequest {
			model = entry.line.Model
		}
		t.writeRow(entry.at.UTC().Format("15:04:05.000"), entry.vm, describe(&entry.line))
	}
	l.writeOrdersAround(t, model, lines[0].at, lines[len(lines)-1].at)
	return t.close()
}

func (l *Log) writeOrdersAround(t *table, model string, from, to time.Time) {
	if model == "" {
		return
	}
	from, to = from.Add(-orderMargin), to.Add(orderMargin)
	hasTitle := false
	for _, d := range l.orders {
		at := time.Unix(0, d.at)
		if l.texts.text(d.model) != model || at.Before(from) || at.After(to) {
			continue
		}
		if !hasTitle {
			t.writeRow()
			t.writeRow("orders for " + model)
			hasTitle = true
		}
		operation := "load"
		if d.unload {
			operation = "unload"
		}
		t.writeRow(formatTime(d.at), l.texts.text(d.server), fmt.Sprintf("%s, verdict %d", operation, d.result))
	}
}

// describe returns a line about a request as readable text.
func describe(l *logLine) string {
	switch l.Message {
	case messageAttemptFailed:
		return fmt.Sprintf("%s did not answer: %s (predicted %.0f ms, %d running)",
			serverWithVersion(l), normalizeReason(l.Reason), l.Predicted, l.Running) + describeResponse(l)
	case messageServerSilent:
		return fmt.Sprintf("%s was silent", l.Server)
	case messageProxied:
		return fmt.Sprintf("sent to %s for the VM at %s: status %d, %s", serverWithVersion(l), l.From, l.Status, l.Result) + describeResponse(l)
	case messageRejected:
		return fmt.Sprintf("rejected with status %d: %s", l.Status, l.Reason)
	case messageRequest:
		outcome, cause := classify(l)
		text := fmt.Sprintf("%s: status %d after %.0f ms, %d attempts on %v", outcomeTexts[outcome], l.Status, l.Duration, l.Attempts, l.Servers)
		if cause != "" {
			text += ", " + cause
		}
		text += fmt.Sprintf("; first event %.0f ms, predicted %.0f, objective %.0f", l.FirstEvent, l.Predicted, l.Objective)
		text += describeVersions(l)
		if len(l.LeftSilent) > 0 {
			text += fmt.Sprintf("; left %v, which were silent", l.LeftSilent)
		}
		if l.StopsIn != 0 {
			text += fmt.Sprintf("; arrived %.0f ms before its VM exits, expected to take %.0f ms", l.StopsIn, l.Expected)
		}
		if l.Team != "" {
			text += "; team " + l.Team
		}
		if l.PauseLimit > 0 {
			text += fmt.Sprintf("; longest pause %.0f ms of %.0f", l.LongestPause, l.PauseLimit)
		}
		if l.AdmissionWait > 0 {
			text += fmt.Sprintf("; waited %.0f ms for server capacity", l.AdmissionWait)
		}
		if l.FindWait > 0 {
			text += fmt.Sprintf("; waited %.0f ms for a server", l.FindWait)
		}
		return text + describeResponse(l)
	}
	return l.Message
}

// serverWithVersion returns the server of a line with its software version, if that is logged.
func serverWithVersion(l *logLine) string {
	if l.SoftwareVersion == "" {
		return l.Server
	}
	return l.Server + " (" + l.SoftwareVersion + ")"
}

// describeVersions returns the software version of each send, and which stream the request takes up.
func describeVersions(l *logLine) string {
	text := ""
	if len(l.SoftwareVersions) > 0 {
		text = "; software versions " + strings.Join(l.SoftwareVersions, ", ")
	}
	if l.ResumedAfter != "" {
		text += fmt.Sprintf("; request %s takes up attempt %s after event %s", l.Request, cmp.Or(l.Resumes, "(not named)"), l.ResumedAfter)
	}
	if l.BoundBy != "" {
		text += fmt.Sprintf("; bound to %s by %s", l.BoundVersion, l.BoundBy)
	}
	return text
}

// framingByClose is the logged framing of a response that ends with its connection.
const framingByClose = "close"

// describeResponse returns how the last response before a line came and ended, and what it said about its server.
func describeResponse(l *logLine) string {
	text := ""
	if l.Proxy != "" {
		text += "; sent through the VM at " + l.Proxy
	}
	if l.Framing == framingByClose {
		text += "; the response ends with its connection"
	}
	if l.PartialEventBytes > 0 {
		text += fmt.Sprintf("; it ended %d bytes into an event", l.PartialEventBytes)
	}
	if l.ServerLeaving {
		text += "; its server said that it leaves"
	}
	if l.ServerRetryAfter != "" {
		text += "; its server asked for rest, Retry-After " + l.ServerRetryAfter
	}
	return text
}

var outcomeTexts = map[Outcome]string{InTime: "in time", Late: "late", Lost: "lost"}
