package lockstep

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestPackChoicesRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		most := rapid.SampledFrom([]uint32{0, 1, 3, 20, 300, 1<<32 - 1}).Draw(t, "most")
		chosen := rapid.SliceOf(rapid.Uint32Range(0, most)).Draw(t, "chosen")
		got, err := UnpackChoices(PackChoices(chosen))
		assert.NilError(t, err)
		assert.Equal(t, len(got), len(chosen))
		for i := range chosen {
			assert.Equal(t, got[i], chosen[i])
		}
	})
}

func FuzzUnpackChoices(f *testing.F) {
	f.Add(PackChoices([]uint32{1, 2, 300}))
	f.Add([]byte{4, 255})
	f.Fuzz(func(t *testing.T, data []byte) {
		if got, err := UnpackChoices(data); err == nil && len(got) > maxChoices {
			t.Fatal("more than maxChoices numbers were unpacked")
		}
	})
}

// The choices of all ranks of a relay must use at most half of a link of 6 Mbit/s.
func TestPackedChoicesFitSlowLink(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 1))
	var chosen []uint32
	for i := range 3840 {
		mean := 2.0
		if i%20 == 0 {
			mean = 40
		}
		chosen = append(chosen, uint32(mean*rnd.ExpFloat64()))
	}
	const link, period, ranks = 6e6 / 8, 0.15, 13
	size := len(PackChoices(chosen))
	assert.Assert(t, float64(ranks*size) < link*period/2, "%d bytes", size)
}
