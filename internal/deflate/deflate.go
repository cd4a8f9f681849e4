// Package deflate compresses encoded messages that are sent or stored many times.
package deflate

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/ansel1/merry/v2"
)

// ErrInvalid is returned for data that can't be decompressed or exceeds the size limit.
var ErrInvalid = merry.Sentinel("compressed message is invalid")

// Compress compresses data with DEFLATE at the fastest level.
func Compress(data []byte) ([]byte, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(data); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// Decompress decompresses the output of Compress. It returns ErrInvalid if the result is larger
// than maxSize bytes, so that corrupt or hostile input can't exhaust memory.
func Decompress(packed []byte, maxSize int) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(packed))
	data, err := io.ReadAll(io.LimitReader(r, int64(maxSize)+1))
	if err != nil {
		return nil, merry.Prepend(ErrInvalid, err.Error())
	}
	if len(data) > maxSize {
		return nil, merry.Prependf(ErrInvalid, "decompressed size exceeds %d bytes", maxSize)
	}
	return data, nil
}
