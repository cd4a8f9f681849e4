package admit

import (
	"container/heap"
	"time"
)

// accounts holds the accounts of all entries for one subject. Their totals are kept up to
// date incrementally, since adding up all accounts for each demand is too slow with
// thousands of entries.
type accounts struct {
	byEntry map[string]*account
	totals  sumTree
	// changes queues the accounts whose totals change by time alone, the next one first.
	changes changeQueue
}

func newAccounts() *accounts { return &accounts{byEntry: map[string]*account{}} }

// getOrCreate returns an entry's account.
func (a *accounts) getOrCreate(entry string) *account {
	acc := a.byEntry[entry]
	if acc == nil {
		acc = &account{slot: a.totals.allocate(), heapIndex: notQueued}
		a.byEntry[entry] = acc
	}
	return acc
}

// advance updates the totals of accounts whose grants, or requests admitted under them,
// have ended by now.
func (a *accounts) advance(now time.Time) {
	for len(a.changes) > 0 && !now.Before(a.changes[0].changesAt) {
		a.refresh(now, a.changes[0])
	}
}

// refresh recomputes an account's totals as of now and requeues its next change.
func (a *accounts) refresh(now time.Time, acc *account) {
	a.totals.set(acc.slot, acc.totals(now))
	next, ok := acc.nextChange(now)
	acc.changesAt = next
	switch {
	case ok && acc.heapIndex == notQueued:
		heap.Push(&a.changes, acc)
	case ok:
		heap.Fix(&a.changes, acc.heapIndex)
	case acc.heapIndex != notQueued:
		heap.Remove(&a.changes, acc.heapIndex)
	}
}

// sweep drops the accounts whose last request in progress must have ended.
func (a *accounts) sweep(now time.Time) {
	a.advance(now)
	for id, acc := range a.byEntry {
		if now.Before(acc.runningUntil) {
			continue
		}
		delete(a.byEntry, id)
		a.totals.release(acc.slot)
	}
}

// peersOf returns the totals of all accounts but one.
func (a *accounts) peersOf(acc *account) *peers {
	o := &peers{}
	o.before, o.after = a.totals.around(acc.slot)
	return o
}

// notQueued is the heapIndex of an account that has no change queued.
const notQueued = -1

// changeQueue is a min-heap of accounts by changesAt.
type changeQueue []*account

func (q changeQueue) Len() int           { return len(q) }
func (q changeQueue) Less(i, j int) bool { return q[i].changesAt.Before(q[j].changesAt) }

func (q changeQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].heapIndex, q[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (q *changeQueue) Push(x any) {
	acc := x.(*account)
	acc.heapIndex = len(*q)
	*q = append(*q, acc)
}

// Pop implements heap.Interface.
func (q *changeQueue) Pop() any {
	last := len(*q) - 1
	acc := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	acc.heapIndex = notQueued
	return acc
}
