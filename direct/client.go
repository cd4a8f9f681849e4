package direct

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/snipereach/snipereach/transport"
)

// Errors of this layer.
var (
	// ErrNotSent says that no byte of the request has left: it has not run.
	ErrNotSent = merry.Sentinel("upstream can't be reached")
	// ErrBroken says that the connection ended before a whole answer was read. The
	// request may have run.
	ErrBroken = merry.Sentinel("upstream broke off")
	// ErrMalformed says that what came is no answer to the request.
	ErrMalformed = merry.Sentinel("upstream sent what is no answer to the request")
)

const (
	// readBuffer holds the head and first bytes of an answer; a call to a model
	// reads little more at a time.
	readBuffer = 4 << 10
	// maxIdle bounds the idle connections to one upstream: more than that are open
	// only after a burst.
	maxIdle = 16
	// idleLimit is how long a connection is kept where the upstream doesn't say.
	idleLimit = 4 * time.Second
	// idleMargin is taken off the upstream's own limit: a request that crosses its
	// close on the way is in doubt.
	idleMargin = time.Second
	// maxStrays is how many answers to other attempts are read past in one call.
	maxStrays = 3
	// maxStray bounds the body of such an answer.
	maxStray = 1 << 20
)

// Request is one call to an upstream.
type Request struct {
	Method string
	// URI is the request target as the caller wrote it.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
}

// Response is the head of an answer, with a body that must be closed.
type Response struct {
	Status int
	Header http.Header
	// Length is that of the body, -1 if it isn't known before its end.
	Length int64
	Body   *Body
}

// Client calls upstreams and keeps their connections.
type Client struct {
	dial transport.DialFunc

	mu sync.Mutex
	// idle connections by address, the one used last at the end.
	idle map[string][]*conn
	// opened counts new connections.
	opened uint64
}

// NewClient makes a client that opens connections with dial.
func NewClient(dial transport.DialFunc) *Client {
	return &Client{dial: dial, idle: map[string][]*conn{}}
}

// Opened returns how many connections were opened.
func (c *Client) Opened() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.opened
}

// Do sends a request to an address and reads the head of its answer. accept says
// whether an answer belongs to the request. The context covers the body too: when
// it ends, the connection is closed at once, so that the upstream stops its work.
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
	body := &Body{client: c, addr: addr, conn: cn, resp: resp, stop: stop}
	return &Response{Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, Body: body}, nil
}

// connect returns a connection: an idle one that is still good, or a new one.
func (c *Client) connect(ctx context.Context, addr string) (*conn, error) {
	for {
		cn := c.take(addr)
		if cn == nil {
			break
		}
		if time.Now().Before(cn.idleUntil) && cn.quiet() {
			return cn, nil
		}
		_ = cn.Close()
	}
	nc, err := c.dial(ctx, "tcp", addr)
	if err != nil {
		return nil, merry.Prepend(ErrNotSent, err.Error())
	}
	c.mu.Lock()
	c.opened++
	c.mu.Unlock()
	return &conn{Conn: nc, br: bufio.NewReaderSize(nc, readBuffer)}, nil
}

// take returns the connection that was used last.
func (c *Client) take(addr string) *conn {
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

func (c *Client) put(addr string, cn *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[addr]) >= maxIdle {
		_ = cn.Close()
		return
	}
	c.idle[addr] = append(c.idle[addr], cn)
}

// Forget closes the idle connections to all addresses but those named.
func (c *Client) Forget(keep map[string]bool) {
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
func (c *Client) Close() { c.Forget(nil) }

func (c *Client) exchange(cn *conn, r *Request, accept func(int, http.Header) bool) (*http.Response, error) {
	if n, err := cn.Write(encode(r)); err != nil {
		if n == 0 {
			return nil, merry.Prepend(ErrNotSent, err.Error())
		}
		return nil, merry.Prepend(ErrBroken, err.Error())
	}
	for range maxStrays {
		resp, err := readHead(cn, r.Method)
		if err != nil {
			return nil, err
		}
		if accept(resp.StatusCode, resp.Header) {
			return resp, nil
		}
		// The answer of an earlier attempt on this connection came late. Ours follows.
		if err := skip(resp); err != nil {
			return nil, err
		}
	}
	return nil, merry.Prepend(ErrMalformed, "answers to other attempts")
}

// readHead reads the head of the next final answer.
func readHead(cn *conn, method string) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(cn.br, &http.Request{Method: method})
		if err != nil {
			return nil, merry.Prepend(ErrBroken, err.Error())
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, merry.Prepend(ErrMalformed, resp.Status)
		}
	}
}

func skip(resp *http.Response) error {
	if !framed(resp) {
		return merry.Prepend(ErrMalformed, "an answer to another attempt has no length")
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStray))
	if err != nil {
		return merry.Prepend(ErrBroken, err.Error())
	}
	if n == maxStray {
		return merry.Prepend(ErrMalformed, "a long answer to another attempt")
	}
	return nil
}

// framed says whether an answer's end can be told from a connection that ended.
func framed(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}

// encode writes a request as one piece, so that it leaves in one packet if it is
// small.
func encode(r *Request) []byte {
	var b bytes.Buffer
	b.Grow(512 + len(r.Body))
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.URI)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	_ = r.Header.Write(&b)
	if len(r.Body) > 0 || takesBody(r.Method) {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes()
}

func takesBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// Body is the body of an answer.
type Body struct {
	client *Client
	addr   string
	conn   *conn
	resp   *http.Response
	stop   func() bool
	whole  bool
	closed bool
}

// Read returns io.EOF only once the whole body was read.
func (b *Body) Read(p []byte) (int, error) {
	n, err := b.resp.Body.Read(p)
	if err == io.EOF {
		b.whole = true
		return n, io.EOF
	}
	if err != nil {
		return n, merry.Prepend(ErrBroken, err.Error())
	}
	return n, nil
}

// Close gives the connection back if the answer was read to its end and the
// connection is good for another call, or else closes it.
func (b *Body) Close() {
	if b.closed {
		return
	}
	b.closed = true
	if !b.stop() || !b.whole {
		b.conn.abort()
		return
	}
	if b.resp.Close || !framed(b.resp) || b.conn.br.Buffered() > 0 {
		_ = b.conn.Close()
		return
	}
	b.conn.idleUntil = time.Now().Add(idleTime(b.resp.Header))
	b.client.put(b.addr, b.conn)
}

// idleTime is how long a connection may be idle, by the header "Keep-Alive:
// timeout=SECONDS" or the default.
func idleTime(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		text, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if s, err := strconv.Atoi(text); err == nil && s >= 0 {
			return min(time.Duration(s)*time.Second-idleMargin, idleLimit)
		}
	}
	return idleLimit
}
