package gateway

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-kit/log"

	"github.com/snipereach/snipereach/kernel"
)

// Limits of the request log, in lines per second. Each kind of request has its own limit, so that
// lines of failed or retried requests aren't crowded out by late ones, nor these by others.
const (
	failedLines   = 40
	lateLines     = 10
	answeredLines = 2
)

// requestLog writes a line for each request, within separate limits for failed or retried, late
// and other requests. Lines left out are counted.
type requestLog struct {
	log      log.Logger
	failed   *kernel.LogLimiter
	late     *kernel.LogLimiter
	answered *kernel.LogLimiter
}

func newRequestLog(l log.Logger, now func() time.Time) *requestLog {
	return &requestLog{
		log: l, failed: kernel.NewLogLimiter(failedLines, now), late: kernel.NewLogLimiter(lateLines, now),
		answered: kernel.NewLogLimiter(answeredLines, now),
	}
}

// finish ends a request: it counts it and writes its log line.
func (c *call) finish(status int, reason string, err error) {
	c.metrics.record(c, status, reason, err)
	late := c.late()
	limiter := c.requestLog.answered
	if late != "" {
		limiter = c.requestLog.late
	}
	if reason != "" || err != nil || status >= http.StatusInternalServerError || len(c.attempts) > 1 {
		limiter = c.requestLog.failed
	}
	ok, leftOut := limiter.Allow()
	if !ok {
		return
	}
	kv := []any{
		"request", c.params.ID, "status", status, "reason", reason, "took_ms", time.Since(c.receivedAt).Milliseconds(),
		"route", c.route.GetName(), "service", c.service, "team", c.team.GetName(), "attempts", c.attemptText(),
	}
	if t := c.table.Load(); t != nil {
		kv = append(kv, "routing_version", t.Config.Version)
	}
	if !c.deadline.IsZero() {
		kv = append(kv, "left_ms", time.Until(c.deadline).Milliseconds())
	}
	if c.firstEvent > 0 {
		kv = append(kv, "first_event_ms", c.firstEvent.Milliseconds())
	}
	if c.longestGap > 0 {
		kv = append(kv, "longest_pause_ms", c.longestGap.Milliseconds(), "pause_ended_ms_ago", time.Since(c.longestGapEnded).Milliseconds())
	}
	if c.age > 0 {
		kv = append(kv, "age_ms", c.age.Milliseconds())
	}
	if c.priority != nil {
		kv = append(kv, "priority", *c.priority)
	}
	if c.waited > 0 {
		kv = append(kv, "waited_ms", c.waited.Milliseconds())
	}
	if late != "" {
		kv = append(kv, "late", late)
	}
	if c.cause != "" {
		kv = append(kv, "why", c.cause)
	}
	if err != nil {
		kv = append(kv, "err", err)
	}
	if leftOut > 0 {
		kv = append(kv, "lines_left_out", leftOut)
	}
	kernel.Info(c.requestLog.log, "Request ended.", kv...)
}

// attemptText formats the attempts as UPSTREAM:OUTCOME:STATUS:MILLISECONDS, separated by commas.
func (c *call) attemptText() string {
	var parts []string
	for _, a := range c.attempts {
		parts = append(parts, a.upstream+":"+a.outcome.String()+":"+strconv.Itoa(a.status)+":"+strconv.FormatInt(a.took.Milliseconds(), 10))
	}
	return strings.Join(parts, ",")
}
