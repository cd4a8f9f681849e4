package directory

import (
	"sync"
	"time"

	"github.com/go-kit/log"

	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/wire"
)

// Incarnation is the incarnation of a process: its ID and a number. Among incarnations of the
// same ID the one with the higher number is the later one.
//
// The number is the wall clock at the start, in nanoseconds since 1970. After the clock
// was set back, a process would start with a lower number than its previous
// incarnation: its announcements would be ignored until that one is forgotten
// (Settings.Tombstone), and grants of the previous claim register would count as later
// ones. Processes that know the previous incarnation therefore reply with its number,
// and RaiseAbove raises this one above it.
type Incarnation struct {
	id string

	mu     sync.Mutex
	number uint64
	raised bool
}

// NewIncarnation returns the incarnation of a process that starts at now.
func NewIncarnation(id string, now time.Time) *Incarnation {
	return &Incarnation{id: id, number: uint64(max(now.UnixNano(), 1))}
}

// Number returns the incarnation number.
func (i *Incarnation) Number() uint64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.number
}

// ToWire returns the incarnation as a protocol message.
func (i *Incarnation) ToWire() *wire.Incarnation {
	return &wire.Incarnation{Id: i.id, Number: i.Number()}
}

// RaiseAbove raises the number above known, if known is higher, and reports whether it
// did.
//
// It does so only once: two processes with the same ID would otherwise raise their
// numbers above each other's forever.
func (i *Incarnation) RaiseAbove(known uint64) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if known <= i.number || i.raised {
		return false
	}
	i.number = known + 1
	i.raised = true
	return true
}

// HandleReply raises the number if the reply to an announcement names a later incarnation
// of the ID, and reports whether it did. It logs that with kv, or that another process may be
// using the ID.
//
// An announcement goes to several replicas. Once the first reply has raised the number, those
// of the others name no later one, and nothing is logged.
func (i *Incarnation) HandleReply(l log.Logger, reply *wire.AnnounceReply, kv ...any) (raised bool) {
	if !reply.Superseded {
		return false
	}
	kv = append([]any{"id", i.id}, kv...)
	if i.RaiseAbove(reply.KnownIncarnation) {
		kernel.Warn(l, "This host's clock is behind that of an earlier incarnation. Raised the incarnation.", append(kv, "incarnation", i.Number())...)
		return true
	}
	if reply.KnownIncarnation > i.Number() {
		kernel.Warn(l, "A higher incarnation of this ID is known. Another process may be using the same ID.", append(kv, "known", reply.KnownIncarnation)...)
	}
	return false
}
