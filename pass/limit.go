package pass

// updateLimit updates the known rate limit of the server from the head of its answer. An invalid
// value is logged and leaves the limit unchanged.
func (t *try) updateLimit() {
	n, server := t.g.Names, t.choice.Server.ID
	value := t.resp.Header.Get(n.Limit)
	if value == "" {
		if t.g.Limits.Update(t.g.Now(), t.sent, server, 0, false) {
			t.g.Log.Info().Str("server", server).Msg("server rate limit removed")
		}
		return
	}
	rate, ok := n.ParseLimit(value)
	if !ok {
		t.g.Log.Warn().Str("request", t.c.id).Str("server", server).Str("limit", value).Msg("invalid server rate limit")
		return
	}
	if t.g.Limits.Update(t.g.Now(), t.sent, server, rate, true) {
		t.g.Log.Info().Str("server", server).Float64("rate", rate).Msg("server rate limit changed")
	}
}
