package dedup

import (
	"slices"
	"time"

	"github.com/hibiscuscart/hibiscuscart/wire"
)

// Limits of a shard.
const (
	// defaultMaxHeadClaims is the number of claims at which the older claims of
	// the head are sealed in a segment. A fifth of the claims
	// (1/unsealedDivisor) stays in the head, with the stored responses. The head
	// must be small because every batch writes all of it.
	defaultMaxHeadClaims = 1500
	unsealedDivisor      = 5
	// maxHeadResponseBytes limits the total size of stored responses in the
	// head.
	maxHeadResponseBytes = 64 << 10
	// maxMergedHeads limits the size of a merged segment, in heads: 6,000 claims
	// of about 130 bytes fit the platform's limit of one megabyte per value.
	maxMergedHeads = 4
	// maxUnsealedHeads limits the size of a head during sealing, as a multiple
	// of its maximum size.
	maxUnsealedHeads = 3
	// maxMergeSources is the maximum number of segments merged at once.
	maxMergeSources = 8
	// cancelRetention is how long a canceled request is retained: an update
	// whose response was lost may take effect late and grant the request.
	cancelRetention = time.Minute
)

// Shard is one partition of the idempotency keys. It grants claims in batches:
// one conditional update of the shard's head grants all waiting requests. The
// head's version is the fencing token, so any VM may write the shard,
// including one that was paused. Of two writers with the same version one
// wins, and the other reloads the shard. Shard ownership only reduces the
// number of such conflicts.
//
// The zero value must be loaded with Load first. A Shard is not safe for
// concurrent use.
type Shard struct {
	// MaxHeadClaims, when not 0, replaces the default maximum number of claims
	// in the head.
	MaxHeadClaims int

	loaded   bool
	version  int
	segments []wire.ShardSegment
	recent   []wire.Claim
	index    map[string]wire.Claim
	// syncedAt is when the cached content was last confirmed to match the
	// platform.
	syncedAt time.Time

	waiting  []Request
	outcomes []wire.Claim
	inFlight *Batch
	// canceled holds the canceled requests by grant.
	canceled map[string]canceledRequest
	// storedSeal and storedMerge are stored segments that the next batch will
	// refer to.
	storedSeal  *Seal
	storedMerge *Merge
}

// canceledRequest is a request whose caller no longer waits for it.
type canceledRequest struct {
	request    Request
	canceledAt time.Time
}

// Reply is the decision on a waiting Request.
type Reply struct {
	GrantID  string
	Decision Decision
}

// Batch is one update of the head.
type Batch struct {
	// IfVersion is the head version required for the update to take effect.
	IfVersion int
	Segments  []wire.ShardSegment
	Recent    []wire.Claim
	// ObsoleteSegments lists the segments that are obsolete once the update has
	// taken effect.
	ObsoleteSegments []string

	granted  []Request
	outcomes []wire.Claim
	seal     *Seal
	merge    *Merge
}

// Loaded reports whether the cached content can be used without reloading it.
func (s *Shard) Loaded() bool { return s.loaded }

// WaitingCount returns the number of requests waiting for a batch.
func (s *Shard) WaitingCount() int { return len(s.waiting) }

// KeyCount returns the number of keys in memory.
func (s *Shard) KeyCount() int { return len(s.index) }

// SyncedAt returns when the cached content was last confirmed to match the
// platform.
func (s *Shard) SyncedAt() time.Time { return s.syncedAt }

func (s *Shard) maxHeadClaims() int {
	if s.MaxHeadClaims > 0 {
		return s.MaxHeadClaims
	}
	return defaultMaxHeadClaims
}

// MissingSegments returns the names of the segments that Load needs in
// addition to a head. If the head's segments do not extend the loaded ones,
// the shard discards its cached content and needs all segments.
func (s *Shard) MissingSegments(head wire.ShardHead) []string {
	// Another VM may have removed the oldest segments after all of their claims
	// expired.
	for len(s.segments) > 0 && (len(head.Segments) == 0 || s.segments[0] != head.Segments[0]) {
		s.segments = s.segments[1:]
	}
	n := len(s.segments)
	if n == 0 || n > len(head.Segments) || !slices.Equal(s.segments, head.Segments[:n]) {
		s.segments, s.index, n = nil, nil, 0
	}
	var names []string
	for _, seg := range head.Segments[n:] {
		names = append(names, seg.Name)
	}
	return names
}

// Load replaces the cached content with that of the platform: the head at a
// version, its unpacked recent claims and the segments named by
// MissingSegments. It returns the replies to requests that this content
// decides.
func (s *Shard) Load(now time.Time, version int, head wire.ShardHead, recent []wire.Claim, segments map[string][]wire.Claim) []Reply {
	if s.index == nil {
		s.index = make(map[string]wire.Claim)
	}
	for _, seg := range head.Segments[len(s.segments):] {
		s.applyClaims(segments[seg.Name])
	}
	s.applyClaims(recent)
	s.loaded, s.version, s.syncedAt = true, version, now
	s.segments, s.recent = head.Segments, recent
	s.requeueInFlight()
	s.releaseCanceled(now)
	return s.decideWaiting(now)
}

// requeueInFlight moves the in-flight batch back to the queues. The next Load
// shows whether the update took effect.
func (s *Shard) requeueInFlight() {
	if s.inFlight == nil {
		return
	}
	s.waiting = append(s.inFlight.granted, s.waiting...)
	s.outcomes = append(s.inFlight.outcomes, s.outcomes...)
	if s.inFlight.seal != nil {
		s.storedSeal = s.inFlight.seal
	}
	if s.inFlight.merge != nil {
		s.storedMerge = s.inFlight.merge
	}
	s.inFlight = nil
}

// applyClaims updates the index with claims in the order in which they were
// recorded.
func (s *Shard) applyClaims(claims []wire.Claim) {
	for _, c := range claims {
		if c.State != wire.ClaimStateReleased {
			s.index[c.Key] = c
			continue
		}
		if s.index[c.Key].Grant == c.Grant {
			delete(s.index, c.Key)
		}
	}
}

// Propose submits a request. If its key is already used, the decision is
// returned at once; otherwise the request waits for a batch and decided is
// false.
func (s *Shard) Propose(now time.Time, r Request) (d Decision, decided bool) {
	if d, ok := s.decide(now, r); ok && s.loaded {
		return d, true
	}
	s.waiting = append(s.waiting, r)
	return Decision{}, false
}

func (s *Shard) decide(now time.Time, r Request) (Decision, bool) {
	c, used := s.index[r.StoredKey()]
	if !used || Expired(now, c) || s.releasing(c) {
		return Decision{}, false
	}
	return Decide(now, r, c), true
}

// releasing reports whether the update in flight or the next one releases a claim. It precedes what the same update grants, so
// that the key can be claimed in it.
func (s *Shard) releasing(c wire.Claim) bool {
	isRelease := func(outcome wire.Claim) bool {
		return outcome.Key == c.Key && outcome.Grant == c.Grant && outcome.State == wire.ClaimStateReleased
	}
	return c.State == wire.ClaimStateGranted &&
		(slices.ContainsFunc(s.outcomes, isRelease) || s.inFlight != nil && slices.ContainsFunc(s.inFlight.outcomes, isRelease))
}

// decideWaiting replies to the waiting requests whose keys are already used.
func (s *Shard) decideWaiting(now time.Time) []Reply {
	var replies []Reply
	kept := s.waiting[:0]
	for _, r := range s.waiting {
		if _, canceled := s.canceled[r.GrantID]; canceled {
			continue
		}
		if d, decided := s.decide(now, r); decided {
			replies = append(replies, Reply{GrantID: r.GrantID, Decision: d})
			continue
		}
		kept = append(kept, r)
	}
	s.waiting = kept
	return replies
}

// releaseCanceled releases the claims granted to canceled requests.
func (s *Shard) releaseCanceled(now time.Time) {
	for _, canceled := range s.canceled {
		s.releaseGranted(now, canceled)
	}
}

func (s *Shard) releaseGranted(now time.Time, canceled canceledRequest) {
	c := s.index[canceled.request.StoredKey()]
	if c.Grant == canceled.request.GrantID && c.State == wire.ClaimStateGranted {
		s.RecordOutcome(now, canceled.request, wire.ClaimStateReleased, "")
		delete(s.canceled, canceled.request.GrantID)
		return
	}
	if now.Sub(canceled.canceledAt) > cancelRetention {
		delete(s.canceled, canceled.request.GrantID)
	}
}

// Cancel withdraws a request that will not be sent. If its claim is already
// granted, or is granted by the update in flight, the claim is released. Only
// the sender of the request may call Cancel, and must not send the request
// afterwards.
func (s *Shard) Cancel(now time.Time, r Request) {
	if s.canceled == nil {
		s.canceled = make(map[string]canceledRequest)
	}
	canceled := canceledRequest{request: r, canceledAt: now}
	s.canceled[r.GrantID] = canceled
	s.releaseGranted(now, canceled)
}

// RecordOutcome records the outcome of a granted claim for the next batch.
func (s *Shard) RecordOutcome(now time.Time, r Request, state wire.ClaimState, response string) {
	c := NewClaim(now, r)
	c.State, c.Answer = state, response
	s.outcomes = append(s.outcomes, c)
}

// HasPending reports whether any request or outcome requires a load or a
// write.
func (s *Shard) HasPending() bool {
	return s.inFlight != nil || len(s.waiting) > 0 || len(s.outcomes) > 0
}

// CanWrite reports whether the shard is ready to write and has something to
// write.
func (s *Shard) CanWrite() bool {
	return s.loaded && s.inFlight == nil && (len(s.waiting) > 0 || len(s.outcomes) > 0)
}

// NextBatch returns the update that grants the waiting requests, one per key.
// The shard must be loaded and have no update in flight.
func (s *Shard) NextBatch(now time.Time) Batch {
	b := Batch{IfVersion: s.version, outcomes: s.outcomes}
	s.outcomes = nil
	b.Segments, b.ObsoleteSegments = splitExpired(now, s.segments)
	b.Recent = slices.Clone(s.recent)
	s.applyMerge(&b)
	s.applySeal(&b)
	s.applyOutcomes(&b)
	batchKeys := make(map[string]bool)
	kept := s.waiting[:0]
	for _, r := range s.waiting {
		key := r.StoredKey()
		if batchKeys[key] {
			kept = append(kept, r)
			continue
		}
		batchKeys[key] = true
		b.granted = append(b.granted, r)
		b.Recent = append(b.Recent, NewClaim(now, r))
	}
	s.waiting = kept
	trimResponses(b.Recent)
	s.inFlight = &b
	return b
}

// applyOutcomes records the outcomes of claims that are still held by the same
// grant. It replaces the claim if that is in the head, and appends the outcome
// if the claim has been sealed.
func (s *Shard) applyOutcomes(b *Batch) {
	positions := make(map[string]int, len(b.Recent))
	for i, c := range b.Recent {
		positions[c.Key+c.Grant] = i
	}
	for _, c := range b.outcomes {
		current, ok := s.index[c.Key]
		if !ok || current.Grant != c.Grant || current.State != wire.ClaimStateGranted {
			continue
		}
		c.GrantedMs, c.RetainUntilMs = current.GrantedMs, current.RetainUntilMs
		if i, inHead := positions[c.Key+c.Grant]; inHead {
			b.Recent[i] = c
			continue
		}
		b.Recent = append(b.Recent, c)
	}
}

func splitExpired(now time.Time, segments []wire.ShardSegment) (kept []wire.ShardSegment, expired []string) {
	for _, seg := range segments {
		if now.After(time.UnixMilli(int64(seg.RetainUntilMs))) {
			expired = append(expired, seg.Name)
			continue
		}
		kept = append(kept, seg)
	}
	return kept, expired
}

// trimResponses removes the oldest stored responses beyond the size limit.
func trimResponses(claims []wire.Claim) {
	remaining := maxHeadResponseBytes
	for i := len(claims) - 1; i >= 0; i-- {
		remaining -= len(claims[i].Answer)
		if remaining < 0 {
			claims[i].Answer = ""
		}
	}
}

// compactClaims keeps the last record of each claim, without its response, and
// removes expired claims. It keeps released claims, because they may cancel a
// claim in an older segment.
func compactClaims(now time.Time, claims []wire.Claim) []wire.Claim {
	last := make(map[string]int, len(claims))
	for i, c := range claims {
		last[c.Key+c.Grant] = i
	}
	var kept []wire.Claim
	for i, c := range claims {
		if last[c.Key+c.Grant] != i || Expired(now, c) {
			continue
		}
		c.Answer = ""
		kept = append(kept, c)
	}
	return kept
}

// BatchCommitted records that the update in flight took effect. It returns the
// replies to the requests that it granted and to those whose keys it used.
func (s *Shard) BatchCommitted(now time.Time, version int) []Reply {
	b := s.inFlight
	s.inFlight = nil
	s.version, s.syncedAt = version, now
	s.segments, s.recent = b.Segments, b.Recent
	s.applyClaims(b.Recent)
	var replies []Reply
	for _, r := range b.granted {
		if _, canceled := s.canceled[r.GrantID]; !canceled {
			replies = append(replies, Reply{GrantID: r.GrantID, Decision: Decision{Verdict: Granted, GrantID: r.GrantID}})
		}
	}
	s.releaseCanceled(now)
	return append(replies, s.decideWaiting(now)...)
}

// BatchFailed records that the update in flight had no effect and requeues its
// content.
func (s *Shard) BatchFailed() { s.requeueInFlight() }

// Invalidate records that the update in flight lost to another writer, or that
// its response was lost. The shard must be reloaded before anything is
// granted.
func (s *Shard) Invalidate() { s.loaded = false }

// RefuseAll withdraws all waiting requests, because no claim can be granted
// now. If an update in flight turns out to have granted one of them, its claim
// is released.
func (s *Shard) RefuseAll(now time.Time) []Reply {
	refused := s.waiting
	if s.inFlight != nil {
		refused = append(slices.Clone(s.inFlight.granted), refused...)
		s.inFlight.granted = nil
	}
	s.waiting = nil
	var replies []Reply
	for _, r := range refused {
		s.Cancel(now, r)
		replies = append(replies, Reply{GrantID: r.GrantID, Decision: Decision{Verdict: Unavailable, RetryAfter: UnavailableRetryAfter}})
	}
	return replies
}

// EvictExpired removes expired keys from memory.
func (s *Shard) EvictExpired(now time.Time) {
	for key, c := range s.index {
		if Expired(now, c) {
			delete(s.index, key)
		}
	}
}
