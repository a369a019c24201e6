package backs

import "time"

// A server can say in its responses that it crashes if it has to reject more than a few requests a second for
// want of room. The requests of all VMs count, so that all VMs are told, and ask before they send it any; see
// package limit.

const (
	// rejectLimitRetention is how long a server's word about its rejections is kept without another one.
	rejectLimitRetention = 10 * time.Second
	// rejectLimitEnd is the age of the last such word from which a response without it ends it. Responses
	// can be read out of order.
	rejectLimitEnd = time.Second
)

// RejectLimit is what VMs tell each other about a server that crashes if it rejects too many requests.
type RejectLimit struct {
	// Server is the ID of the server instance.
	Server string
	// PerSecond is how many requests it can reject in a second for want of room.
	PerSecond float64
	// Rejected is set if it has just rejected a request.
	Rejected bool
}

// limitedServer is the state of a server with a RejectLimit.
type limitedServer struct {
	perSecond float64
	heardAt   time.Time
	// pauseUntil is when this VM may ask again for a request to the server.
	pauseUntil time.Time
	// reportedAt is when the other VMs were last told of the limit, unreportedReject is set while they have
	// not been told of a rejection.
	reportedAt       time.Time
	unreportedReject bool
}

// applyRejectLimit applies what a response says about rejections. v.mu is held.
func (v *View) applyRejectLimit(now time.Time, id string, n Notice) {
	switch s := v.limitedServer(now, id); {
	case n.HasRejectLimit:
		v.limitServer(now, RejectLimit{Server: id, PerSecond: n.RejectLimit}, FromResponse)
	case n.NoRejectLimit && s != nil && now.Sub(s.heardAt) >= rejectLimitEnd:
		delete(v.limited, id)
		v.reportNotice(NoticeChange{ID: id, Notice: Notice{NoRejectLimit: true}, Source: FromResponse})
	}
}

// limitServer records that a server has a limit. v.mu is held.
func (v *View) limitServer(now time.Time, l RejectLimit, source NoticeSource) *limitedServer {
	s := v.limitedServer(now, l.Server)
	if s == nil {
		if v.limited == nil {
			v.limited = make(map[string]*limitedServer)
		}
		s = &limitedServer{}
		v.limited[l.Server] = s
		v.reportNotice(NoticeChange{ID: l.Server, Notice: Notice{HasRejectLimit: true, RejectLimit: l.PerSecond}, Source: source})
	}
	s.perSecond, s.heardAt = l.PerSecond, now
	return s
}

// limitedServer returns the state of a server with a limit, nil if it has none. v.mu is held.
func (v *View) limitedServer(now time.Time, id string) *limitedServer {
	s := v.limited[id]
	if s != nil && now.Sub(s.heardAt) > rejectLimitRetention {
		delete(v.limited, id)
		return nil
	}
	return s
}

// RejectLimit returns how many requests a server can reject in a second for want of room, and whether it has
// such a limit.
func (v *View) RejectLimit(now time.Time, id string) (perSecond float64, limited bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := v.limitedServer(now, id)
	if s == nil {
		return 0, false
	}
	return s.perSecond, true
}

// RecordReject records that a server rejected a request of this VM for want of room. It reports whether the
// server has a limit, so that the other VMs have to be told at once.
func (v *View) RecordReject(now time.Time, id string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := v.limitedServer(now, id)
	if s != nil {
		s.unreportedReject = true
	}
	return s != nil
}

// PauseSends makes this VM ask for no requests to a server with a limit for a time.
func (v *View) PauseSends(now time.Time, id string, pause time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if s := v.limitedServer(now, id); s != nil {
		s.pauseUntil = now.Add(pause)
	}
}

// SendPause returns how much longer this VM asks for no requests to a server, 0 for a server without a limit.
func (v *View) SendPause(now time.Time, id string) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := v.limitedServer(now, id)
	if s == nil {
		return 0
	}
	return max(s.pauseUntil.Sub(now), 0)
}

// TakeRejectLimits returns what the other VMs are to be told: rejections, and limits from time to time.
func (v *View) TakeRejectLimits(now time.Time) []RejectLimit {
	v.mu.Lock()
	defer v.mu.Unlock()
	var list []RejectLimit
	for id := range v.limited {
		s := v.limitedServer(now, id)
		if s == nil || !s.unreportedReject && now.Sub(s.reportedAt) < rejectLimitRetention/2 {
			continue
		}
		list = append(list, RejectLimit{Server: id, PerSecond: s.perSecond, Rejected: s.unreportedReject})
		s.reportedAt, s.unreportedReject = now, false
	}
	return list
}

// MergeRejectLimits applies what another VM told.
func (v *View) MergeRejectLimits(now time.Time, list []RejectLimit, source NoticeSource) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, l := range list {
		v.limitServer(now, l, source).reportedAt = now
	}
}
