//go:build review

package harness

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"time"
)

// Request is one client attempt.
type Request struct {
	Method, Host, Path, Key string
	Header                  map[string]string
	Body                    []byte
	Deadline                time.Duration
}

// Answer is what a client got.
type Answer struct {
	ID     string
	Status int
	Header http.Header
	Body   []byte
	// Reused says that the request was sent on a connection that was used before.
	Reused  bool
	Err     error
	SentAt  time.Time
	EndedAt time.Time
}

// NewAttemptID returns an ID for a client attempt.
func NewAttemptID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// NewClient returns a client with connections of its own, which it keeps.
func NewClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}}
}

// Do sends one client attempt to a gateway and reads the whole answer.
func Do(c *http.Client, gateway string, r Request) Answer {
	return DoWithID(c, gateway, r, NewAttemptID())
}

// DoWithID is Do with an attempt ID of the caller's.
func DoWithID(c *http.Client, gateway string, r Request, id string) Answer {
	a := Answer{ID: id, SentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), r.Deadline)
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { a.Reused = i.Reused }})
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+gateway+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		a.Err = err
		return a
	}
	// Go's client would send a request again by itself if it could.
	req.GetBody = nil
	req.Host = r.Host
	req.Header.Set("X-Snipereach-Attempt-Id", a.ID)
	req.Header.Set("X-Snipereach-Request-Deadline", fmt.Sprint(r.Deadline.Milliseconds()))
	if r.Key != "" {
		req.Header.Set("Authorization", "Bearer "+r.Key)
	}
	for name, v := range r.Header {
		req.Header.Set(name, v)
	}
	resp, err := c.Do(req)
	if err != nil {
		a.Err, a.EndedAt = err, time.Now()
		return a
	}
	defer resp.Body.Close()
	a.Status, a.Header = resp.StatusCode, resp.Header
	a.Body, a.Err = io.ReadAll(resp.Body)
	a.EndedAt = time.Now()
	return a
}
