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

// upstream answers each request on a connection with the next of its scripts; a
// script that ends with "RST" or "FIN" ends the connection so.
type upstream struct {
	lis      net.Listener
	accepted chan struct{}
	requests chan string
}

func newUpstream(t *testing.T, scripts ...string) *upstream {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	u := &upstream{lis: lis, accepted: make(chan struct{}, 64), requests: make(chan string, 64)}
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

func (u *upstream) serve(c net.Conn, next chan string) {
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

func (u *upstream) addr() string { return u.lis.Addr().String() }

func newClient() *direct.Client { return direct.NewClient((&net.Dialer{}).DialContext) }

// call makes one call for an attempt and reads its answer whole.
func call(t *testing.T, c *direct.Client, u *upstream, id string) (string, error) {
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

func answer(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + itoa(len(body)) + "\r\n\r\n" + body
}

func itoa(n int) string { return string(rune('0' + n)) }

func TestRequestLeavesAsItCame(t *testing.T) {
	u := newUpstream(t, answer("1", "yes"))
	body, err := call(t, newClient(), u, "1")
	assert.NilError(t, err)
	assert.Equal(t, body, "yes")
	assert.Equal(t, <-u.requests, "POST /p?q=%41 x.example hello")
}

func TestConnectionIsUsedAgain(t *testing.T) {
	u := newUpstream(t, answer("1", "a"), answer("2", "b"))
	c := newClient()
	for _, id := range []string{"1", "2"} {
		_, err := call(t, c, u, id)
		assert.NilError(t, err)
	}
	assert.Equal(t, c.Opened(), uint64(1))
}

// An upstream answers a request twice, and the second answer comes when the next
// request's is expected. The caller gets the answer that names its own attempt.
func TestLateExtraAnswerGoesToNobody(t *testing.T) {
	u := newUpstream(t, answer("1", "a"), answer("1", "x")+answer("2", "b"))
	c := newClient()
	_, err := call(t, c, u, "1")
	assert.NilError(t, err)
	body, err := call(t, c, u, "2")
	assert.NilError(t, err)
	assert.Equal(t, body, "b")
}

// An upstream sends bytes after a complete answer. They belong to no request, so the
// connection isn't used again.
func TestExtraBytesEndTheConnection(t *testing.T) {
	u := newUpstream(t, answer("1", "a")+answer("1", "x"), answer("2", "b"))
	c := newClient()
	for _, id := range []string{"1", "2"} {
		_, err := call(t, c, u, id)
		assert.NilError(t, err)
	}
	assert.Equal(t, c.Opened(), uint64(2))
}

// Answers that break off are errors, and never look whole: with a length, in chunks,
// or without a length on a connection that is reset.
func TestAnswersThatBreakOffAreNotWhole(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nId: 1\r\n"
	for name, script := range map[string]string{
		"length":      head + "Content-Length: 9\r\n\r\nabcFIN",
		"chunk":       head + "Transfer-Encoding: chunked\r\n\r\n5\r\nabFIN",
		"no last one": head + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\nFIN",
		"head":        "HTTP/1.1 200 OK\r\nIdFIN",
		"no answer":   "FIN",
		"no HTTP":     "+OK ready\r\nFIN",
	} {
		_, err := call(t, newClient(), newUpstream(t, script), "1")
		assert.ErrorIs(t, err, direct.ErrBroken, name)
	}
	whole, err := call(t, newClient(), newUpstream(t, head+"\r\nabcFIN"), "1")
	assert.NilError(t, err)
	assert.Equal(t, whole, "abc")
}

func TestAnswersToOthersOnlyAreMalformed(t *testing.T) {
	u := newUpstream(t, strings.Repeat(answer("9", "x"), 3))
	_, err := call(t, newClient(), u, "1")
	assert.ErrorIs(t, err, direct.ErrMalformed)
}

// Nobody listens: no byte has left, so the request may go elsewhere whatever it is.
func TestRefusedConnectionSentNothing(t *testing.T) {
	u := newUpstream(t)
	_ = u.lis.Close()
	_, err := call(t, newClient(), u, "1")
	assert.ErrorIs(t, err, direct.ErrNotSent)
}

// The upstream closes an idle connection. The next request doesn't leave on it, where
// it would be in doubt.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	u := newUpstream(t, answer("1", "a")+"FIN", answer("2", "b"))
	c := newClient()
	_, err := call(t, c, u, "1")
	assert.NilError(t, err)
	for range 200 {
		// The close is on its way over loopback.
		time.Sleep(time.Millisecond)
	}
	body, err := call(t, c, u, "2")
	assert.NilError(t, err)
	assert.Equal(t, body, "b")
}

// The caller leaves while its answer is under way: the upstream sees the connection
// end at once and can stop.
func TestEndOfContextEndsTheCall(t *testing.T) {
	u := newUpstream(t, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\na")
	ctx, cancel := context.WithCancel(context.Background())
	resp, err := newClient().Do(ctx, u.addr(), &direct.Request{Method: "GET", URI: "/", Host: "x"}, func(int, http.Header) bool { return true })
	assert.NilError(t, err)
	cancel()
	_, err = io.ReadAll(resp.Body)
	assert.Assert(t, err != nil)
	resp.Body.Close()
}

func TestEventsArePassedWhole(t *testing.T) {
	const text = "id: 1\ndata: a\n\n: note\r\nid:2\r\ndata: b\r\n\r\n"
	e := direct.NewEvents(strings.NewReader(text))
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
	// An upstream that stops in the middle of an event has not come to its end.
	e = direct.NewEvents(strings.NewReader("id: 1\ndata: a\n\nid: 2\nda"))
	_, err := e.Next()
	assert.NilError(t, err)
	_, err = e.Next()
	assert.ErrorIs(t, err, direct.ErrPartialEvent)
}

// Whatever an upstream sends, the events that come out are what went in, in order,
// and nothing else.
func FuzzEvents(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2\n")
	f.Add("\n\n\n")
	f.Add("id:\r\n\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		e := direct.NewEvents(strings.NewReader(text))
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
