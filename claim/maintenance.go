package claim

import (
	"context"
	"fmt"

	"github.com/hibiscuscart/hibiscuscart/dedup"
	"github.com/hibiscuscart/hibiscuscart/store"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

// startMaintenance seals, merges and deletes segments in a goroutine, one task
// at a time. In the write loop these calls would add to the latency of every
// waiting claim.
func (r *Runner) startMaintenance(ctx context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.maintaining {
		return
	}
	seal, _ := r.shard.BeginSeal(r.Now(), r.newSegmentName)
	var sources []wire.ShardSegment
	if seal == nil {
		sources = r.shard.MergeCandidates()
	}
	obsolete := r.obsoleteSegments
	if seal == nil && len(sources) == 0 && len(obsolete) == 0 {
		return
	}
	r.maintaining, r.obsoleteSegments = true, nil
	go r.maintain(ctx, seal, sources, obsolete)
}

func (r *Runner) maintain(ctx context.Context, seal *dedup.Seal, sources []wire.ShardSegment, obsolete []string) {
	ctx, cancel := context.WithTimeout(ctx, operationTimeout)
	defer cancel()
	var merge *dedup.Merge
	var err error
	switch {
	case seal != nil:
		err = r.putSegment(ctx, seal.Name, seal.Claims)
	case len(sources) > 0:
		merge, err = r.mergeSegments(ctx, sources)
	}
	r.deleteSegments(ctx, obsolete)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.maintaining = false
	if err != nil {
		if r.OnError != nil {
			r.OnError(err)
		}
		return
	}
	if seal != nil {
		r.shard.SealStored(seal)
	}
	if merge != nil {
		r.shard.MergeStored(merge)
	}
}

// putSegment creates a segment. The name is unique, so a conflict, or a lost
// response after which the segment can be read, means that the segment is
// stored.
func (r *Runner) putSegment(ctx context.Context, name string, claims []wire.Claim) error {
	packed, err := dedup.Pack(claims)
	if err != nil {
		return err
	}
	_, err = r.Put(ctx, KindSegment, name, 0, wire.ShardClaims{Packed: packed})
	if err == nil || store.IsConflict(err) {
		return nil
	}
	if store.IsResponseLost(err) {
		if _, readErr := r.Get(ctx, KindSegment, name); readErr == nil {
			return nil
		}
	}
	return fmt.Errorf("store segment: %w", err)
}

// mergeSegments stores one segment that replaces several small ones.
func (r *Runner) mergeSegments(ctx context.Context, sources []wire.ShardSegment) (*dedup.Merge, error) {
	contents := make([][]wire.Claim, len(sources))
	for i, seg := range sources {
		claims, err := r.readSegment(ctx, seg.Name)
		if err != nil {
			return nil, err
		}
		contents[i] = claims
	}
	m := dedup.NewMerge(r.Now(), sources, contents, r.newSegmentName())
	if err := r.putSegment(ctx, m.Name, m.Claims); err != nil {
		return nil, err
	}
	return m, nil
}

// deleteSegments deletes segments that the head no longer refers to. A failed
// deletion only leaves an unused object in the store.
func (r *Runner) deleteSegments(ctx context.Context, names []string) {
	for _, name := range names {
		obj, err := r.Get(ctx, KindSegment, name)
		if err != nil {
			continue
		}
		_ = r.Delete(ctx, KindSegment, name, obj.Version)
	}
}
