package bench

import (
	"sync"
	"time"
)

// sampleSum calls sample at each interval and adds up the results. The returned
// function stops sampling and returns the sum.
func sampleSum(interval time.Duration, sample func() int) func() int {
	done := make(chan struct{})
	total := 0
	var wg sync.WaitGroup
	wg.Go(func() {
		tick := time.NewTicker(interval)
		defer tick.Stop()
		for {
			select {
			case <-done:
				return
			case <-tick.C:
				total += sample()
			}
		}
	})
	return func() int {
		close(done)
		wg.Wait()
		return total
	}
}
