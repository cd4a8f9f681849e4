// Package deflate packs encoded messages that are sent or stored many times.
package deflate

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/ansel1/merry/v2"
)

// ErrPacked is returned for bytes that can't be unpacked, or unpack to too many.
var ErrPacked = merry.Sentinel("packed message can't be read")

// Pack deflates data at the fastest level: documents of hundreds of routes fall to a
// tenth, and the slower levels win little more.
func Pack(data []byte) ([]byte, error) {
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

// Unpack inflates what Pack made, up to a number of bytes: a few damaged ones could
// otherwise fill the memory.
func Unpack(packed []byte, most int) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(packed))
	data, err := io.ReadAll(io.LimitReader(r, int64(most)+1))
	if err != nil {
		return nil, merry.Prepend(ErrPacked, err.Error())
	}
	if len(data) > most {
		return nil, merry.Prependf(ErrPacked, "more than %d bytes", most)
	}
	return data, nil
}
