package dedup

import (
	"slices"
	"time"

	"github.com/hibiscuscart/hibiscuscart/wire"
)

// Seal holds the older claims of a head that move to a segment. The segment is
// stored concurrently with batches; the next batch after that refers to it.
type Seal struct {
	Name string
	// Claims is the content of the segment.
	Claims  []wire.Claim
	covered []wire.Claim
}

// Merge holds several small segments that are merged into one.
type Merge struct {
	Name    string
	Sources []wire.ShardSegment
	// Claims is the content of the new segment.
	Claims []wire.Claim
}

// BeginSeal returns the claims to store as a segment, if the head has reached
// its maximum size.
func (s *Shard) BeginSeal(now time.Time, name func() string) (*Seal, bool) {
	if !s.loaded || s.storedSeal != nil || len(s.recent) < s.maxHeadClaims() {
		return nil, false
	}
	covered := slices.Clone(s.recent[:len(s.recent)-s.maxHeadClaims()/unsealedDivisor])
	return &Seal{Name: name(), Claims: compactClaims(now, covered), covered: covered}, true
}

// SealStored records that the segment of a Seal has been stored.
func (s *Shard) SealStored(seal *Seal) { s.storedSeal = seal }

// HeadFull reports whether the head is so far above its maximum size that it
// must be sealed before it accepts more claims.
func (s *Shard) HeadFull() bool { return len(s.recent) >= maxUnsealedHeads*s.maxHeadClaims() }

// applySeal makes a batch refer to the stored segment of a Seal. Claims whose
// state changed after sealing stay in the head, whose records override those
// of segments. If the head no longer begins with the sealed claims, the
// segment becomes obsolete.
func (s *Shard) applySeal(b *Batch) {
	seal := s.storedSeal
	s.storedSeal = nil
	if seal == nil {
		return
	}
	b.seal = seal
	if !hasClaimPrefix(b.Recent, seal.covered) {
		b.ObsoleteSegments = append(b.ObsoleteSegments, seal.Name)
		return
	}
	segment := wire.ShardSegment{Name: seal.Name, Claims: len(seal.Claims)}
	var kept []wire.Claim
	for i, c := range seal.covered {
		segment.RetainUntilMs = max(segment.RetainUntilMs, c.RetainUntilMs)
		if b.Recent[i].State != c.State {
			kept = append(kept, b.Recent[i])
		}
	}
	b.Segments = append(slices.Clone(b.Segments), segment)
	b.Recent = append(kept, b.Recent[len(seal.covered):]...)
}

// hasClaimPrefix reports whether claims begins with the keys and grants of
// prefix.
func hasClaimPrefix(claims, prefix []wire.Claim) bool {
	if len(claims) < len(prefix) {
		return false
	}
	for i, c := range prefix {
		if claims[i].Key != c.Key || claims[i].Grant != c.Grant {
			return false
		}
	}
	return true
}

// MergeCandidates returns adjacent small segments that are to be merged,
// oldest first.
func (s *Shard) MergeCandidates() []wire.ShardSegment {
	if !s.loaded || s.storedMerge != nil {
		return nil
	}
	var run []wire.ShardSegment
	maxClaims := maxMergedHeads * s.maxHeadClaims()
	total := 0
	for _, seg := range s.segments {
		if total+seg.Claims > maxClaims {
			run, total = nil, 0
		}
		run = append(run, seg)
		total += seg.Claims
		if len(run) == maxMergeSources || len(run) > 1 && total > maxClaims*3/4 {
			return run
		}
	}
	return nil
}

// NewMerge returns the Merge of source segments, whose contents are given in
// the same order.
func NewMerge(now time.Time, sources []wire.ShardSegment, contents [][]wire.Claim, name string) *Merge {
	return &Merge{Name: name, Sources: sources, Claims: compactClaims(now, slices.Concat(contents...))}
}

// MergeStored records that the segment of a Merge has been stored.
func (s *Shard) MergeStored(m *Merge) { s.storedMerge = m }

// applyMerge replaces the source segments in a batch with the merged segment.
// If the batch no longer contains the sources in sequence, the merged segment
// becomes obsolete.
func (s *Shard) applyMerge(b *Batch) {
	m := s.storedMerge
	s.storedMerge = nil
	if m == nil {
		return
	}
	b.merge = m
	first := slices.Index(b.Segments, m.Sources[0])
	if first < 0 || first+len(m.Sources) > len(b.Segments) || !slices.Equal(b.Segments[first:first+len(m.Sources)], m.Sources) {
		b.ObsoleteSegments = append(b.ObsoleteSegments, m.Name)
		return
	}
	segment := wire.ShardSegment{Name: m.Name, Claims: len(m.Claims)}
	for _, source := range m.Sources {
		segment.RetainUntilMs = max(segment.RetainUntilMs, source.RetainUntilMs)
		b.ObsoleteSegments = append(b.ObsoleteSegments, source.Name)
	}
	b.Segments = slices.Replace(slices.Clone(b.Segments), first, first+len(m.Sources), segment)
}
