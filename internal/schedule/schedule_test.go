package schedule

import (
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

func TestSearchFindsTheLowestSeed(t *testing.T) {
	for range 50 {
		seed, text := Search(1000, func(seed uint64) string {
			if seed >= 137 && seed%3 == 0 {
				return "bad"
			}
			return ""
		})
		assert.Equal(t, seed, uint64(138))
		assert.Equal(t, text, "bad")
	}
}

func TestSearchRunsEachSeedOnce(t *testing.T) {
	var sum atomic.Uint64
	seed, text := Search(100, func(seed uint64) string {
		sum.Add(seed)
		return ""
	})
	assert.Equal(t, seed, uint64(0))
	assert.Equal(t, text, "")
	assert.Equal(t, sum.Load(), uint64(5050))
}
