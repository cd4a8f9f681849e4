package admit

import (
	"math"
	"sort"
	"time"
)

// Splitting a team's limit between entries.
//
// A home (the control leader) grants expiring shares that follow demand. A small
// part of each limit is not granted but stands as a floor at every entry, so
// that an entry that is cut off can still serve some of the team's requests. The
// sum of the floors and of the live shares never exceeds the limit:
//
//   - the home counts a grant for longer, by its clock, than the entry uses it by
//     its own: the entry counts from before it asked, the home from when it
//     answered, and adds the bound on clock rates;
//   - a new home grants nothing until every grant of the one before has ended;
//   - floors are divided by twice the entries of the ring on the log, so that two
//     rings that are in force during a change stay within the floor's part.
const (
	// ShareTTL is how long an entry uses a grant, from before it asked.
	ShareTTL = 2 * time.Second
	// ShareInterval is how often an entry asks.
	ShareInterval = 500 * time.Millisecond
	// FloorPart of each limit is divided into floors.
	FloorPart = 0.04
	// clockRatio bounds how much faster one clock may run than another.
	clockRatio = 1.1
	// minGrantPart of an entry's even share is always granted to one that asks,
	// so that a first request need not wait for the next round.
	minGrantPart = 0.1
)

// Amounts are the three measures of a limit; +Inf is no limit.
type Amounts struct {
	// Requests and Tokens are per second.
	Requests, Tokens float64
	// Concurrent requests in progress.
	Concurrent float64
}

// Unlimited is no limit at all.
var Unlimited = Amounts{math.Inf(1), math.Inf(1), math.Inf(1)}

func (a Amounts) scale(f float64) Amounts {
	return Amounts{a.Requests * f, a.Tokens * f, a.Concurrent * f}
}

func (a Amounts) add(b Amounts) Amounts {
	return Amounts{a.Requests + b.Requests, a.Tokens + b.Tokens, a.Concurrent + b.Concurrent}
}

// Floor is what each entry of a ring of n may use without a grant.
func Floor(limit Amounts, n int) Amounts {
	if n < 1 {
		return Amounts{}
	}
	return limit.scale(FloorPart / float64(2*n))
}

// Subject is what a limit applies to.
type Subject struct{ Team, Service string }

// Home grants shares. It is pure and not safe for use by several goroutines.
type Home struct {
	// open is when this home may begin to grant.
	open     time.Time
	subjects map[Subject]map[string]*account
	swept    time.Time
	epoch    uint64
}

// account is one entry's part of one subject.
type account struct {
	// grants that the entry may be using, oldest first.
	grants []grant
	demand Amounts
	// running is what the entry last reported to have in progress.
	running float64
	// held is how long its requests in progress may go on.
	held time.Time
}

type grant struct {
	epoch   uint64
	amounts Amounts
	expires time.Time
}

// Demand is what an entry asks for.
type Demand struct {
	// Wanted is what it could use.
	Wanted Amounts
	// Running is how many requests it has in progress.
	Running float64
	// Ack is the epoch of the grant that it uses; it uses no earlier one.
	Ack uint64
}

// NewHome makes the home of a leader that has just begun to lead. It waits until
// the grants of the one before it have ended.
func NewHome(now time.Time) *Home {
	return &Home{open: now.Add(homeTTL), subjects: map[Subject]map[string]*account{}}
}

// homeTTL is how long the home counts a grant.
const homeTTL = time.Duration(float64(ShareTTL) * clockRatio)

// Grant answers an entry's demand for one subject; ok is false while this home
// may not grant. hold is the longest time that a request may run: requests in
// progress outlive a grant, so they are counted for as long.
func (h *Home) Grant(now time.Time, entry string, s Subject, limit Amounts, d Demand, hold time.Duration) (a Amounts, epoch uint64, ok bool) {
	if now.Before(h.open) {
		return Amounts{}, 0, false
	}
	h.sweep(now)
	byEntry := h.subjects[s]
	if byEntry == nil {
		byEntry = map[string]*account{}
		h.subjects[s] = byEntry
	}
	used, wanted, n := others(now, byEntry, entry)
	pool := limit.scale(1 - FloorPart)
	a = Amounts{
		Requests:   portion(pool.Requests, used.Requests, d.Wanted.Requests, wanted.Requests, n),
		Tokens:     portion(pool.Tokens, used.Tokens, d.Wanted.Tokens, wanted.Tokens, n),
		Concurrent: math.Floor(portion(pool.Concurrent, used.Concurrent, d.Wanted.Concurrent, wanted.Concurrent, n)),
	}
	acc := byEntry[entry]
	if acc == nil {
		acc = &account{}
		byEntry[entry] = acc
	}
	h.epoch++
	acc.take(now, d, grant{epoch: h.epoch, amounts: a, expires: now.Add(homeTTL)}, hold)
	return a, h.epoch, true
}

// take notes a new grant. The answer that carries it may be lost, so earlier
// grants count until the entry has named a later one or they have ended.
func (acc *account) take(now time.Time, d Demand, g grant, hold time.Duration) {
	kept := acc.grants[:0]
	for _, old := range acc.grants {
		if old.epoch >= d.Ack && now.Before(old.expires) {
			kept = append(kept, old)
		}
	}
	acc.grants = append(kept, g)
	acc.demand = d.Wanted
	acc.running = d.Running
	acc.held = g.expires.Add(hold)
}

// live is what the entry may be using now.
func (acc *account) live(now time.Time) Amounts {
	var a Amounts
	for _, g := range acc.grants {
		if !now.Before(g.expires) {
			continue
		}
		a.Requests = max(a.Requests, g.amounts.Requests)
		a.Tokens = max(a.Tokens, g.amounts.Tokens)
	}
	if now.Before(acc.held) {
		a.Concurrent = acc.running
		for _, g := range acc.grants {
			a.Concurrent = max(a.Concurrent, g.amounts.Concurrent)
		}
	}
	return a
}

// others sums what the other entries may use now, and what they asked for.
func others(now time.Time, byEntry map[string]*account, entry string) (used, wanted Amounts, n int) {
	for id, acc := range byEntry {
		if id == entry {
			continue
		}
		used = used.add(acc.live(now))
		last := acc.grants[len(acc.grants)-1]
		if now.Before(last.expires) {
			wanted = wanted.add(acc.demand)
			n++
		}
	}
	return used, wanted, n + 1
}

// portion divides one measure by demand (weighted max-min with demand as the
// weight), within what the others leave free.
func portion(pool, others, demand, wanted float64, n int) float64 {
	if math.IsInf(pool, 1) {
		return pool
	}
	free := max(pool-others, 0)
	even := pool / float64(n)
	fair := even
	if total := demand + wanted; total > 0 {
		fair = max(pool*demand/total, even*minGrantPart)
	}
	return min(free, fair)
}

func (h *Home) sweep(now time.Time) {
	if now.Sub(h.swept) < homeTTL {
		return
	}
	h.swept = now
	for s, byEntry := range h.subjects {
		for id, acc := range byEntry {
			if !now.Before(acc.held) {
				delete(byEntry, id)
			}
		}
		if len(byEntry) == 0 {
			delete(h.subjects, s)
		}
	}
}

// Live returns the sum of what all entries may use of a subject now.
func (h *Home) Live(now time.Time, s Subject) Amounts {
	var sum Amounts
	for _, acc := range h.subjects[s] {
		sum = sum.add(acc.live(now))
	}
	return sum
}

// SubjectState is one subject in a dump.
type SubjectState struct {
	Team     string  `json:"team"`
	Service  string  `json:"service"`
	Entries  int     `json:"entries"`
	Requests float64 `json:"requests_per_second"`
}

// Dump lists the subjects that are granted now.
func (h *Home) Dump(now time.Time) []SubjectState {
	var list []SubjectState
	for s, byEntry := range h.subjects {
		list = append(list, SubjectState{
			Team: s.Team, Service: s.Service, Entries: len(byEntry), Requests: h.Live(now, s).Requests,
		})
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].Team != list[j].Team {
			return list[i].Team < list[j].Team
		}
		return list[i].Service < list[j].Service
	})
	return list
}
