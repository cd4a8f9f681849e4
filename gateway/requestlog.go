package gateway

import (
	"strings"
	"sync"
	"time"

	"github.com/go-kit/log"

	"github.com/snipereach/snipereach/kernel"
)

// Bounds of the request log, in lines a second. A failed request is never left out
// for an answered one: the two have an allowance each.
const (
	failedLines   = 40
	answeredLines = 2
)

// requestLog writes a line for each request that was not answered, and for a sample
// of the others, within an allowance; what is left out is counted.
type requestLog struct {
	log log.Logger
	now func() time.Time

	mu       sync.Mutex
	second   int64
	failed   int
	answered int
	dropped  int
}

func newRequestLog(l log.Logger, now func() time.Time) *requestLog {
	return &requestLog{log: l, now: now}
}

// allows says whether a line may be written now, and how many were left out since
// the last one.
func (l *requestLog) allows(failed bool) (ok bool, dropped int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.now().Unix(); s != l.second {
		l.second, l.failed, l.answered = s, 0, 0
	}
	used, limit := &l.answered, answeredLines
	if failed {
		used, limit = &l.failed, failedLines
	}
	if *used >= limit {
		if failed {
			l.dropped++
		}
		return false, 0
	}
	*used++
	dropped, l.dropped = l.dropped, 0
	return true, dropped
}

// done ends a request: it writes its line.
func (c *call) done(status int, reason string, err error) {
	ok, dropped := c.requests.allows(reason != "" || err != nil)
	if !ok {
		return
	}
	kv := []any{
		"request", c.asked.ID, "status", status, "reason", reason, "took_ms", time.Since(c.began).Milliseconds(),
		"route", c.route.GetName(), "service", c.service, "team", c.team.GetName(), "attempts", c.attemptText(),
	}
	if t := c.table.Load(); t != nil {
		kv = append(kv, "routing_version", t.Config.Version)
	}
	if c.firstEvent > 0 {
		kv = append(kv, "first_event_ms", c.firstEvent.Milliseconds())
	}
	if err != nil {
		kv = append(kv, "err", err)
	}
	if dropped > 0 {
		kv = append(kv, "lines_left_out", dropped)
	}
	kernel.Info(c.requests.log, "Request ended.", kv...)
}

// attemptText is the attempts as UPSTREAM:OUTCOME:STATUS:MILLISECONDS.
func (c *call) attemptText() string {
	var parts []string
	for _, a := range c.attempts {
		parts = append(parts, a.upstream+":"+a.outcome.String()+":"+itoa(a.status)+":"+itoa(int(a.took.Milliseconds())))
	}
	return strings.Join(parts, ",")
}
