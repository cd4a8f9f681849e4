// Package schedule runs seeded schedules of faults side by side. Only tests use it.
package schedule

import (
	"runtime"
	"sync"
	"sync/atomic"
)

// Search runs seeds 1 to n until one fails, and returns the lowest that does with
// what went wrong, or 0 and "". The answer is the same on every run: seeds are
// handed out in order, so all below a failing one have run when Search returns.
func Search(n uint64, run func(seed uint64) (failure string)) (seed uint64, failure string) {
	var next atomic.Uint64
	var mu sync.Mutex
	var wg sync.WaitGroup
	// A seed that was handed out below a failing one must still run: which of the
	// two comes first is chance.
	needed := func(s uint64) bool {
		mu.Lock()
		defer mu.Unlock()
		return failure == "" || s < seed
	}
	note := func(s uint64, text string) {
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
					note(s, text)
				}
			}
		})
	}
	wg.Wait()
	return seed, failure
}
