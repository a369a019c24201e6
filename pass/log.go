package pass

import (
	"github.com/rs/zerolog"

	"github.com/hibiscuscart/hibiscuscart/pick"
)

// logRequest logs how a call ended: what it asked for, where it was sent, what came back, and where its time went.
func (g *Gateway) logRequest(c *call) {
	g.recordOrder(c)
	g.Log.Info().Str("request", c.id).Str("fingerprint", string(c.fingerprint)).
		Str("route", c.route.Name).Str("team", c.teamName()).Int("config_version", c.configVersion).
		Str("service", c.service.Name).Str("model", c.work.Model).Str("adapter", c.work.Adapter).
		Strs("servers", c.sentTo).Strs("software_versions", c.versions).
		Str("resumes", c.resumes).Str("bound_by", c.boundBy).Str("bound_version", c.binding.version).Dur("list_age", c.listAge).
		Str("resumed_after", c.request.Header.Get(headerLastEvent)).
		Int("sends", c.sends).Int("status", c.status).Bool("may_have_run", c.mayHaveRun).
		Func(c.addLastResponse).
		Strs("parts", partIDs(c.sharedParts())).Str("blocked_part", string(c.blockedPart)).
		Strs("left_silent", c.leftSilent).Str("reason", c.reason).
		Dur("objective", c.route.Objective).Dur("pause_limit", c.route.MaxEventGap).
		Int("prompt", c.work.PromptTokens).Int("output", c.work.MaxOutputTokens).
		Dur("predicted", c.choice.PredictedTime).Dur("queue", c.choice.QueueTime).Dur("overtaken", c.choice.OvertakenTime).Float64("pace", c.choice.Pace).
		Int("missing", c.choice.UncachedTokens).
		Int("running", c.choice.Load.Running).Int("tokens", c.choice.Load.KVTokens).
		Dur("first_event", c.timeToFirstEvent).Dur("longest_pause", c.maxEventGap).Int("events", c.eventCount).
		Func(c.addEvents).
		Dur("stops_in", c.stopsIn).Dur("expected", c.expected).
		Dur("held", c.admissionWait).Dur("sought", c.modelWait).Dur("quota_wait", c.quota.wait).Dur("place_wait", c.placeWait).
		Dur("took", g.Now().Sub(c.arrived)).Msg("request")
}

// logFailedAttempt logs why an attempt got no response that can be forwarded, and keeps the reason.
func (g *Gateway) logFailedAttempt(c *call, choice pick.Choice, reason string) {
	c.reason = reason
	g.Log.Info().Str("request", c.id).Str("fingerprint", string(c.fingerprint)).
		Str("server", choice.Server.ID).Str("address", choice.Server.Address).
		Str("software_version", choice.Server.SoftwareVersion).
		Dur("predicted", choice.PredictedTime).Int("running", choice.Load.Running).
		Bool("may_have_run", c.mayHaveRun).
		Func(c.addLastResponse).
		Str("reason", reason).Msg("try failed")
}

// addEvents adds which events came from which send, if the call got any.
func (c *call) addEvents(line *zerolog.Event) {
	if len(c.eventsBySend) > 0 {
		line.Array("events_by_send", c.eventsBySend)
	}
}

// addLastResponse adds to a line of the log what the call's last response said and how it came.
func (c *call) addLastResponse(line *zerolog.Event) {
	line.Bool("server_leaving", c.serverLeaving).Str("server_retry_after", c.serverRetryAfter).
		Str("framing", c.framing.String()).Int("partial_event", c.partialEventBytes).
		Str("proxy", c.proxy).Func(c.attribution.addTo)
}
