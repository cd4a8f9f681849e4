package gateway

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/snipereach/snipereach/transport"
)

// forwardHeader returns a copy of a request's header for an upstream.
func forwardHeader(h http.Header) http.Header {
	out := h.Clone()
	removeHopByHop(out)
	return out
}

// removeHopByHop removes the hop-by-hop headers, including those named by Connection.
// Content-Length is set anew on each connection, and Expect isn't needed as the body is sent at
// once.
func removeHopByHop(h http.Header) {
	for _, list := range h["Connection"] {
		for _, name := range strings.Split(list, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for name := range h {
		if transport.HopByHop(name) || name == "Expect" || name == "Content-Length" {
			delete(h, name)
		}
	}
}

// copyResponseHeader copies an upstream's header into a response. A missing Content-Type stays
// missing; the nil value keeps net/http from guessing it from the body.
func copyResponseHeader(to, from http.Header) {
	removeHopByHop(from)
	for name, values := range from {
		to[name] = values
	}
	if from.Get("Content-Type") == "" {
		to["Content-Type"] = nil
	}
}

// retryAfterSeconds formats a duration for Retry-After.
func retryAfterSeconds(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', -1, 64)
}
