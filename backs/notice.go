package backs

import "time"

// Notice is what a server says about itself in the head of a response.
type Notice struct {
	// Leaving is set if the server will exit soon. Its entry may not say so yet: a server that can not
	// reach the platform can not change it.
	Leaving bool
	// Rest is for how long the server wants nothing from the VM that it responded to, 0 for no time.
	Rest time.Duration
	// RejectLimit is how many requests the server can reject in a second for want of room, if
	// HasRejectLimit is set; it crashes if it has to reject more. NoRejectLimit is set if the response is
	// certainly the server's own and has no limit.
	RejectLimit                   float64
	HasRejectLimit, NoRejectLimit bool
}

// LongRest is the rest from which the models of a server are held elsewhere: longer than a load and the
// unloads that make room for it. A shorter rest only delays requests.
const LongRest = 10 * time.Second

// leavingRetention is how long it is kept that a server leaves once the server has no record. It may go on
// serving for some time, and its entry may be stored again.
const leavingRetention = time.Hour

// NoticeSource is how a VM learned of a notice.
type NoticeSource string

// Sources of notices.
const (
	// FromResponse is a response of the server to this VM.
	FromResponse NoticeSource = "response"
	// FromReport is the report of a VM that is linked to this one.
	FromReport NoticeSource = "report"
	// FromHub is the server list of the VM that this one is linked to.
	FromHub NoticeSource = "hub"
)

// NoticeChange is a notice that changed what this VM sends to a server.
type NoticeChange struct {
	Notice
	// ID is the ID of the server instance.
	ID     string
	Source NoticeSource
}

// leavingServer is a server that said in a response that it leaves.
type leavingServer struct {
	learnedAt time.Time
	// reported is set once the VM that this one is linked to was told.
	reported bool
}

// ApplyNotice applies a response of a server instance, received at now. Leaving is for good, and known to
// all VMs before long. Rest concerns this VM only: the server may take requests of other VMs, and a later
// response does not shorten a rest that was asked for before.
func (v *View) ApplyNotice(now time.Time, id string, n Notice) {
	if !n.Leaving && n.Rest <= 0 && !n.HasRejectLimit && !n.NoRejectLimit {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.applyRejectLimit(now, id, n)
	if n.Leaving {
		v.markLeaving(now, id, FromResponse)
	}
	v.extendRest(now, id, n.Rest)
}

// AddLeaving applies the report of another VM: servers that said that they leave.
func (v *View) AddLeaving(now time.Time, ids []string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, id := range ids {
		v.markLeaving(now, id, FromReport)
	}
}

// markLeaving records that a server leaves. The server may be unknown so far: a VM that watches the
// store can be behind the one that reports.
func (v *View) markLeaving(now time.Time, id string, source NoticeSource) {
	r := v.records[id]
	if v.leaving[id] != nil || r != nil && r.draining {
		return
	}
	if v.leaving == nil {
		v.leaving = make(map[string]*leavingServer)
	}
	v.leaving[id] = &leavingServer{learnedAt: now}
	v.reportNotice(NoticeChange{ID: id, Notice: Notice{Leaving: true}, Source: source})
	if r == nil {
		return
	}
	r.draining, r.entry.Draining, r.stored.Draining = true, true, true
	v.bumpRevision(r)
	v.notify()
}

func (v *View) extendRest(now time.Time, id string, rest time.Duration) {
	until := now.Add(rest)
	if rest <= 0 || !until.After(v.restUntil[id]) {
		return
	}
	if v.restUntil == nil {
		v.restUntil = make(map[string]time.Time)
	}
	if !v.restUntil[id].After(now) {
		v.reportNotice(NoticeChange{ID: id, Notice: Notice{Rest: rest}, Source: FromResponse})
	}
	v.restUntil[id] = until
}

func (v *View) reportNotice(c NoticeChange) {
	if v.OnNotice != nil {
		v.OnNotice(c)
	}
}

// TakeLeaving returns the servers that leave and are not reported yet, and marks them as reported.
func (v *View) TakeLeaving() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	var ids []string
	for id, s := range v.leaving {
		if !s.reported {
			s.reported = true
			ids = append(ids, id)
		}
	}
	return ids
}

// MarkLeavingUnreported makes all servers that drain due for reporting, whoever told this VM: a new hub
// may know their entries only.
func (v *View) MarkLeavingUnreported(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for id, r := range v.records {
		if r.draining && r.removedAt.IsZero() && v.leaving[id] == nil {
			if v.leaving == nil {
				v.leaving = make(map[string]*leavingServer)
			}
			v.leaving[id] = &leavingServer{learnedAt: now}
		}
	}
	for _, s := range v.leaving {
		s.reported = false
	}
}

// forgetNotices deletes the notices of servers that have been removed long ago, and rests that have
// ended.
func (v *View) forgetNotices(now time.Time) {
	for id, s := range v.leaving {
		if v.records[id] == nil && now.Sub(s.learnedAt) > leavingRetention {
			delete(v.leaving, id)
		}
	}
	for id, until := range v.restUntil {
		if !until.After(now) {
			delete(v.restUntil, id)
		}
	}
}

// RestRemaining returns how much longer this VM must not send anything to a server: no requests, reports,
// orders or connections.
func (v *View) RestRemaining(now time.Time, id string) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.restRemaining(now, id)
}

func (v *View) restRemaining(now time.Time, id string) time.Duration {
	return max(v.restUntil[id].Sub(now), 0)
}
