package pass

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/hibiscuscart/hibiscuscart/backs"
)

// Notice reads what the head of a response says about the server that sent it. An invalid value is left
// out and described by the error. A response to a request that another server was expected to get says nothing.
func (n *HeaderNames) Notice(resp *http.Response) (backs.Notice, error) {
	var notice backs.Notice
	if resp.StatusCode == http.StatusMisdirectedRequest {
		return notice, nil
	}
	value := resp.Header.Get(n.Leaving)
	if value == "" {
		return notice, nil
	}
	var err error
	if notice.Leaving, err = strconv.ParseBool(strings.TrimSpace(value)); err != nil {
		return backs.Notice{}, fmt.Errorf("parse %s: %w", n.Leaving, err)
	}
	return notice, nil
}

// applyNotice applies what a response says about its server, before anything of it reaches the caller.
// Without proof that the server itself sent it, a response may be forged, and can not take the server
// away from all VMs.
func (a *attempt) applyNotice(resp *http.Response) {
	n := a.g.HeaderNames
	a.c.serverLeaving = resp.Header.Get(n.Leaving) != ""
	a.c.serverRetryAfter = resp.Header.Get(headerRetryAfter)
	notice, err := n.Notice(resp)
	if err != nil {
		a.g.Log.Info().Str("request", a.c.id).Str("server", a.choice.Server.ID).Err(err).Msg("invalid notice of a server")
	}
	if resp.Header.Get(n.ServerStamp) == "" && resp.Header.Get(n.NotExecuted) == "" {
		notice.Leaving = false
	}
	a.g.Servers.ApplyNotice(a.g.Now(), a.choice.Server.ID, notice)
}
