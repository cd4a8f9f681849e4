package directory

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/snipereach/snipereach/wire"
)

// retryAfter is how long a replica that did not answer is asked last.
const retryAfter = 5 * time.Second

// Targets is the order in which one process uses the control replicas: those of
// its own failure domain first, then by rendezvous hash (Thaler and
// Ravishankar, 1998), so that many processes spread evenly and a replica that
// is lost leaves its share to all others.
type Targets struct {
	id     string
	domain string

	mu      sync.Mutex
	list    []*target
	learned bool
	grow    bool
}

type target struct {
	address string
	domain  string
	score   uint64
	// failed is when it last did not answer; zero if it answers.
	failed time.Time
}

// NewTargets makes the order for a process of a failure domain.
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
		return cmp.Or(-cmp.Compare(t.near(a), t.near(b)), -cmp.Compare(a.score, b.score))
	})
}

func (t *Targets) near(x *target) int {
	if x.domain != "" && x.domain == t.domain {
		return 1
	}
	return 0
}

// Learned says whether the replicas' failure domains are known.
func (t *Targets) Learned() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.learned
}

// wants says whether the replicas are to be asked for.
func (t *Targets) wants() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.grow || !t.learned
}

// Learn takes the replicas' failure domains, and replicas that were not known.
func (t *Targets) Learn(replicas []*wire.DirectoryReplica) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range replicas {
		i := slices.IndexFunc(t.list, func(x *target) bool { return x.address == r.Address })
		if i < 0 {
			if !t.grow {
				continue
			}
			t.list = append(t.list, newTarget(t.id, r.Address))
			i = len(t.list) - 1
		}
		t.list[i].domain = r.FailureDomain
		t.learned = true
	}
	t.sort()
}

// Grow lets the order take up replicas that the settings don't name. They may be
// replaced by others at new addresses while a process runs.
func (t *Targets) Grow() *Targets {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.grow = true
	return t
}

// Addresses lists the replicas.
func (t *Targets) Addresses() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []string
	for _, x := range t.list {
		list = append(list, x.address)
	}
	return list
}

// Pick returns n addresses to use now. Replicas that did not answer lately come
// last. The second is of another failure domain than the first, where there is
// one: both would be lost with it.
func (t *Targets) Pick(now time.Time, n int) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var chosen []*target
	for _, pass := range []func(*target) bool{
		func(x *target) bool { return t.answers(x, now) && !sharesDomain(chosen, x) },
		func(x *target) bool { return t.answers(x, now) },
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

func (t *Targets) answers(x *target, now time.Time) bool {
	return x.failed.IsZero() || now.Sub(x.failed) >= retryAfter
}

func sharesDomain(chosen []*target, x *target) bool {
	return x.domain != "" && slices.ContainsFunc(chosen, func(c *target) bool { return c.domain == x.domain })
}

// Others says whether a replica besides this one may answer now.
func (t *Targets) Others(address string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.ContainsFunc(t.list, func(x *target) bool { return x.address != address && t.answers(x, now) })
}

// Answered notes that a replica answered.
func (t *Targets) Answered(address string) { t.mark(address, time.Time{}) }

// Failed notes that a replica did not answer.
func (t *Targets) Failed(address string, now time.Time) { t.mark(address, now) }

func (t *Targets) mark(address string, failed time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, x := range t.list {
		if x.address == address {
			x.failed = failed
		}
	}
}
