package teamshare

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// failureBackoff is how long a replica that didn't answer is asked only if no other one answers.
const failureBackoff = 5 * time.Second

// replicaOrder decides which replicas a gateway reports a service to: the first by rendezvous hashing
// (Thaler and Ravishankar, 1998) over those that it knows. All gateways that know the same replicas choose
// the same one, and the services of a lost replica are spread over all others. The zero value is ready.
type replicaOrder struct {
	// failedAt is when each replica failed that has not answered since.
	failedAt map[string]time.Time
}

// order returns the replicas in the order in which they are to be asked about a service.
func (o *replicaOrder) order(now time.Time, service string, replicas []string) []string {
	failed := func(r string) int {
		if o.failedLately(now, r) {
			return 1
		}
		return 0
	}
	score := func(r string) uint64 { return xxhash.Sum64String(service + "\x00" + r) }
	return slices.SortedFunc(slices.Values(replicas), func(a, b string) int {
		return cmp.Or(cmp.Compare(failed(a), failed(b)), -cmp.Compare(score(a), score(b)), cmp.Compare(a, b))
	})
}

func (o *replicaOrder) failedLately(now time.Time, replica string) bool {
	at, failed := o.failedAt[replica]
	return failed && now.Sub(at) < failureBackoff
}

// backingOff returns how many of the replicas have failed lately: these are the last in the order.
func (o *replicaOrder) backingOff(now time.Time, replicas []string) (n int) {
	for _, r := range replicas {
		if o.failedLately(now, r) {
			n++
		}
	}
	return n
}

// record records whether a replica has answered. known are the replicas that exist; others are forgotten.
func (o *replicaOrder) record(now time.Time, replica string, answered bool, known []string) {
	for r := range o.failedAt {
		if !slices.Contains(known, r) {
			delete(o.failedAt, r)
		}
	}
	if answered {
		delete(o.failedAt, replica)
		return
	}
	if o.failedAt == nil {
		o.failedAt = map[string]time.Time{}
	}
	o.failedAt[replica] = now
}
