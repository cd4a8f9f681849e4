package lockstep

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// A group of 192 ranks is told a map of which the plan changed little. Whoever knows the one
// in force reads the same map from the changes as from the whole; who doesn't says so, and
// never takes another map for the base.
func TestMapIsToldAsChanges(t *testing.T) {
	current, load := inTurn(huge), zipf(huge, 1.1, 0)
	p, ok := Plan(huge, DefaultPlanSettings(), current, load, nil)
	assert.Assert(t, ok)
	changes, whole := p.Map.encodeChanges(current, 7), p.Map.encode()
	assert.Assert(t, len(changes) < 3000, "%d bytes", len(changes))
	assert.Assert(t, len(whole) < 3000, "a new group's first map is told as changes to the one in turn: %d bytes", len(whole))

	got, err := DecodeMap(changes, func(v uint64) Map {
		assert.Equal(t, v, uint64(7))
		return current
	})
	assert.NilError(t, err)
	assert.DeepEqual(t, got, p.Map)
	again, err := DecodeMap(whole, nil)
	assert.NilError(t, err)
	assert.DeepEqual(t, again, p.Map)

	_, err = DecodeMap(changes, func(uint64) Map { return nil })
	assert.ErrorIs(t, err, ErrNoBase)
	_, err = DecodeMap(changes, func(uint64) Map { return inTurn(small) })
	assert.ErrorIs(t, err, ErrMap)
}

func TestChangesGiveBackAnyMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sets, ranks := rapid.IntRange(1, 4).Draw(t, "sets"), rapid.IntRange(1, 8).Draw(t, "ranks")
		draw := func(name string) Map {
			m := make(Map, sets)
			for set := range m {
				for range ranks {
					m[set] = append(m[set], rapid.SliceOfN(rapid.Uint32Max(20), 0, 3).Draw(t, name))
				}
			}
			return m
		}
		base, m := draw("base"), draw("map")
		before := base.Clone()
		got, err := DecodeMap(m.encodeChanges(base, 3), func(uint64) Map { return base })
		if err != nil {
			t.Fatal(err)
		}
		for set := range m {
			for r := range m[set] {
				if !slices.Equal(got[set][r], m[set][r]) || !slices.Equal(base[set][r], before[set][r]) {
					t.Fatalf("%v, not %v", got, m)
				}
			}
		}
	})
}

// What is not read as a map must not end the process, nor take its memory.
func FuzzDecodeMap(f *testing.F) {
	m := inTurn(small)
	f.Add(m.encode())
	f.Add(m.encodeChanges(mapInTurn(small.Ranks, small.Sets, small.Experts), 2))
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = DecodeMap(data, func(uint64) Map { return m })
	})
}
