package memory

import (
	"cmp"
	"slices"
	"time"
)

// stallTime is how long a share has made no progress before it may be ended for others. Senders that are
// not held up deliver progressBytes well within it, so that they aren't ended in turn just before each is whole.
const stallTime = 250 * time.Millisecond

// verdict is what becomes of a draw.
type verdict int

const (
	// drawn means that the memory belongs to the share.
	drawn verdict = iota
	// waiting means that the memory will be there once accounts that end have returned theirs.
	waiting
	// refused means that there is too little memory.
	refused
)

// account is what a ledger knows of a share.
type account struct {
	// bytes is what the share has drawn.
	bytes int64
	// beganAt is when the share's request began, and progressAt when it last made progress, in nanoseconds of a
	// steady clock: after a jump of the time of day all senders, or none, would seem to have stopped.
	beganAt, progressAt int64
	// mayEnd says that the share can be ended for others; ending that it was told to.
	mayEnd, ending bool
	// reserved says that the share may draw from the reserved part.
	reserved bool
	// waits says that a draw waits for memory, and that the lack of progress isn't the sender's.
	waits bool
}

// ledger divides a number of bytes among accounts. It has no clock and no goroutines.
//
// Invariants: used is the sum of what the accounts have drawn, and never exceeds limit; returning is the
// part of it that belongs to accounts that end.
type ledger struct {
	limit, reserve  int64
	used, returning int64
	// accounts are those that have drawn something.
	accounts map[*account]bool
}

func newLedger(limit, reserve int64) *ledger {
	return &ledger{limit: limit, reserve: reserve, accounts: map[*account]bool{}}
}

// bound returns how much may be used after a draw of an account.
func (l *ledger) bound(a *account) int64 {
	if a.reserved {
		return l.limit
	}
	return l.limit - l.reserve
}

// draw gives an account n bytes more, if they are there. Otherwise it returns the accounts that are to end for
// it: first those that have made no progress for the longest, as senders that stop short would lock out
// everybody; then those that began after it, so that the oldest become whole while many send at once. If that
// isn't enough, the draw is refused.
func (l *ledger) draw(a *account, n, now int64) (verdict, []*account) {
	waited := a.waits
	a.waits = false
	if a.ending {
		return refused, nil
	}
	bound := l.bound(a)
	if l.used+n <= bound {
		l.used += n
		a.bytes += n
		l.accounts[a] = true
		if waited {
			a.progressAt = now
		}
		return drawn, nil
	}
	missing := l.used - l.returning + n - bound
	ends, missing := l.choose(a, missing, now)
	if missing > 0 {
		return refused, nil
	}
	a.waits = true
	for _, e := range ends {
		e.ending = true
		l.returning += e.bytes
	}
	return waiting, ends
}

// choose returns the accounts that are to end so that a can draw the missing bytes, and how many are missing even
// then.
func (l *ledger) choose(a *account, missing, now int64) ([]*account, int64) {
	if missing <= 0 {
		return nil, 0
	}
	var list []*account
	for other := range l.accounts {
		if other != a && other.mayEnd && !other.ending && (other.stalled(now) || other.beganAt > a.beganAt) {
			list = append(list, other)
		}
	}
	slices.SortFunc(list, func(x, y *account) int { return x.compare(y, now) })
	for i, other := range list {
		if missing -= other.bytes; missing <= 0 {
			return list[:i+1], 0
		}
	}
	return nil, missing
}

// stalled reports whether the sender has stopped.
func (a *account) stalled(now int64) bool {
	return !a.waits && now-a.progressAt >= int64(stallTime)
}

// compare orders accounts by which is to end first: the longest stalled, then the newest.
func (a *account) compare(other *account, now int64) int {
	stalled, otherStalled := a.stalled(now), other.stalled(now)
	switch {
	case stalled && otherStalled:
		return cmp.Compare(a.progressAt, other.progressAt)
	case stalled:
		return -1
	case otherStalled:
		return 1
	}
	return cmp.Compare(other.beganAt, a.beganAt)
}

// giveBack returns n bytes of an account.
func (l *ledger) giveBack(a *account, n int64) {
	l.used -= n
	a.bytes -= n
	if a.ending {
		l.returning -= n
	}
	if a.bytes == 0 {
		delete(l.accounts, a)
	}
}
