package admit

import (
	"container/heap"
	"time"
)

// accounts are the entries' parts of one subject. Their sums are kept and not
// added up at each question: a team that is active at 2,000 entries asks thousands
// of times a second.
type accounts struct {
	byEntry map[string]*account
	sums    sumTree
	// due has the accounts whose part changes by time alone, the next one first.
	due dueQueue
}

func newAccounts() *accounts { return &accounts{byEntry: map[string]*account{}} }

// of returns an entry's account.
func (a *accounts) of(entry string) *account {
	acc := a.byEntry[entry]
	if acc == nil {
		acc = &account{slot: a.sums.take(), dueIndex: notDue}
		a.byEntry[entry] = acc
	}
	return acc
}

// settle brings the sums up to now: grants end, and requests under them later.
func (a *accounts) settle(now time.Time) {
	for len(a.due) > 0 && !now.Before(a.due[0].next) {
		a.update(now, a.due[0])
	}
}

// update takes an account into the sums as it is now.
func (a *accounts) update(now time.Time, acc *account) {
	a.sums.set(acc.slot, acc.sums(now))
	next, ok := acc.nextChange(now)
	acc.next = next
	switch {
	case ok && acc.dueIndex == notDue:
		heap.Push(&a.due, acc)
	case ok:
		heap.Fix(&a.due, acc.dueIndex)
	case acc.dueIndex != notDue:
		heap.Remove(&a.due, acc.dueIndex)
	}
}

// sweep drops the accounts of which nothing counts any more.
func (a *accounts) sweep(now time.Time) {
	a.settle(now)
	for id, acc := range a.byEntry {
		if now.Before(acc.held) {
			continue
		}
		delete(a.byEntry, id)
		a.sums.give(acc.slot)
	}
}

// others returns what the accounts but one have and want.
func (a *accounts) others(acc *account) *others {
	o := &others{}
	o.before, o.after = a.sums.around(acc.slot)
	return o
}

// notDue is the index of an account that doesn't change by time.
const notDue = -1

// dueQueue is a heap by the time of the next change.
type dueQueue []*account

func (q dueQueue) Len() int           { return len(q) }
func (q dueQueue) Less(i, j int) bool { return q[i].next.Before(q[j].next) }

func (q dueQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].dueIndex, q[j].dueIndex = i, j
}

// Push implements heap.Interface.
func (q *dueQueue) Push(x any) {
	acc := x.(*account)
	acc.dueIndex = len(*q)
	*q = append(*q, acc)
}

// Pop implements heap.Interface.
func (q *dueQueue) Pop() any {
	last := len(*q) - 1
	acc := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	acc.dueIndex = notDue
	return acc
}
