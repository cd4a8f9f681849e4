package directory

import (
	"sync"
	"time"

	"github.com/snipereach/snipereach/wire"
)

// Life numbers one run of a process. Whoever compares two lives of one ID takes
// the higher number for the later one.
//
// The number is the wall clock's, in nanoseconds since 1970. A host whose clock
// was set back starts with a number below that of its earlier life: its
// announcements would change nothing until the earlier life is forgotten
// (Settings.Tombstone), and grants that the earlier life's claim register gave
// would pass for later ones. Whoever knows the earlier life says so, and the
// process takes a number above it.
type Life struct {
	id string

	mu     sync.Mutex
	number uint64
	raised bool
}

// NewLife numbers a run of a process that starts now.
func NewLife(id string, now time.Time) *Life {
	return &Life{id: id, number: uint64(max(now.UnixNano(), 1))}
}

// Number returns the incarnation number.
func (l *Life) Number() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.number
}

// Wire returns the life as messages name it.
func (l *Life) Wire() *wire.Incarnation {
	return &wire.Incarnation{Id: l.id, Number: l.Number()}
}

// Supersede takes the number of a life that somebody knows for a later one, and
// says whether this life has taken a number above it.
//
// It does so once. Two processes that were given one ID would otherwise raise
// their numbers above each other's for ever, and neither would be known for long.
func (l *Life) Supersede(known uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if known <= l.number || l.raised {
		return false
	}
	l.number = known + 1
	l.raised = true
	return true
}
