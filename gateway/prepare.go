package gateway

import (
	"errors"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/snipereach/snipereach/httpserver"
	"github.com/snipereach/snipereach/routing"
)

// prepare finds the route and the team of a request and reads its body. It returns a refusal if
// the request can't be served.
func (g *Gateway) prepare(w http.ResponseWriter, r *http.Request, began time.Time) (*call, *refusal) {
	c := &call{Gateway: g, w: w, r: r, receivedAt: began}
	c.guard.Init(g.quarantine, c)
	var err error
	c.params, err = g.dialect.ReadRequest(r.Header)
	t, f := c.findRoute(c.waitForTable(r.Context()), err != nil)
	if f != nil {
		return c, f
	}
	c.service = routing.ChooseService(c.route, rand.Float64())
	if g.settings.Admission.Priorities && t.Urgencies(c.service) > 1 {
		rank := t.Rank(c.service, c.route, c.team)
		c.priority = &rank
	}
	c.fixedPass = fixedPassTime(t.Service(c.service).GetEngine())
	c.waitForService(r.Context())
	c.deadline = began.Add(time.Duration(c.route.TimeoutMs) * time.Millisecond)
	if c.params.Deadline > 0 && began.Add(c.params.Deadline).Before(c.deadline) {
		c.deadline = began.Add(c.params.Deadline)
	}
	g.metrics.recordArrival(c)
	c.guard.RecordArrival(c.promptParts())
	if !c.endsBeforeStop() {
		return c, &refusal{status: http.StatusServiceUnavailable, reason: reasonDraining, retryAfter: retryAfterDrain}
	}
	return c, c.readBody(t)
}

// findRoute finds the route and the team of a request by the configuration in force, t or one that has
// replaced it, and returns that configuration. unreadable says that the request's headers can't be read.
func (c *call) findRoute(t *routing.Table, unreadable bool) (*routing.Table, *refusal) {
	for {
		if t == nil {
			return nil, &refusal{status: http.StatusServiceUnavailable, reason: reasonNoConfig}
		}
		f := c.matchRoute(t, unreadable)
		if f == nil || !byConfiguration(f.reason) {
			return t, f
		}
		if f = c.refuseBy(t, f); f != nil {
			return t, f
		}
		t = c.table.Load()
	}
}

// matchRoute finds the route and the team of a request by a configuration. It returns a refusal if that
// doesn't allow the request.
func (c *call) matchRoute(t *routing.Table, unreadable bool) *refusal {
	c.route, c.team = nil, nil
	if headerSize(c.r) > limitsOf(t).headerBytes {
		return &refusal{status: http.StatusRequestHeaderFieldsTooLarge, reason: reasonHeaderTooLarge}
	}
	if unreadable || !strings.HasPrefix(c.r.RequestURI, "/") {
		return &refusal{status: http.StatusBadRequest, reason: reasonBadRequest}
	}
	path, _, _ := strings.Cut(c.r.RequestURI, "?")
	if c.route = t.Match(c.r.Host, path); c.route == nil {
		return &refusal{status: http.StatusNotFound, reason: reasonNoRoute}
	}
	if t.NeedsKey(c.route) {
		if c.team = t.TeamOf(c.params.Key); c.team == nil {
			return &refusal{status: http.StatusUnauthorized, reason: reasonUnknownKey}
		}
	}
	return nil
}

// readBody reads the whole body, so that the request can be retried and no upstream waits for a
// slow caller. It ends at the request's deadline. t has the limit.
func (c *call) readBody(t *routing.Table) *refusal {
	body, err := httpserver.ReadBody(c.w, c.r, httpserver.BodyLimits{Bytes: limitsOf(t).bodyBytes, Deadline: c.deadline})
	switch {
	case errors.Is(err, httpserver.ErrBodyTooLarge):
		return c.refuseBody(t)
	case errors.Is(err, httpserver.ErrNoMemory):
		return &refusal{status: http.StatusServiceUnavailable, reason: reasonMemory, detail: err.Error()}
	case errors.Is(err, httpserver.ErrBodyTimeout):
		return &refusal{status: http.StatusRequestTimeout, reason: reasonBodyTimeout, detail: err.Error()}
	case err != nil:
		return &refusal{status: http.StatusBadRequest, reason: reasonBadRequest, detail: err.Error()}
	}
	c.body = body
	return nil
}

// refuseBody returns the refusal to a request whose body is too large by a configuration. A part of the
// body is lost, so that a request that a newer configuration allows must be sent again.
func (c *call) refuseBody(t *routing.Table) *refusal {
	f := c.refuseBy(t, &refusal{status: http.StatusRequestEntityTooLarge, reason: reasonBodyTooLarge})
	if f == nil {
		f = &refusal{status: http.StatusServiceUnavailable, reason: reasonUnconfirmed}
	}
	return f
}
