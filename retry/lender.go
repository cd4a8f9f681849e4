package retry

import (
	"sync"
	"time"

	"github.com/snipereach/snipereach/quota"
)

// Lender is the part of one control replica: it lends its whole share of a part of the slack, a token at a
// time, to the gateways that ask. It is safe for concurrent use.
type Lender struct {
	now     func() time.Time
	started time.Time

	mu   sync.Mutex
	lent map[string]*quota.Window
}

// NewLender returns the lender of a replica that starts now.
func NewLender(now func() time.Time) *Lender {
	return &Lender{now: now, started: now(), lent: map[string]*quota.Window{}}
}

// Lend lends a token for a retry at a service, and reports whether it had one. A replica lends nothing
// in the first window after its start, as it doesn't know what it lent before.
func (l *Lender) Lend(service string, a Allowance, p quota.Position) bool {
	now := l.now()
	if now.Sub(l.started) < a.Window {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.lent[service]
	if w == nil {
		w = &quota.Window{}
		l.lent[service] = w
	}
	return w.Take(now, a.Window, a.share(lentFraction, p))
}
