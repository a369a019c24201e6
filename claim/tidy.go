package claim

import (
	"context"
	"fmt"

	"github.com/hibiscuscart/hibiscuscart/dedup"
	"github.com/hibiscuscart/hibiscuscart/store"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

// startTidy stores segments beside the running batches, one task at a time: in
// the batches' own loop each would add its calls to the time of every claim
// that waits.
func (r *Runner) startTidy(ctx context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.tidying {
		return
	}
	seal, _ := r.shard.BeginSeal(r.Now(), r.segmentName)
	var old []wire.ShardSegment
	if seal == nil {
		old = r.shard.BeginMerge()
	}
	dropped := r.dropped
	if seal == nil && len(old) == 0 && len(dropped) == 0 {
		return
	}
	r.tidying, r.dropped = true, nil
	go r.tidy(ctx, seal, old, dropped)
}

func (r *Runner) tidy(ctx context.Context, seal *dedup.Seal, old []wire.ShardSegment, dropped []string) {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	var merge *dedup.Merge
	var err error
	switch {
	case seal != nil:
		err = r.putSegment(ctx, seal.Name, seal.Claims)
	case len(old) > 0:
		merge, err = r.merge(ctx, old)
	}
	r.drop(ctx, dropped)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tidying = false
	if err != nil {
		if r.Failed != nil {
			r.Failed(err)
		}
		return
	}
	if seal != nil {
		r.shard.Sealed(seal)
	}
	if merge != nil {
		r.shard.Merged(merge)
	}
}

// putSegment creates a segment. Its name is new, so that a conflict, or a lost
// answer that reading back shows to have taken effect, is a success.
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

// merge stores one segment that takes the place of several small ones.
func (r *Runner) merge(ctx context.Context, old []wire.ShardSegment) (*dedup.Merge, error) {
	contents := make([][]wire.Claim, len(old))
	for i, seg := range old {
		claims, err := r.readSegment(ctx, seg.Name)
		if err != nil {
			return nil, err
		}
		contents[i] = claims
	}
	m := dedup.NewMerge(r.Now(), old, contents, r.segmentName())
	if err := r.putSegment(ctx, m.Name, m.Claims); err != nil {
		return nil, err
	}
	return m, nil
}

// drop deletes segments that no head refers to any more. One that stays behind
// does no harm but takes up room.
func (r *Runner) drop(ctx context.Context, names []string) {
	for _, name := range names {
		obj, err := r.Get(ctx, KindSegment, name)
		if err != nil {
			continue
		}
		_ = r.Delete(ctx, KindSegment, name, obj.Version)
	}
}
