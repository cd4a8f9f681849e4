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

// Bodies of any sizes come in pieces of any sizes, and some break off. What is read
// is what was sent, the bound holds at each moment, and all memory comes back.
func TestBodiesAreReadWithinTheirBound(t *testing.T) {
	const limit = 64 << 10
	rapid.Check(t, func(t *rapid.T) {
		b := newBodies(limit, 10)
		var held [][]byte
		for range rapid.IntRange(1, 20).Draw(t, "bodies") {
			sent := bytes.Repeat([]byte("x"), rapid.IntRange(0, 20<<10).Draw(t, "size"))
			var r io.Reader = bytes.NewReader(sent)
			broken := rapid.Bool().Draw(t, "broken")
			if broken {
				r = io.MultiReader(r, errReader{})
			}
			got, err := b.read(r, rapid.Bool().Draw(t, "urgent"))
			held = append(held, got)
			assert.Assert(t, b.held.Load() <= limit)
			if !errors.Is(err, errBodiesFull) {
				assert.Equal(t, err != nil, broken)
				assert.Assert(t, bytes.Equal(got, sent))
			}
		}
		for _, body := range held {
			b.free(body)
		}
		assert.Equal(t, b.held.Load(), int64(0))
	})
}

type errReader struct{}

func (errReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// Bulk bodies fill all the memory that they may. An urgent body still has room.
func TestBulkBodiesKeepNoUrgentOneOut(t *testing.T) {
	b := newBodies(10*firstBuffer, 20)
	body := func() io.Reader { return bytes.NewReader(make([]byte, firstBuffer-1)) }
	for range 8 {
		_, err := b.read(body(), false)
		assert.NilError(t, err)
	}
	_, err := b.read(body(), false)
	assert.ErrorIs(t, err, errBodiesFull)
	_, err = b.read(body(), true)
	assert.NilError(t, err)
}

// A caller stalls in the middle of its body. The read ends at its deadline, and says
// so, instead of holding the connection; a body that comes whole leaves no deadline
// behind that would make the caller look gone while its request runs.
func TestStalledBodyEndsAtItsDeadline(t *testing.T) {
	b := newBodies(1<<20, 10)
	ended := make(chan error, 2)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		within := time.Minute
		if r.URL.Path == "/stalls" {
			within = 20 * time.Millisecond
		}
		body, err := b.readTimely(w, r.Body, within, false)
		b.free(body)
		ended <- err
	}))
	defer srv.Close()
	conn, err := net.Dial("tcp", srv.Listener.Addr().String())
	assert.NilError(t, err)
	defer conn.Close()
	_, err = conn.Write([]byte("POST /stalls HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nhalf"))
	assert.NilError(t, err)
	assert.Assert(t, late(<-ended))
	resp, err := http.Post(srv.URL+"/comes", "", bytes.NewReader(make([]byte, 100_000)))
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	assert.NilError(t, <-ended)
	assert.Equal(t, b.held.Load(), int64(0))
}
