package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/transport"
	"github.com/snipereach/snipereach/wire"
)

// Names of header fields sent to upstreams.
const (
	HeaderRequestID    = "X-Request-Id"
	HeaderPriority     = "X-Request-Priority"
	HeaderFencingToken = "X-Fencing-Token"
)

// maxControlBody limits the response to a load, cache, counter or order call, in bytes.
const maxControlBody = 4 << 20

// HTTP holds the settings and the client that all kinds share.
type HTTP struct {
	// URL of the server, such as http://IP:port.
	URL string `toml:"url"`
	// ControlTimeout is the timeout of a load, cache, counter or order call.
	ControlTimeout kernel.Duration `toml:"control_timeout"`
	// MaxIdle limits the number of idle connections.
	MaxIdle int `toml:"max_idle"`

	base   *url.URL
	client *http.Client
}

func defaultHTTP() HTTP {
	return HTTP{ControlTimeout: kernel.Duration(2 * time.Second), MaxIdle: 256}
}

// Provision implements kernel.Provisioner.
func (h *HTTP) Provision() error {
	base, err := url.Parse(h.URL)
	if err != nil || base.Scheme != "http" && base.Scheme != "https" || base.Host == "" {
		return merry.Prependf(kernel.ErrSettings, "key \"url\": %q is not an http or https URL", h.URL)
	}
	h.base = base
	h.client = &http.Client{
		Transport: &http.Transport{
			MaxIdleConns:        h.MaxIdle,
			MaxIdleConnsPerHost: h.MaxIdle,
			IdleConnTimeout:     30 * time.Second,
			DisableCompression:  true,
			// Without this bound an upstream that sends a head without end would take 10 MB a call.
			MaxResponseHeaderBytes: transport.MaxResponseHeadBytes,
			DialContext:            (&net.Dialer{Timeout: 2 * time.Second}).DialContext,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return nil
}

// Close closes idle connections.
func (h *HTTP) Close() { h.client.CloseIdleConnections() }

// nonReplayableBody returns a body that net/http doesn't replay.
//
// If an idle connection breaks, net/http silently resends a request that looks replayable,
// that is a GET, or any method with an Idempotency-Key header, whose body is nil. A call
// that must run at most once could then run twice. A non-nil body without GetBody is
// never replayed once a byte was written.
//
// net/http recognizes a bytes.Reader in io.NopCloser as held in memory, and sends the
// header and the body in one write without waiting for the first byte of the body.
func nonReplayableBody(body []byte) io.ReadCloser { return io.NopCloser(bytes.NewReader(body)) }

// Do implements Upstream.
func (h *HTTP) Do(ctx context.Context, head *wire.RunHead, body []byte) (*Answer, error) {
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	req, err := h.newRequest(httptrace.WithClientTrace(ctx, trace), head, body)
	if err != nil {
		return nil, merry.Prepend(ErrNotSent, err.Error())
	}
	// Bypasses http.Client, whose handling of redirects and cookies is not wanted.
	resp, err := h.client.Transport.RoundTrip(req)
	if err != nil {
		// Without a connection no byte can have reached the upstream. With one, it is unknown
		// whether the upstream received the request.
		if !sent.Load() {
			return nil, merry.Prepend(ErrNotSent, err.Error())
		}
		return nil, merry.Prepend(ErrFailed, err.Error())
	}
	if id := resp.Header.Get(HeaderRequestID); id != "" && id != head.RequestId {
		_ = resp.Body.Close()
		return nil, merry.Prependf(ErrRequestIDMismatch, "request ID is %s, response has %s", head.RequestId, id)
	}
	return &Answer{
		Status:    resp.StatusCode,
		Headers:   ForwardedHeaders(resp.Header, ""),
		Streaming: strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream"),
		Unframed:  !transport.HasFraming(resp),
		Body:      resp.Body,
	}, nil
}

// RefusesConnections implements RefusalChecker.
func (h *HTTP) RefusesConnections(ctx context.Context) bool {
	port := h.base.Port()
	if port == "" {
		port = h.base.Scheme
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", net.JoinHostPort(h.base.Hostname(), port))
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = conn.Close()
	return false
}

func (h *HTTP) newRequest(ctx context.Context, head *wire.RunHead, body []byte) (*http.Request, error) {
	ref, err := url.Parse(head.Path)
	if err != nil {
		return nil, err
	}
	u := *h.base
	// Keeps the escaped path too, as an escaped slash is part of a name and not a
	// separator.
	u.RawPath = strings.TrimSuffix(u.EscapedPath(), "/") + ref.EscapedPath()
	u.Path = strings.TrimSuffix(u.Path, "/") + ref.Path
	u.RawQuery = ref.RawQuery
	req := (&http.Request{
		Method: head.Method, URL: &u, Host: u.Host, Body: nonReplayableBody(body),
		Header: make(http.Header, len(head.Headers)+addedHeaders),
	}).WithContext(ctx)
	// Marks the length of an empty body as unknown: net/http treats 0 beside a non-nil
	// body the same way.
	req.ContentLength = unknownLength
	if len(body) > 0 {
		req.ContentLength = int64(len(body))
	}
	for _, f := range head.Headers {
		if f.Name == "Content-Length" {
			continue
		}
		req.Header.Add(f.Name, f.Value)
	}
	if u.User != nil {
		password, _ := u.User.Password()
		req.SetBasicAuth(u.User.Username(), password)
	}
	req.Header.Set(HeaderRequestID, head.RequestId)
	req.Header.Set(HeaderPriority, priorityName(head.Priority))
	return req, nil
}

// addedHeaders is the number of header fields that newRequest adds.
const addedHeaders = 2

// unknownLength is the value of http.Request.ContentLength for an unknown length.
const unknownLength = -1

func priorityName(p wire.Priority) string {
	return strings.ToLower(strings.TrimPrefix(p.String(), "PRIORITY_"))
}

// ForwardHeader reports whether a header field is forwarded to the next hop. Authorization is
// not: the caller's credentials are meant for the load balancer.
func ForwardHeader(name string) bool {
	return !transport.HopByHop(name) && http.CanonicalHeaderKey(name) != "Authorization"
}

// ForwardedHeaders returns the fields of h to forward, except the one named skip.
func ForwardedHeaders(h http.Header, skip string) []*wire.Header {
	n := 0
	for _, values := range h {
		n += len(values)
	}
	// Allocates all fields at once.
	fields := make([]wire.Header, 0, n)
	list := make([]*wire.Header, 0, n)
	for name, values := range h {
		if name == skip || !ForwardHeader(name) {
			continue
		}
		for _, v := range values {
			fields = append(fields, wire.Header{Name: name, Value: v})
			list = append(list, &fields[len(fields)-1])
		}
	}
	return list
}

// getJSON calls path with GET and decodes the response into v.
func (h *HTTP) getJSON(ctx context.Context, path string, v any) error {
	return h.callJSON(ctx, http.MethodGet, path, nil, nil, v)
}

func (h *HTTP) callJSON(ctx context.Context, method, path string, body io.Reader, header http.Header, v any) error {
	ctx, cancel := context.WithTimeout(ctx, h.ControlTimeout.D())
	defer cancel()
	pathOnly, query, _ := strings.Cut(path, "?")
	target := h.base.JoinPath(pathOnly)
	target.RawQuery = query
	// Uses String, because JoinPath leaves out the leading slash of the path if the base
	// has none, and servers reject a request path without it.
	req, err := http.NewRequestWithContext(ctx, method, target.String(), body)
	if err != nil {
		return merry.Prepend(ErrFailed, err.Error())
	}
	for name, values := range header {
		req.Header[name] = values
	}
	resp, err := h.client.Do(req)
	if err != nil {
		return merry.Prepend(ErrFailed, err.Error())
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusNotFound {
		return ErrUnsupported
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, maxControlBody)).Decode(v)
	if err != nil && !errors.Is(err, io.EOF) {
		return merry.Prependf(ErrFailed, "%s: %v", path, err)
	}
	if resp.StatusCode >= 300 && resp.StatusCode != http.StatusConflict {
		return merry.Prependf(ErrFailed, "%s: status %d", path, resp.StatusCode)
	}
	return nil
}
