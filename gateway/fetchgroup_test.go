package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// simulateFetches simulates watches of several replicas that report the same version at once.
// takes and fails describe the nth fetch. It returns the number of fetches and the version that
// was applied.
func simulateFetches(watches int, takes func(n int32) time.Duration, fails func(n int32) bool) (made int32, held uint64) {
	const version = 7
	f := newFetchGroup()
	var fetched, applied atomic.Int32
	var wg sync.WaitGroup
	for range watches {
		wg.Go(func() {
			wanted := func() bool { return applied.Load() < version }
			for wanted() {
				done := f.begin(context.Background(), version)
				if !wanted() {
					done()
					return
				}
				n := fetched.Add(1)
				time.Sleep(takes(n))
				if !fails(n) {
					applied.Store(version)
				}
				done()
			}
		})
	}
	wg.Wait()
	return fetched.Load(), uint64(applied.Load())
}

// A version that several replicas report at once is fetched from one of them. If that fetch fails
// or takes too long, the other watches fetch it.
func TestVersionIsFetchedOnce(t *testing.T) {
	quick := func(int32) time.Duration { return 10 * time.Millisecond }
	synctest.Test(t, func(t *testing.T) {
		made, held := simulateFetches(5, quick, func(int32) bool { return false })
		assert.Equal(t, made, int32(1))
		assert.Equal(t, held, uint64(7))
	})
	synctest.Test(t, func(t *testing.T) {
		_, held := simulateFetches(5, quick, func(n int32) bool { return n < 3 })
		assert.Equal(t, held, uint64(7))
	})
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		silent := func(n int32) time.Duration {
			if n == 1 {
				return 5 * time.Second
			}
			return quick(n)
		}
		_, held := simulateFetches(5, silent, func(n int32) bool { return n == 1 })
		assert.Equal(t, held, uint64(7))
		assert.Assert(t, time.Since(began) < 5500*time.Millisecond, "took %s", time.Since(began))
	})
}
