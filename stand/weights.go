package stand

import (
	"context"
	"fmt"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/hibiscuscart/hibiscuscart/wire"
)

// WeightStore is a stand-in for the weight store. The zero value is ready for use, with
// the load limits of the example deployment vadodara and a model load time of half a second.
type WeightStore struct {
	// LoadsPerSecond is the maximum rate at which model loads start.
	LoadsPerSecond float64
	// FullSpeedModelLoads is how many concurrent model loads run at full speed.
	FullSpeedModelLoads int
	// ModelLoadTime and AdapterLoadTime are the load times at full speed.
	ModelLoadTime, AdapterLoadTime time.Duration
	// FullSpeedAdapterLoads is how many concurrent adapter loads run at full speed.
	FullSpeedAdapterLoads int

	once               sync.Once
	startLimiter       *rate.Limiter
	mu                 sync.Mutex
	activeModelLoads   int
	activeAdapterLoads int
	endedLoads         int
}

func (s *WeightStore) init() {
	s.once.Do(func() {
		s.LoadsPerSecond = orDefault(s.LoadsPerSecond, 1)
		s.FullSpeedModelLoads = orDefault(s.FullSpeedModelLoads, 4)
		s.FullSpeedAdapterLoads = orDefault(s.FullSpeedAdapterLoads, 30)
		s.ModelLoadTime = orDefault(s.ModelLoadTime, 500*time.Millisecond)
		s.AdapterLoadTime = orDefault(s.AdapterLoadTime, 7*time.Millisecond)
		s.startLimiter = rate.NewLimiter(rate.Limit(s.LoadsPerSecond), s.FullSpeedModelLoads)
	})
}

func orDefault[T comparable](v, fallback T) T {
	var zero T
	if v == zero {
		return fallback
	}
	return v
}

// EndedLoads returns the number of ended loads, canceled ones included.
func (s *WeightStore) EndedLoads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endedLoads
}

// Fetch loads the weights for an order and returns when the load is complete.
func (s *WeightStore) Fetch(ctx context.Context, order wire.Order) error {
	s.init()
	if order.Adapter == "" {
		if err := s.startLimiter.Wait(ctx); err != nil {
			return fmt.Errorf("wait for the weight store: %w", err)
		}
	}
	duration := s.startLoad(order)
	defer s.endLoad(order)
	t := time.NewTimer(duration)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return fmt.Errorf("fetch weights: %w", ctx.Err())
	case <-t.C:
		return nil
	}
}

// startLoad counts a load as active and returns its duration, which depends on
// the number of active loads.
func (s *WeightStore) startLoad(order wire.Order) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if order.Adapter != "" {
		s.activeAdapterLoads++
		return loadDuration(s.AdapterLoadTime, s.activeAdapterLoads, s.FullSpeedAdapterLoads)
	}
	s.activeModelLoads++
	return loadDuration(s.ModelLoadTime, s.activeModelLoads, s.FullSpeedModelLoads)
}

func loadDuration(fullSpeedDuration time.Duration, activeLoads, fullSpeedLoads int) time.Duration {
	if activeLoads <= fullSpeedLoads {
		return fullSpeedDuration
	}
	return fullSpeedDuration * time.Duration(activeLoads) / time.Duration(fullSpeedLoads)
}

func (s *WeightStore) endLoad(order wire.Order) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endedLoads++
	if order.Adapter != "" {
		s.activeAdapterLoads--
		return
	}
	s.activeModelLoads--
}
