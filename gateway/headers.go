package gateway

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// hopByHop are the headers that concern one connection only (RFC 9110, 7.6.1).
// Content-Length is written anew on each connection.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// forwardHeader copies what is passed on to an upstream.
func forwardHeader(h http.Header) http.Header {
	out := h.Clone()
	removeHopByHop(out)
	return out
}

func removeHopByHop(h http.Header) {
	for _, list := range h["Connection"] {
		for _, name := range strings.Split(list, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
}

// copyAnswerHeader copies an upstream's header into an answer. What is missing is
// left out, and not guessed from the body.
func copyAnswerHeader(to, from http.Header) {
	removeHopByHop(from)
	for name, values := range from {
		to[name] = values
	}
	if from.Get("Content-Type") == "" {
		to["Content-Type"] = nil
	}
}

func itoa(n int) string { return strconv.Itoa(n) }

// seconds is a duration as Retry-After takes it.
func seconds(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', -1, 64)
}
