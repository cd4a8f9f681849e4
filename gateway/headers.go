package gateway

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/snipereach/snipereach/transport"
)

// forwardHeader copies what is passed on to an upstream.
func forwardHeader(h http.Header) http.Header {
	out := h.Clone()
	removeHopByHop(out)
	return out
}

// removeHopByHop takes out what concerns one connection only, also what it names
// itself. Content-Length is written anew on each connection, and an upstream is sent
// the whole body without being asked whether it expects it.
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

// seconds is a duration as Retry-After takes it.
func seconds(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', -1, 64)
}
