// Package schedule runs seeded fault schedules in parallel, for tests.
package schedule

import (
	"runtime"
	"sync"
	"sync/atomic"
)

// Search runs seeds 1 to n until one fails. It returns the lowest failing seed and its
// failure, or 0 and "". The result is deterministic: seeds are handed out in order, so
// all seeds below a failing one have run when Search returns.
func Search(n uint64, run func(seed uint64) (failure string)) (seed uint64, failure string) {
	var next atomic.Uint64
	var mu sync.Mutex
	var wg sync.WaitGroup
	// A seed below the lowest failing one must still run, as it may fail too.
	needed := func(s uint64) bool {
		mu.Lock()
		defer mu.Unlock()
		return failure == "" || s < seed
	}
	recordFailure := func(s uint64, text string) {
		mu.Lock()
		defer mu.Unlock()
		if failure == "" || s < seed {
			seed, failure = s, text
		}
	}
	for range runtime.GOMAXPROCS(0) {
		wg.Go(func() {
			for s := next.Add(1); s <= n && needed(s); s = next.Add(1) {
				if text := run(s); text != "" {
					recordFailure(s, text)
				}
			}
		})
	}
	wg.Wait()
	return seed, failure
}
