package entry

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// The limit holds for bodies of any size, also after read errors, and all memory is
// released at the end.
func TestBodyMemoryStaysWithinLimitAndIsReleased(t *testing.T) {
	const limit = 64 << 10
	rapid.Check(t, func(t *rapid.T) {
		b := newBodyMemory(limit, 10)
		var received [][]byte
		for range rapid.IntRange(1, 20).Draw(t, "bodies") {
			sent := bytes.Repeat([]byte("x"), rapid.IntRange(0, 20<<10).Draw(t, "size"))
			var r io.Reader = bytes.NewReader(sent)
			broken := rapid.Bool().Draw(t, "broken")
			if broken {
				r = io.MultiReader(r, errReader{})
			}
			got, err := b.readAll(r, rapid.Bool().Draw(t, "urgent"))
			received = append(received, got)
			assert.Assert(t, b.inUse.Load() <= limit)
			if !errors.Is(err, errBodyMemoryFull) {
				assert.Equal(t, err != nil, broken)
				assert.Assert(t, bytes.Equal(got, sent))
			}
		}
		for _, body := range received {
			b.release(body)
		}
		assert.Equal(t, b.inUse.Load(), int64(0))
	})
}

type errReader struct{}

func (errReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

func TestUrgentBodyFitsWhenNonUrgentLimitIsReached(t *testing.T) {
	b := newBodyMemory(10*initialBufferSize, 20)
	body := func() io.Reader { return bytes.NewReader(make([]byte, initialBufferSize-1)) }
	for range 8 {
		_, err := b.readAll(body(), false)
		assert.NilError(t, err)
	}
	_, err := b.readAll(body(), false)
	assert.ErrorIs(t, err, errBodyMemoryFull)
	_, err = b.readAll(body(), true)
	assert.NilError(t, err)
}

// A stalled body ends with a timeout, and a complete body leaves no read deadline that
// would cancel the request while it runs.
func TestReadWithTimeoutEndsStalledBody(t *testing.T) {
	b := newBodyMemory(1<<20, 10)
	ended := make(chan error, 2)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		timeout := time.Minute
		if r.URL.Path == "/stalls" {
			timeout = 20 * time.Millisecond
		}
		body, err := b.readWithTimeout(w, r.Body, timeout, false)
		b.release(body)
		ended <- err
	}))
	defer srv.Close()
	conn, err := net.Dial("tcp", srv.Listener.Addr().String())
	assert.NilError(t, err)
	defer conn.Close()
	_, err = conn.Write([]byte("POST /stalls HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nhalf"))
	assert.NilError(t, err)
	assert.Assert(t, isReadTimeout(<-ended))
	resp, err := http.Post(srv.URL+"/comes", "", bytes.NewReader(make([]byte, 100_000)))
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	assert.NilError(t, <-ended)
	assert.Equal(t, b.inUse.Load(), int64(0))
}
