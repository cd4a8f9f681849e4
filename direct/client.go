package direct

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/snipereach/snipereach/transport"
)

var (
	// ErrNotSent is returned if no byte of the request was sent, in general because the
	// connection could not be opened. The request was not executed.
	ErrNotSent = merry.Sentinel("request was not sent to upstream")
	// ErrConnectionFailed is returned if the connection failed before the complete response was
	// read. The request may have been executed.
	ErrConnectionFailed = merry.Sentinel("connection to upstream failed before the response was complete")
	// ErrInvalidResponse is returned if the upstream sent something other than a response to
	// the request. The request may have been executed.
	ErrInvalidResponse = merry.Sentinel("upstream sent an invalid response")
)

const (
	// readBufferSize is the size of a connection's read buffer in bytes.
	readBufferSize = 4 << 10
	// maxIdlePerUpstream bounds the idle connections to one upstream.
	maxIdlePerUpstream = 16
	// maxIdleTime is how long an idle connection is kept at most.
	maxIdleTime = 4 * time.Second
	// idleMargin is subtracted from the upstream's own idle timeout: the outcome of a
	// request sent while the upstream closes the connection would be unknown.
	idleMargin = time.Second
	// maxResponses is the maximum number of responses read in one call, including those
	// to other attempts, which are discarded.
	maxResponses = 3
	// maxDiscardedBytes bounds the body of a discarded response.
	maxDiscardedBytes = 1 << 20
)

// Request is a request to an upstream.
type Request struct {
	Method string
	// URI is the request target, sent unchanged.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
}

// Response is the head of a response. Its body must be closed.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body in bytes, or -1 if it is unknown.
	Length int64
	// Unframed says that the response has neither a length nor chunks and ends with its connection.
	Unframed bool
	Body     *Body
}

// Client sends requests to upstreams and pools its connections to them. It is safe for
// concurrent use.
type Client struct {
	dial transport.DialFunc

	mu sync.Mutex
	// idle holds the idle connections by address, the most recently used last.
	idle map[string][]*conn
	// opened is the number of connections opened so far.
	opened uint64
}

// NewClient creates a client that opens connections with dial.
func NewClient(dial transport.DialFunc) *Client {
	return &Client{dial: dial, idle: map[string][]*conn{}}
}

// Opened returns the number of connections opened so far.
func (c *Client) Opened() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.opened
}

// Do sends a request to an address and reads the head of the response. accept reports
// whether a response belongs to the request. The context also covers the reading of the
// body: when it is done, the connection is reset, so that the upstream can stop working
// on the request.
func (c *Client) Do(ctx context.Context, addr string, r *Request, accept func(status int, h http.Header) bool) (*Response, error) {
	cn, err := c.connect(ctx, addr)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, cn.abort)
	resp, err := c.exchange(cn, r, accept)
	if err != nil {
		stop()
		cn.abort()
		return nil, err
	}
	body := &Body{client: c, addr: addr, conn: cn, resp: resp, stopAbort: stop}
	return &Response{Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, Unframed: !transport.HasFraming(resp), Body: body}, nil
}

// connect returns an idle connection that can be reused, or opens a new one.
func (c *Client) connect(ctx context.Context, addr string) (*conn, error) {
	for {
		cn := c.popIdle(addr)
		if cn == nil {
			break
		}
		if time.Now().Before(cn.idleUntil) && cn.reusable() {
			return cn, nil
		}
		_ = cn.Close()
	}
	cn, err := c.open(ctx, addr)
	if err != nil {
		return nil, merry.Prepend(ErrNotSent, err.Error())
	}
	return cn, nil
}

// open opens a connection. The error is that of dial.
func (c *Client) open(ctx context.Context, addr string) (*conn, error) {
	nc, err := c.dial(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	c.opened++
	c.mu.Unlock()
	return newConn(nc), nil
}

// popIdle removes and returns the most recently used idle connection, or nil.
func (c *Client) popIdle(addr string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[addr]
	if len(list) == 0 {
		return nil
	}
	last := list[len(list)-1]
	c.idle[addr] = list[:len(list)-1]
	return last
}

// putIdle keeps a connection for later calls, or closes it if enough are idle.
func (c *Client) putIdle(addr string, cn *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[addr]) >= maxIdlePerUpstream {
		_ = cn.Close()
		return
	}
	c.idle[addr] = append(c.idle[addr], cn)
}

// CloseIdleExcept closes the idle connections to all addresses that are not in keep.
func (c *Client) CloseIdleExcept(keep map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, list := range c.idle {
		if keep[addr] {
			continue
		}
		for _, cn := range list {
			_ = cn.Close()
		}
		delete(c.idle, addr)
	}
}

// Close closes all idle connections.
func (c *Client) Close() { c.CloseIdleExcept(nil) }

// exchange sends a request and reads the head of the first response that accept accepts.
func (c *Client) exchange(cn *conn, r *Request, accept func(int, http.Header) bool) (*http.Response, error) {
	request := encodeRequest(r)
	if n, err := request.WriteTo(cn); err != nil {
		if n == 0 {
			return nil, merry.Prepend(ErrNotSent, err.Error())
		}
		return nil, merry.Prepend(ErrConnectionFailed, err.Error())
	}
	for range maxResponses {
		resp, err := readHead(cn, r.Method)
		if err != nil {
			return nil, err
		}
		if accept(resp.StatusCode, resp.Header) {
			return resp, nil
		}
		// This is a late response to an earlier attempt on the connection.
		if err := discardResponse(resp); err != nil {
			return nil, err
		}
	}
	return nil, merry.Prepend(ErrInvalidResponse, "only responses to other attempts")
}

// readHead reads the head of the next response, skipping a few informational ones (1xx).
func readHead(cn *conn, method string) (*http.Response, error) {
	defer cn.limiter.endHead()
	for range maxInformational + 1 {
		cn.limiter.beginHead()
		resp, err := http.ReadResponse(cn.br, &http.Request{Method: method})
		if errors.Is(err, ErrInvalidResponse) {
			return nil, err
		}
		if err != nil {
			return nil, merry.Prepend(ErrConnectionFailed, err.Error())
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, merry.Prepend(ErrInvalidResponse, resp.Status)
		}
	}
	return nil, merry.Prepend(ErrInvalidResponse, "too many informational responses")
}

// discardResponse reads the rest of a response that is discarded.
func discardResponse(resp *http.Response) error {
	if !transport.HasFraming(resp) {
		return merry.Prepend(ErrInvalidResponse, "response to another attempt has no length")
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxDiscardedBytes))
	if err != nil {
		return merry.Prepend(ErrConnectionFailed, err.Error())
	}
	if n == maxDiscardedBytes {
		return merry.Prepend(ErrInvalidResponse, "response to another attempt is too long")
	}
	return nil
}

// maxCopiedBody is the length in bytes up to which a body is copied behind its head, so that a small request is
// sent in a single packet.
const maxCopiedBody = 16 << 10

// encodeRequest encodes a request in a single buffer, or in two if its body is long.
func encodeRequest(r *Request) net.Buffers {
	head, body := new(bytes.Buffer), r.Body
	head.Grow(512 + min(len(body), maxCopiedBody))
	writeHead(head, r)
	if len(body) > maxCopiedBody {
		return net.Buffers{head.Bytes(), body}
	}
	head.Write(body)
	return net.Buffers{head.Bytes()}
}

// writeHead writes the head of a request.
func writeHead(b *bytes.Buffer, r *Request) {
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.URI)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	_ = r.Header.Write(b)
	if len(r.Body) > 0 || needsContentLength(r.Method) {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
}

// needsContentLength reports whether a request of the method needs a Content-Length even if its
// body is empty.
func needsContentLength(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// Body is the body of a response.
type Body struct {
	client *Client
	addr   string
	conn   *conn
	resp   *http.Response
	// stopAbort cancels the abort of the connection at the end of the context; it returns
	// false if that has already begun.
	stopAbort func() bool
	// complete is true once the body has been read to its end.
	complete bool
	closed   bool
}

// Read reads from the body. It returns io.EOF only at the end of the body, and ErrConnectionFailed
// if the connection failed before.
func (b *Body) Read(p []byte) (int, error) {
	n, err := b.resp.Body.Read(p)
	if err == io.EOF {
		b.complete = true
		return n, io.EOF
	}
	if err != nil {
		return n, merry.Prepend(ErrConnectionFailed, err.Error())
	}
	return n, nil
}

// Close returns the connection to the client if the body was read to its end and the
// connection can be reused; otherwise it closes the connection.
func (b *Body) Close() {
	if b.closed {
		return
	}
	b.closed = true
	if !b.stopAbort() || !b.complete {
		b.conn.abort()
		return
	}
	if b.resp.Close || !transport.HasFraming(b.resp) || b.conn.br.Buffered() > 0 {
		_ = b.conn.Close()
		return
	}
	b.conn.idleUntil = time.Now().Add(idleTime(b.resp.Header))
	b.client.putIdle(b.addr, b.conn)
}

// idleTime returns how long a connection may be idle before it is reused: the timeout of
// the header "Keep-Alive: timeout=SECONDS" less idleMargin, at most maxIdleTime.
func idleTime(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 {
			return min(time.Duration(seconds)*time.Second-idleMargin, maxIdleTime)
		}
	}
	return maxIdleTime
}
