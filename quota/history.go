package quota

import "time"

// settleTime is how long it takes until all members know that another one has come or gone. It covers
// the announcements of a lost member and the delay of the directory.
const settleTime = time.Second

// History holds the positions that a member has had lately. Its share of an allowance is the least that it has
// had of it in the last window: a part that moves to another member is used by neither until all know it and
// what was used of it has left the window. Without that, members that start one after another would use a
// whole allowance, then half of it, then a third, within one window. The zero value has no position yet, so
// its shares are nothing for the first window.
type History struct {
	// current is the position since changedAt.
	current   Position
	changedAt time.Time
	// earlier are the positions before, the oldest first.
	earlier []earlierPosition
}

// earlierPosition is a position that a member had until a time.
type earlierPosition struct {
	Position
	// none says that it had none yet.
	none  bool
	until time.Time
}

// maxEarlier bounds the positions that are remembered. While they change more often, the oldest holds on.
const maxEarlier = 64

// Set records the position from now on.
func (h *History) Set(now time.Time, p Position) {
	first := h.changedAt.IsZero()
	if !first && p == h.current {
		return
	}
	if len(h.earlier) == maxEarlier {
		h.earlier[0].until = h.earlier[1].until
		h.earlier = append(h.earlier[:1], h.earlier[2:]...)
	}
	h.earlier = append(h.earlier, earlierPosition{Position: h.current, none: first, until: now})
	h.current, h.changedAt = p, now
}

// Share returns the member's whole share of a total in each window of the given length. The shares of
// several totals are turned by different numbers, as with Position.Turned.
func (h *History) Share(now time.Time, window time.Duration, total int, turn uint64) int {
	if h.changedAt.IsZero() {
		return 0
	}
	share := h.current.Turned(turn).Share(total)
	for i := len(h.earlier) - 1; i >= 0; i-- {
		e := h.earlier[i]
		switch {
		case now.Sub(e.until) >= window+settleTime:
			return share
		case e.none:
			return 0
		}
		share = min(share, e.Turned(turn).Share(total))
	}
	return share
}
