package node

import (
	"time"

	"github.com/hibiscuscart/hibiscuscart/backs"
	"github.com/hibiscuscart/hibiscuscart/poison"
	"github.com/hibiscuscart/hibiscuscart/store"
)

// maxLoggedName bounds how many bytes are logged of a name that may be of no server.
const maxLoggedName = 300

// serverWatcher returns the watcher that updates the view of the backend servers.
func (n *Node) serverWatcher() watcher {
	return watcher{
		kind: n.config.ServerKind,
		onList: func(now time.Time, l store.Listing) {
			entries := make([]backs.Entry, 0, len(l.Items))
			var unreadable []string
			for _, o := range l.Items {
				if e, ok := n.decodeEntry(o); ok {
					entries = append(entries, e)
				} else {
					unreadable = append(unreadable, o.Name)
				}
			}
			n.serverView.Replace(now, entries, unreadable...)
		},
		onChange:   n.serverChanged,
		onRead:     n.serverView.MarkRead,
		onCurrent:  n.serverView.MarkCurrent,
		onPosition: n.serverPosition.set,
	}
}

func (n *Node) decodeEntry(o store.Object) (backs.Entry, bool) {
	e, err := n.config.DecodeEntry(o)
	if err != nil {
		n.log.Error().Err(err).EmbedObject(loggedVersion(o.Version)).Msg("ignoring invalid server entry")
		return backs.Entry{}, false
	}
	return e, true
}

// handleMissing logs whether a server whose entry is missing stays in use. It is also called when
// another VM reported the removal or omitted the server from its list.
func (n *Node) handleMissing(m backs.Missing) {
	message := "entry missing; server no longer used"
	if m.Kept {
		message = "entry missing; server kept in use"
	} else {
		n.processEnded(n.now(), m.ID)
	}
	n.log.Info().Str("server", m.ID).Msg(message)
}

// handleNotice logs and counts what a server has said about itself, to this VM or to another one.
func (n *Node) handleNotice(c backs.NoticeChange) {
	if c.Leaving {
		n.meter.AddCounter("servers.leaving", 1)
		n.log.Info().Str("server", c.ID).Str("source", string(c.Source)).Msg("server leaves")
		return
	}
	if c.HasRejectLimit || c.NoRejectLimit {
		n.log.Info().Str("server", c.ID).Bool("limited", c.HasRejectLimit).Float64("rejects_per_second", c.RejectLimit).Msg("rejection limit of a server changed")
		return
	}
	n.meter.AddCounter("servers.rests", 1)
	n.log.Info().Str("server", c.ID).Dur("rest", c.Rest).Msg("server asked this VM for rest")
}

// recordCrash logs and counts a server crash that this VM detected during a request. crashes is the
// number of crashes attributed to the request.
func (n *Node) recordCrash(c poison.Crash, crashes int) {
	n.meter.AddCounter("poison.crashes", 1)
	n.log.Info().Str("fingerprint", string(c.Request)).Str("server", c.Server).Int("crashes", crashes).Msg("server crashed while processing a request")
}

// recordBlock logs and counts a request that is now blocked on this VM.
func (n *Node) recordBlock(s poison.Suspect) {
	n.meter.AddCounter("poison.blocked", 1)
	n.log.Warn().Str("fingerprint", string(s.Request)).Int("crashes", s.Crashes).Dur("for", s.BlockedFor).Msg("request blocked")
}

// processEnded tells those who track crashes that a server process has ended.
func (n *Node) processEnded(now time.Time, server string) {
	n.crashTracker.ProcessEnded(now, server)
	n.partTracker.ProcessEnded(now, server)
}

// recordPartCrash logs a server that ended under parts of prompts.
func (n *Node) recordPartCrash(server string, parts int) {
	n.log.Info().Str("server", server).Int("suspected_parts", parts).Msg("server crashed under prompts")
}

// recordPartBlock logs and counts a part of prompts that is now blocked on this VM, or cleared.
func (n *Node) recordPartBlock(s poison.PartSuspect) {
	if s.BlockedFor == 0 {
		n.meter.AddCounter("poison.parts_cleared", 1)
		n.log.Warn().Str("part", string(s.Part)).Msg("part of prompts cleared")
		return
	}
	n.meter.AddCounter("poison.parts_blocked", 1)
	n.log.Warn().Str("part", string(s.Part)).Int("crashes", s.Crashes).Dur("for", s.BlockedFor).Msg("part of prompts blocked")
}

func (n *Node) serverChanged(now time.Time, c store.Change) {
	if c.Deleted {
		n.serverView.Remove(now, c.Object.Name)
		n.log.Info().Str("server", c.Object.Name[:min(len(c.Object.Name), maxLoggedName)]).EmbedObject(loggedVersion(c.Object.Version)).Msg("server removed")
		return
	}
	e, ok := n.decodeEntry(c.Object)
	if !ok {
		n.serverView.MarkUnreadable(c.Object.Name)
		return
	}
	n.serverView.Put(now, e)
	n.log.Info().Str("server", e.ID).Str("address", e.Address).Str("service", e.Service).Str("software_version", e.SoftwareVersion).Bool("draining", e.Draining).
		Int("models", len(e.Models)).EmbedObject(loggedVersion(c.Object.Version)).Msg("server changed")
}
