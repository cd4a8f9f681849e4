package lockstep

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

// A leader that was replaced goes on reading for a moment. Each leader is told every
// choice once: were there one last reading for both, each would miss what the other read.
func TestEachReaderIsToldEachChoiceOnce(t *testing.T) {
	var c Choices
	counts := []uint64{100, 50}
	tell := func(reader uint64, more ...uint64) []uint32 {
		for i, n := range more {
			counts[i] += n
		}
		return c.Since(reader, 1, slices.Clone(counts))
	}
	assert.Assert(t, tell(1) == nil, "the first reading counts since the start of the rank")
	assert.Assert(t, tell(2, 1, 0) == nil)
	assert.DeepEqual(t, tell(1, 2, 3), []uint32{3, 3})
	assert.DeepEqual(t, tell(2, 0, 1), []uint32{2, 4})
	assert.DeepEqual(t, tell(1), []uint32{0, 1})
}

// A rank that has started again counts from nothing, whether it says so or not. Its counts
// are no choices of the time between two readings.
func TestChoicesBeginAnewWithTheRank(t *testing.T) {
	var c Choices
	c.Since(1, 7, []uint64{10, 10})
	assert.Assert(t, c.Since(1, 8, []uint64{11, 11}) == nil)
	assert.DeepEqual(t, c.Since(1, 8, []uint64{12, 11}), []uint32{1, 0})
	assert.Assert(t, c.Since(1, 8, []uint64{3, 20}) == nil)
	assert.DeepEqual(t, c.Since(1, 8, []uint64{4, 20}), []uint32{1, 0})
}

func TestChoicesKeepFewReaders(t *testing.T) {
	var c Choices
	for reader := range uint64(100) {
		c.Since(reader, 1, []uint64{1})
	}
	assert.Equal(t, len(c.readers), mostReaders)
	assert.DeepEqual(t, c.Since(99, 1, []uint64{3}), []uint32{2})
}

func TestAddChoices(t *testing.T) {
	sum := AddChoices(nil, []uint32{1, 2})
	sum = AddChoices(sum, []uint32{3, 4})
	assert.DeepEqual(t, AddChoices(sum, []uint32{1}), []uint32{4, 6})
}
