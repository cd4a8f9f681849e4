package lockstep

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Changes and the full encoding must decode to the same map. Without the right base, decoding
// changes must fail.
func TestMapIsEncodedAsChanges(t *testing.T) {
	current, load := initialMap(huge), zipf(huge, 1.1, 0)
	p, ok := Plan(huge, DefaultPlanSettings(), current, load, nil)
	assert.Assert(t, ok)
	changes, full := p.Map.encodeChanges(current, 7), p.Map.encode()
	assert.Assert(t, len(changes) < 3000, "%d bytes", len(changes))
	assert.Assert(t, len(full) < 3000, "the first map of a new group should be encoded as changes to the round-robin map: %d bytes", len(full))

	got, err := DecodeMap(changes, func(v uint64) Map {
		assert.Equal(t, v, uint64(7))
		return current
	})
	assert.NilError(t, err)
	assert.DeepEqual(t, got, p.Map)
	again, err := DecodeMap(full, nil)
	assert.NilError(t, err)
	assert.DeepEqual(t, again, p.Map)

	_, err = DecodeMap(changes, func(uint64) Map { return nil })
	assert.ErrorIs(t, err, ErrNoBase)
	_, err = DecodeMap(changes, func(uint64) Map { return initialMap(small) })
	assert.ErrorIs(t, err, ErrMap)
}

func TestEncodeChangesRoundTrip(t *testing.T) {
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
					t.Fatalf("got %v, want %v", got, m)
				}
			}
		}
	})
}

// Malformed maps must neither cause a panic nor exhaust the memory.
func FuzzDecodeMap(f *testing.F) {
	m := initialMap(small)
	f.Add(m.encode())
	f.Add(m.encodeChanges(roundRobinMap(small.Ranks, small.Sets, small.Experts), 2))
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = DecodeMap(data, func(uint64) Map { return m })
	})
}
