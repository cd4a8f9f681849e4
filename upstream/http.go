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

// Header names towards upstreams.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderPriority  = "X-Request-Priority"
	HeaderToken     = "X-Fencing-Token"
)

// maxControlBody bounds an answer to a load, cache or order call.
const maxControlBody = 4 << 20

// HTTP holds the settings and the client that both kinds share.
type HTTP struct {
	// URL of the server, http://IP:port.
	URL string `toml:"url"`
	// ControlTimeout bounds a load, cache or order call.
	ControlTimeout kernel.Duration `toml:"control_timeout"`
	// MaxIdle bounds idle connections.
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
			DialContext:         (&net.Dialer{Timeout: 2 * time.Second}).DialContext,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return nil
}

// Close drops idle connections.
func (h *HTTP) Close() { h.client.CloseIdleConnections() }

// onceBody hides from net/http that a body may be empty or replayed.
//
// net/http sends a request again on a new connection, without a word, when an
// idle connection breaks and the request looks replayable: a GET, or any method
// with an Idempotency-Key header, whose body is nil. For a call that must run
// at most once that is a second run. A body that is not nil and has no GetBody
// is never replayed once a byte was written.
//
// A bytes.Reader under io.NopCloser is known to net/http as held in memory: head
// and body then go out in one write, and no timer waits for a first byte.
func onceBody(body []byte) io.ReadCloser { return io.NopCloser(bytes.NewReader(body)) }

// Do implements Upstream.
func (h *HTTP) Do(ctx context.Context, head *wire.RunHead, body []byte) (*Answer, error) {
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	req, err := h.request(httptrace.WithClientTrace(ctx, trace), head, body)
	if err != nil {
		return nil, merry.Prepend(ErrNotSent, err.Error())
	}
	// The transport is called straight: what http.Client adds (redirects,
	// cookies, copies of the head for them) has no place here.
	resp, err := h.client.Transport.RoundTrip(req)
	if err != nil {
		// Without a connection not one byte can have reached the upstream;
		// after one was had, nobody here can tell.
		if !sent.Load() {
			return nil, merry.Prepend(ErrNotSent, err.Error())
		}
		return nil, merry.Prepend(ErrFailed, err.Error())
	}
	if id := resp.Header.Get(HeaderRequestID); id != "" && id != head.RequestId {
		_ = resp.Body.Close()
		return nil, merry.Prependf(ErrCrossed, "asked %s, answered %s", head.RequestId, id)
	}
	return &Answer{
		Status:    resp.StatusCode,
		Headers:   PassedHeaders(resp.Header, ""),
		Streaming: strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream"),
		Body:      resp.Body,
	}, nil
}

// Refuses implements Refuser.
func (h *HTTP) Refuses(ctx context.Context) bool {
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

func (h *HTTP) request(ctx context.Context, head *wire.RunHead, body []byte) (*http.Request, error) {
	ref, err := url.Parse(head.Path)
	if err != nil {
		return nil, err
	}
	u := *h.base
	// Both forms are kept: a slash that the caller escaped is part of a name, and
	// would become a separator.
	u.RawPath = strings.TrimSuffix(u.EscapedPath(), "/") + ref.EscapedPath()
	u.Path = strings.TrimSuffix(u.Path, "/") + ref.Path
	u.RawQuery = ref.RawQuery
	req := (&http.Request{
		Method: head.Method, URL: &u, Host: u.Host, Body: onceBody(body),
		Header: make(http.Header, len(head.Headers)+ownHeaders),
	}).WithContext(ctx)
	// Length 0 would mean "unknown" beside a body that is not nil.
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
	req.Header.Set(HeaderPriority, priorityWord(head.Priority))
	return req, nil
}

// ownHeaders is how many fields request adds.
const ownHeaders = 2

// unknownLength is net/http's word for a body whose length is not said.
const unknownLength = -1

func priorityWord(p wire.Priority) string {
	return strings.ToLower(strings.TrimPrefix(p.String(), "PRIORITY_"))
}

// PassHeader says whether a header field is passed on to the next hop. A caller's
// credentials are for the product and are not.
func PassHeader(name string) bool {
	return !transport.HopByHop(name) && http.CanonicalHeaderKey(name) != "Authorization"
}

// PassedHeaders lists the fields of h that are passed on, but for those that skip
// names.
func PassedHeaders(h http.Header, skip string) []*wire.Header {
	n := 0
	for _, values := range h {
		n += len(values)
	}
	// One allocation holds all fields of a head.
	fields := make([]wire.Header, 0, n)
	list := make([]*wire.Header, 0, n)
	for name, values := range h {
		if name == skip || !PassHeader(name) {
			continue
		}
		for _, v := range values {
			fields = append(fields, wire.Header{Name: name, Value: v})
			list = append(list, &fields[len(fields)-1])
		}
	}
	return list
}

// getJSON reads a control answer.
func (h *HTTP) getJSON(ctx context.Context, path string, v any) error {
	return h.callJSON(ctx, http.MethodGet, path, nil, nil, v)
}

func (h *HTTP) callJSON(ctx context.Context, method, path string, body io.Reader, header http.Header, v any) error {
	ctx, cancel := context.WithTimeout(ctx, h.ControlTimeout.D())
	defer cancel()
	file, query, _ := strings.Cut(path, "?")
	target := h.base.JoinPath(file)
	target.RawQuery = query
	// JoinPath leaves the path without its first slash when the base has none;
	// only String puts it back. Sent as it is, every server refuses the request.
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
