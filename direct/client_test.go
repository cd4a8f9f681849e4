package direct_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/direct"
)

// testUpstream responds to each request with the next of its scripts. A script that ends in
// "RST" or "FIN" then resets or closes the connection.
type testUpstream struct {
	lis      net.Listener
	accepted chan struct{}
	requests chan string
}

func newTestUpstream(t *testing.T, scripts ...string) *testUpstream {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	u := &testUpstream{lis: lis, accepted: make(chan struct{}, 64), requests: make(chan string, 64)}
	next := make(chan string, len(scripts))
	for _, s := range scripts {
		next <- s
	}
	t.Cleanup(func() { _ = lis.Close() })
	go func() {
		for {
			c, err := lis.Accept()
			if err != nil {
				return
			}
			u.accepted <- struct{}{}
			go u.serve(c, next)
		}
	}()
	return u
}

func (u *testUpstream) serve(c net.Conn, next chan string) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(req.Body)
		u.requests <- req.Method + " " + req.RequestURI + " " + req.Host + " " + string(body)
		script := <-next
		text, end := strings.TrimSuffix(strings.TrimSuffix(script, "RST"), "FIN"), ""
		if text != script {
			end = script[len(text):]
		}
		_, _ = io.WriteString(c, text)
		if end == "RST" {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
		if end != "" {
			return
		}
	}
}

func (u *testUpstream) addr() string { return u.lis.Addr().String() }

func newClient() *direct.Client { return direct.NewClient((&net.Dialer{}).DialContext) }

// call sends a request for the given attempt and reads the response to its end.
func call(t *testing.T, c *direct.Client, u *testUpstream, id string) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	req := &direct.Request{Method: "POST", URI: "/p?q=%41", Host: "x.example", Header: http.Header{"Id": {id}}, Body: []byte("hello")}
	resp, err := c.Do(ctx, u.addr(), req, func(_ int, h http.Header) bool { return h.Get("Id") == id })
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

func okResponse(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + digit(len(body)) + "\r\n\r\n" + body
}

func digit(n int) string { return string(rune('0' + n)) }

func TestRequestIsSentUnchanged(t *testing.T) {
	u := newTestUpstream(t, okResponse("1", "yes"))
	body, err := call(t, newClient(), u, "1")
	assert.NilError(t, err)
	assert.Equal(t, body, "yes")
	assert.Equal(t, <-u.requests, "POST /p?q=%41 x.example hello")
}

func TestConnectionIsReused(t *testing.T) {
	u := newTestUpstream(t, okResponse("1", "a"), okResponse("2", "b"))
	c := newClient()
	for _, id := range []string{"1", "2"} {
		_, err := call(t, c, u, id)
		assert.NilError(t, err)
	}
	assert.Equal(t, c.Opened(), uint64(1))
}

// A duplicate response that arrives before the response to the next request must be
// discarded.
func TestDuplicateResponseIsDiscarded(t *testing.T) {
	u := newTestUpstream(t, okResponse("1", "a"), okResponse("1", "x")+okResponse("2", "b"))
	c := newClient()
	_, err := call(t, c, u, "1")
	assert.NilError(t, err)
	body, err := call(t, c, u, "2")
	assert.NilError(t, err)
	assert.Equal(t, body, "b")
}

// A connection on which data follows a complete response must not be reused.
func TestExtraDataPreventsReuse(t *testing.T) {
	u := newTestUpstream(t, okResponse("1", "a")+okResponse("1", "x"), okResponse("2", "b"))
	c := newClient()
	for _, id := range []string{"1", "2"} {
		_, err := call(t, c, u, id)
		assert.NilError(t, err)
	}
	assert.Equal(t, c.Opened(), uint64(2))
}

// Truncated responses must be reported as errors: those with a length, chunked ones and
// incomplete heads. A body without framing is complete when the connection ends.
func TestTruncatedResponsesAreErrors(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nId: 1\r\n"
	for name, script := range map[string]string{
		"length":      head + "Content-Length: 9\r\n\r\nabcFIN",
		"chunk":       head + "Transfer-Encoding: chunked\r\n\r\n5\r\nabFIN",
		"no last one": head + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\nFIN",
		"head":        "HTTP/1.1 200 OK\r\nIdFIN",
		"no response": "FIN",
		"no HTTP":     "+OK ready\r\nFIN",
	} {
		_, err := call(t, newClient(), newTestUpstream(t, script), "1")
		assert.ErrorIs(t, err, direct.ErrConnectionFailed, name)
	}
	body, err := call(t, newClient(), newTestUpstream(t, head+"\r\nabcFIN"), "1")
	assert.NilError(t, err)
	assert.Equal(t, body, "abc")
}

func TestOnlyResponsesToOtherAttempts(t *testing.T) {
	u := newTestUpstream(t, strings.Repeat(okResponse("9", "x"), 3))
	_, err := call(t, newClient(), u, "1")
	assert.ErrorIs(t, err, direct.ErrInvalidResponse)
}

// A refused connection must be reported as ErrNotSent, since any request may then be
// sent elsewhere.
func TestRefusedConnectionIsNotSent(t *testing.T) {
	u := newTestUpstream(t)
	_ = u.lis.Close()
	_, err := call(t, newClient(), u, "1")
	assert.ErrorIs(t, err, direct.ErrNotSent)
}

// A request must not be sent on an idle connection that the upstream has closed, where
// its outcome would be unknown.
func TestClosedIdleConnectionIsNotReused(t *testing.T) {
	u := newTestUpstream(t, okResponse("1", "a")+"FIN", okResponse("2", "b"))
	c := newClient()
	_, err := call(t, c, u, "1")
	assert.NilError(t, err)
	for range 200 {
		// Waits for the close to arrive.
		time.Sleep(time.Millisecond)
	}
	body, err := call(t, c, u, "2")
	assert.NilError(t, err)
	assert.Equal(t, body, "b")
}

// Cancelling the context while the body is read must end the call.
func TestCancelledContextEndsCall(t *testing.T) {
	u := newTestUpstream(t, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\na")
	ctx, cancel := context.WithCancel(context.Background())
	resp, err := newClient().Do(ctx, u.addr(), &direct.Request{Method: "GET", URI: "/", Host: "x"}, func(int, http.Header) bool { return true })
	assert.NilError(t, err)
	cancel()
	_, err = io.ReadAll(resp.Body)
	assert.Assert(t, err != nil)
	resp.Body.Close()
}

func TestEventsAreReadWhole(t *testing.T) {
	const text = "id: 1\ndata: a\n\n: note\r\nid:2\r\ndata: b\r\n\r\n"
	e := direct.NewEventReader(strings.NewReader(text), direct.NewMemoryBudget(1<<20))
	var raw, ids string
	for {
		ev, err := e.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		assert.NilError(t, err)
		raw += string(ev.Raw)
		ids += ev.ID + ","
	}
	assert.Equal(t, raw, text)
	assert.Equal(t, ids, "1,2,")
	// A stream that ends in the middle of an event is incomplete.
	e = direct.NewEventReader(strings.NewReader("id: 1\ndata: a\n\nid: 2\nda"), direct.NewMemoryBudget(1<<20))
	_, err := e.Next()
	assert.NilError(t, err)
	_, err = e.Next()
	assert.ErrorIs(t, err, direct.ErrPartialEvent)
}

// For any input, the concatenated events must be a prefix of it.
func FuzzEvents(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2\n")
	f.Add("\n\n\n")
	f.Add("id:\r\n\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		e := direct.NewEventReader(strings.NewReader(text), direct.NewMemoryBudget(1<<20))
		out := ""
		for {
			ev, err := e.Next()
			if err != nil {
				break
			}
			out += string(ev.Raw)
		}
		assert.Assert(t, strings.HasPrefix(text, out))
	})
}
