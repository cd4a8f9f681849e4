package deflate

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestUnpackInvertsPack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		data := rapid.SliceOf(rapid.Byte()).Draw(t, "data")
		packed, err := Compress(data)
		if err != nil {
			t.Fatal(err)
		}
		unpacked, err := Decompress(packed, len(data))
		if err != nil || !bytes.Equal(unpacked, data) {
			t.Fatalf("%x, not %x: %v", unpacked, data, err)
		}
	})
}

// Corrupt or oversized input must be an error, not a truncated message.
func TestUnpackRejectsCorruptOrOversizedInput(t *testing.T) {
	packed, err := Compress(make([]byte, 1<<20))
	assert.NilError(t, err)
	_, err = Decompress(packed, 1<<20-1)
	assert.ErrorIs(t, err, ErrInvalid)
	_, err = Decompress(packed[:len(packed)/2], 1<<20)
	assert.ErrorIs(t, err, ErrInvalid)
	_, err = Decompress([]byte{0xff, 0xff}, 1<<20)
	assert.ErrorIs(t, err, ErrInvalid)
}
