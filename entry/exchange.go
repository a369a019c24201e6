// Package entry is the daemon of an entry VM. A caller's request passes a
// pipeline of stages: accounting, profile, admission, claim, relay. Background
// jobs keep the state of the VM up to date: they watch the platform, poll
// backend servers, exchange heartbeats with peers and, under a lease, send
// orders to backend servers.
package entry

import (
	"context"
	"time"

	"github.com/hibiscuscart/hibiscuscart"
)

// Exchange is one request in the pipeline, with the state that the stages
// record.
type Exchange struct {
	request *hibiscuscart.Request
	profile hibiscuscart.Profile
	sink    Sink
	// deadline is when the request is canceled.
	deadline time.Time
	// maybeSent is false while the request certainly reached no backend server.
	maybeSent bool
	// possibleRuns counts the attempts that may have run.
	possibleRuns int
	attemptID    string
	serverName   string
	sentAt       time.Time
	modelName    string
	firstTokenAt time.Time
	// serverVersion is the software version of the server of the current attempt, textVersion that of the one
	// that wrote the first text. Other versions write other text.
	serverVersion, textVersion string
	lastTokenAt                time.Time
	maxTokenGap                time.Duration
	tokenCount                 int
	replayed                   bool
	response                   hibiscuscart.Response
}

// Sink writes a response to the caller. WriteText is called for each part of a
// stream, WriteResponse once at the end.
type Sink struct {
	WriteText     func(text string) error
	WriteResponse func(r hibiscuscart.Response) error
}

// discardErrors returns a Sink that ignores failed writes to the caller.
func (s Sink) discardErrors() Sink {
	sink := Sink{WriteResponse: func(r hibiscuscart.Response) error {
		_ = s.WriteResponse(r)
		return nil
	}}
	if s.WriteText != nil {
		sink.WriteText = func(text string) error {
			_ = s.WriteText(text)
			return nil
		}
	}
	return sink
}

// Next runs the rest of the pipeline.
type Next func(ctx context.Context, x *Exchange) error

// Stage is one step of the pipeline. It may act before and after next, or end
// the request without calling it.
type Stage func(ctx context.Context, x *Exchange, next Next) error

// Chain joins stages into one Next.
func Chain(stages ...Stage) Next {
	next := func(context.Context, *Exchange) error { return nil }
	for i := len(stages) - 1; i >= 0; i-- {
		stage, rest := stages[i], next
		next = func(ctx context.Context, x *Exchange) error { return stage(ctx, x, rest) }
	}
	return next
}
