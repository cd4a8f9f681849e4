package directory

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/snipereach/snipereach/wire"
)

// failureBackoff is how long a replica that did not answer is tried only after all
// others.
const failureBackoff = 5 * time.Second

// Targets orders the control replicas for one process: those of its own failure domain
// first, then by rendezvous hashing (Thaler and Ravishankar, 1998), which spreads the
// processes evenly and distributes the load of a lost replica over all others. It is
// safe for concurrent use.
type Targets struct {
	id     string
	domain string

	mu           sync.Mutex
	list         []*target
	domainsKnown bool
	acceptNew    bool
}

type target struct {
	address string
	domain  string
	score   uint64
	// failed is when the replica last failed to answer; zero if the last call succeeded.
	failed time.Time
}

// NewTargets returns the order for the process with the ID and failure domain.
func NewTargets(id, failureDomain string, addresses []string) *Targets {
	t := &Targets{id: id, domain: failureDomain}
	for _, a := range addresses {
		t.list = append(t.list, newTarget(id, a))
	}
	t.sort()
	return t
}

func newTarget(id, address string) *target {
	return &target{address: address, score: xxhash.Sum64String(id + "\x00" + address)}
}

func (t *Targets) sort() {
	slices.SortStableFunc(t.list, func(a, b *target) int {
		return cmp.Or(-cmp.Compare(t.proximity(a), t.proximity(b)), -cmp.Compare(a.score, b.score))
	})
}

func (t *Targets) proximity(x *target) int {
	if x.domain != "" && x.domain == t.domain {
		return 1
	}
	return 0
}

// DomainsKnown reports whether the failure domain of any replica has been received.
func (t *Targets) DomainsKnown() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.domainsKnown
}

// needsReplicaList reports whether announcements should ask for the list of
// replicas.
func (t *Targets) needsReplicaList() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.acceptNew || !t.domainsKnown
}

// UpdateReplicas updates the failure domains of the replicas. Unknown replicas are
// added if AllowNewReplicas was called, and ignored otherwise.
func (t *Targets) UpdateReplicas(replicas []*wire.DirectoryReplica) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range replicas {
		i := slices.IndexFunc(t.list, func(x *target) bool { return x.address == r.Address })
		if i < 0 {
			if !t.acceptNew {
				continue
			}
			t.list = append(t.list, newTarget(t.id, r.Address))
			i = len(t.list) - 1
		}
		t.list[i].domain = r.FailureDomain
		t.domainsKnown = true
	}
	t.sort()
}

// AllowNewReplicas allows UpdateReplicas to add replicas that are not configured, as replicas
// may be replaced at new addresses while the process runs. It returns t.
func (t *Targets) AllowNewReplicas() *Targets {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.acceptNew = true
	return t
}

// Addresses returns the addresses of the replicas in order.
func (t *Targets) Addresses() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []string
	for _, x := range t.list {
		list = append(list, x.address)
	}
	return list
}

// Nearby returns the addresses of the replicas in the process's own failure domain, in order; none while
// failure domains aren't known.
func (t *Targets) Nearby() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []string
	for _, x := range t.list {
		if t.proximity(x) > 0 {
			list = append(list, x.address)
		}
	}
	return list
}

// Pick returns up to n addresses to use now. Replicas that recently failed come last. Where
// possible all are of different failure domains, so that the loss of one domain doesn't
// affect them all.
func (t *Targets) Pick(now time.Time, n int) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var chosen []*target
	for _, pass := range []func(*target) bool{
		func(x *target) bool { return t.isAvailable(x, now) && !sharesDomain(chosen, x) },
		func(x *target) bool { return t.isAvailable(x, now) },
		func(*target) bool { return true },
	} {
		for _, x := range t.list {
			if len(chosen) < n && !slices.Contains(chosen, x) && pass(x) {
				chosen = append(chosen, x)
			}
		}
	}
	var addresses []string
	for _, x := range chosen {
		addresses = append(addresses, x.address)
	}
	return addresses
}

func (t *Targets) isAvailable(x *target, now time.Time) bool {
	return x.failed.IsZero() || now.Sub(x.failed) >= failureBackoff
}

func sharesDomain(chosen []*target, x *target) bool {
	return x.domain != "" && slices.ContainsFunc(chosen, func(c *target) bool { return c.domain == x.domain })
}

// HasAlternative reports whether a replica other than address is available.
func (t *Targets) HasAlternative(address string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.ContainsFunc(t.list, func(x *target) bool { return x.address != address && t.isAvailable(x, now) })
}

// MarkAnswered records that a replica answered.
func (t *Targets) MarkAnswered(address string) { t.setFailed(address, time.Time{}) }

// MarkFailed records that a replica did not answer.
func (t *Targets) MarkFailed(address string, now time.Time) { t.setFailed(address, now) }

func (t *Targets) setFailed(address string, failed time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, x := range t.list {
		if x.address == address {
			x.failed = failed
		}
	}
}
