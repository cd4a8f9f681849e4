package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/wire"
)

// startDroppingServer returns the URL of a server that answers the first request, and
// closes the connection after it has read the second, like one that crashes.
func startDroppingServer(t *testing.T, seen *atomic.Int32, bodies chan<- string) string {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = lis.Close() })
	go func() {
		for {
			conn, err := lis.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				r := bufio.NewReader(conn)
				for {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					body, _ := io.ReadAll(req.Body)
					bodies <- string(body)
					if seen.Add(1) != 1 {
						return
					}
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
				}
			}()
		}
	}()
	return "http://" + lis.Addr().String()
}

// A request must not be sent twice when the upstream crashes after reading it on a reused
// connection. net/http resends requests that look replayable.
func TestBrokenIdleConnectionIsNotRetried(t *testing.T) {
	for _, c := range []struct{ method, body string }{
		{http.MethodPost, "a body"}, {http.MethodPost, ""}, {http.MethodGet, ""}, {http.MethodGet, "a body"},
	} {
		var seen atomic.Int32
		bodies := make(chan string, 8)
		up, err := New("plain", map[string]any{"url": startDroppingServer(t, &seen, bodies)})
		assert.NilError(t, err)
		defer up.Close()
		head := &wire.RunHead{
			RequestId: "q", Method: c.method, Path: "/lots/1",
			Headers: []*wire.Header{{Name: "Idempotency-Key", Value: "bid"}},
		}
		a, err := up.Do(context.Background(), head, []byte(c.body))
		assert.NilError(t, err)
		_, err = io.Copy(io.Discard, a.Body)
		assert.NilError(t, err)
		assert.NilError(t, a.Body.Close())
		_, err = up.Do(context.Background(), head, []byte(c.body))
		assert.ErrorIs(t, err, ErrFailed, "%s %q", c.method, c.body)
		assert.Equal(t, seen.Load(), int32(2), "%s %q", c.method, c.body)
		assert.Equal(t, <-bodies, c.body)
		assert.Equal(t, <-bodies, c.body)
	}
}

// An escaped slash in the path reaches the upstream escaped.
func TestEscapedPathIsPreserved(t *testing.T) {
	got := make(chan string, 1)
	srv := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { got <- r.URL.EscapedPath() + "?" + r.URL.RawQuery }))
	defer srv.Close()
	for _, base := range []string{"", "/", "/behind/"} {
		up, err := New("plain", map[string]any{"url": srv.URL + base})
		assert.NilError(t, err)
		defer up.Close()
		answer, err := up.Do(context.Background(), &wire.RunHead{RequestId: "q", Method: http.MethodGet, Path: "/lots/17%2Fb/confirm?x=%20"}, nil)
		assert.NilError(t, err)
		_ = answer.Body.Close()
		assert.Equal(t, <-got, strings.TrimSuffix(base, "/")+"/lots/17%2Fb/confirm?x=%20")
	}
}
