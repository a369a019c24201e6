package pass

// logNotice records what the server says about itself in the head of its response, for the log lines
// of the attempt and the request.
func (a *attempt) logNotice() {
	a.c.serverLeaving = a.resp.Header.Get(a.g.HeaderNames.Leaving) != ""
	a.c.serverRetryAfter = a.resp.Header.Get(headerRetryAfter)
}
