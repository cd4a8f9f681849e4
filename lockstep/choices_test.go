package lockstep

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

// A replaced leader may keep reading for a moment. Each reader must get every increase exactly
// once, whatever others read.
func TestChoiceCounterReportsEachIncreaseOncePerReader(t *testing.T) {
	var c ChoiceCounter
	counts := []uint64{100, 50}
	read := func(reader uint64, more ...uint64) []uint32 {
		for i, n := range more {
			counts[i] += n
		}
		return c.Delta(reader, 1, slices.Clone(counts))
	}
	assert.Assert(t, read(1) == nil, "the first reading counts since the start of the rank")
	assert.Assert(t, read(2, 1, 0) == nil)
	assert.DeepEqual(t, read(1, 2, 3), []uint32{3, 3})
	assert.DeepEqual(t, read(2, 0, 1), []uint32{2, 4})
	assert.DeepEqual(t, read(1), []uint32{0, 1})
}

// A restarted rank counts from zero, under a new incarnation or not; its counters must not be
// taken for an increase.
func TestChoiceCounterAfterRankRestart(t *testing.T) {
	var c ChoiceCounter
	c.Delta(1, 7, []uint64{10, 10})
	assert.Assert(t, c.Delta(1, 8, []uint64{11, 11}) == nil)
	assert.DeepEqual(t, c.Delta(1, 8, []uint64{12, 11}), []uint32{1, 0})
	assert.Assert(t, c.Delta(1, 8, []uint64{3, 20}) == nil)
	assert.DeepEqual(t, c.Delta(1, 8, []uint64{4, 20}), []uint32{1, 0})
}

func TestChoiceCounterBoundsReaders(t *testing.T) {
	var c ChoiceCounter
	for reader := range uint64(100) {
		c.Delta(reader, 1, []uint64{1})
	}
	assert.Equal(t, len(c.readers), maxReaders)
	assert.DeepEqual(t, c.Delta(99, 1, []uint64{3}), []uint32{2})
}

func TestAddChoices(t *testing.T) {
	sum := AddChoices(nil, []uint32{1, 2})
	sum = AddChoices(sum, []uint32{3, 4})
	assert.DeepEqual(t, AddChoices(sum, []uint32{1}), []uint32{4, 6})
}
