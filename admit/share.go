package admit

import (
	"math"
	"sort"
	"time"
)

// Splitting a team's limit between entries.
//
// A home (the control leader) grants expiring shares that follow demand. A small
// part of each large limit is not granted but stands as a floor at every entry,
// so that an entry that is cut off can still serve some of the team's requests.
// The sum of the floors and of the live shares never exceeds the limit:
//
//   - the home counts a grant for longer, by its clock, than the entry uses it by
//     its own: the entry counts from before it asked, the home from when it
//     answered, and adds the bound on clock rates;
//   - a new home grants nothing until every grant of the one before has ended;
//   - requests in progress outlive a grant, so a concurrent share is counted for
//     as long as they may run, and a new home gives out what may be in progress
//     at an entry only once that entry has told it;
//   - floors are divided by twice the entries of the ring on the log, so that two
//     rings that are in force during a change stay within the floor's part.
const (
	// ShareTTL is how long an entry uses a grant, from before it asked.
	ShareTTL = 2 * time.Second
	// ShareInterval is how often an entry asks.
	ShareInterval = 500 * time.Millisecond
	// FloorPart of each limit is divided into floors.
	FloorPart = 0.04
	// FloorBurst is the part of a limit's burst that is divided into floors. It
	// is larger than FloorPart: a floor that can't save up one request is of no
	// use however long it lasts.
	FloorBurst = 0.2
	// FloorFrom is the least limit that has floors. The floor of a smaller one
	// could not hold one request, and would only take from the others.
	FloorFrom = 50
	// clockRatio bounds how much faster one clock may run than another.
	clockRatio = 1.1
	// minGrantPart of an even share is granted to each entry that asks, however
	// small its demand beside the others', so that a demand can grow.
	minGrantPart = 0.1
	// turnTime is how long an entry keeps a unit of a limit that has fewer units
	// than there are entries that ask.
	turnTime = 2 * time.Second
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

func (a Amounts) add(b Amounts) Amounts {
	return Amounts{a.Requests + b.Requests, a.Tokens + b.Tokens, a.Concurrent + b.Concurrent}
}

// Floor is what each entry of a ring of n may use without a grant.
func Floor(limit Amounts, n int) Amounts {
	if n < 1 {
		return Amounts{}
	}
	part := FloorPart / float64(2*n)
	a := Amounts{Tokens: limit.Tokens * part}
	if limit.Requests >= FloorFrom {
		a.Requests = limit.Requests * part
	}
	if limit.Concurrent >= FloorFrom {
		a.Concurrent = math.Floor(limit.Concurrent * part)
	}
	return a
}

// pool is the part of a limit that is granted.
func pool(limit Amounts) Amounts {
	return Amounts{
		Requests:   granted(limit.Requests),
		Tokens:     limit.Tokens * (1 - FloorPart),
		Concurrent: math.Floor(granted(limit.Concurrent)),
	}
}

// granted never falls as the limit grows, also where floors begin: an entry and
// a home that know different versions of a row stay within the larger of the two.
func granted(limit float64) float64 {
	if limit >= FloorFrom {
		return limit * (1 - FloorPart)
	}
	return min(limit, FloorFrom*(1-FloorPart))
}

// burstPool is how many requests all grants of a limit may save up together. With
// the floors' part it is at most a second's worth, or one request if the limit is
// less than one a second. Like granted, it never falls as the limit grows.
func burstPool(limit float64) float64 {
	perSecond := limit * burstTime.Seconds()
	if limit >= FloorFrom {
		return perSecond * (1 - FloorBurst)
	}
	return min(max(perSecond, 1), FloorFrom*burstTime.Seconds()*(1-FloorBurst))
}

// floorBurst is how many requests a floor may save up.
func floorBurst(limit float64, n int) float64 {
	if n < 1 || limit < FloorFrom {
		return 0
	}
	return limit * burstTime.Seconds() * FloorBurst / float64(2*n)
}

// burst is what an entry may save up with its part of a granted pool.
func burst(limit, share float64) float64 {
	if math.IsInf(limit, 1) {
		return 0
	}
	return share * burstPool(limit) / granted(limit)
}

// requestUnit is the least share of a limit that can save up one request.
func requestUnit(limit float64) float64 {
	return granted(limit) / burstPool(limit)
}

// Subject is what a limit applies to.
type Subject struct{ Team, Service string }

// Report heads the demands of one entry.
type Report struct {
	Entry string
	// Incarnation grows with each start of the entry, Seq with each report.
	Incarnation, Seq uint64
	// Home is the last home that the entry had an answer from; its epochs are
	// the ones acknowledged.
	Home string
}

// Fleet is the ring of entries on the log.
type Fleet struct {
	Members []string
	// Previous are the members before the last change.
	Previous []string
	// Unchanged is for how long the ring is known to have been the same, MostOnce
	// the time in which it changes once at most.
	Unchanged, MostOnce time.Duration
}

// Home grants shares. It is pure and not safe for use by several goroutines.
type Home struct {
	name string
	// open is when this home may begin to grant.
	open     time.Time
	subjects map[Subject]map[string]*account
	lives    map[string]life
	members  map[string]bool
	fleet    Fleet
	swept    time.Time
	epoch    uint64
	// settledFor is the longest hold that this home was found settled for.
	settledFor time.Duration
	// skipWait and skipEarlier switch off a safeguard each, for tests that show
	// that it is needed.
	skipWait, skipEarlier bool
}

// life is the last report of an entry.
type life struct {
	incarnation, seq uint64
	// told is set once the entry has said to this home what it has in progress.
	told bool
	// acks is set when the report's epochs are this home's.
	acks bool
}

// account is one entry's part of one subject.
type account struct {
	// grants that the entry may be using, oldest first.
	grants []grant
	// ended stands for the grants that ended before the entry named a later one:
	// a report that was sent before their end and comes after it doesn't count the
	// requests that were admitted in between.
	ended  grant
	demand Amounts
	// running is what the entry last reported to have in progress.
	running float64
	// had is the most that it reported before the home was settled.
	had float64
	// held is how long its requests in progress may go on.
	held time.Time
}

type grant struct {
	epoch   uint64
	amounts Amounts
	expires time.Time
	// held is when the last request that was admitted under it has ended.
	held time.Time
}

// Demand is what an entry asks for.
type Demand struct {
	// Wanted is what it could use.
	Wanted Amounts
	// Running is how many requests it has in progress above its floor.
	Running float64
	// Ack is the epoch of the grant that it uses; it uses no earlier one.
	Ack uint64
}

// Share is an expiring part of a limit.
type Share struct {
	Amounts
	Epoch uint64
	// Burst is how many requests may be saved up.
	Burst float64
	// Hold bounds the timeout of a request that uses the concurrent part.
	Hold time.Duration
}

// NewHome makes the home of a leader that has just begun to lead. It waits until
// the grants of the one before it have ended. name differs from that of any
// other home.
func NewHome(now time.Time, name string) *Home {
	return &Home{
		name: name, open: now.Add(homeTTL), subjects: map[Subject]map[string]*account{},
		lives: map[string]life{}, members: map[string]bool{},
	}
}

// homeTTL is how long the home counts a grant.
const homeTTL = time.Duration(float64(ShareTTL) * clockRatio)

// Name returns the home's name, or nothing while it may not grant: an entry that
// names this home has been answered after the grants of the one before ended.
func (h *Home) Name(now time.Time) string {
	if !h.isOpen(now) {
		return ""
	}
	return h.name
}

func (h *Home) isOpen(now time.Time) bool { return h.skipWait || !now.Before(h.open) }

// SetFleet tells which entries the ring on the log has.
func (h *Home) SetFleet(f Fleet) {
	h.fleet = f
	clear(h.members)
	for _, id := range f.Members {
		h.members[id] = true
	}
}

// Hear takes the head of an entry's demands. It returns false if they must not be
// answered: this home may not grant yet, or the report is not the entry's latest.
// A late one would count fewer requests in progress than there are.
func (h *Home) Hear(now time.Time, r Report) bool {
	if !h.isOpen(now) {
		return false
	}
	last := h.lives[r.Entry]
	if r.Incarnation < last.incarnation || r.Incarnation == last.incarnation && r.Seq <= last.seq {
		return false
	}
	acks := r.Home == h.name
	h.lives[r.Entry] = life{r.Incarnation, r.Seq, last.told || acks, acks}
	h.sweep(now)
	return true
}

// settled says whether this home knows of all requests that were admitted under
// another home's grants: every entry of the ring has told, or they have ended. An
// entry that left the ring lately may still run some.
func (h *Home) settled(now time.Time, hold time.Duration) bool {
	counted := time.Duration(float64(hold) * clockRatio)
	if h.skipWait || !now.Before(h.open.Add(counted)) || hold <= h.settledFor {
		return true
	}
	if len(h.fleet.Members) == 0 || !h.told(h.fleet.Members) {
		return false
	}
	if h.fleet.Unchanged < counted && (counted > h.fleet.MostOnce || !h.told(h.fleet.Previous)) {
		return false
	}
	h.settledFor = hold
	return true
}

func (h *Home) told(entries []string) bool {
	for _, id := range entries {
		if !h.lives[id].told {
			return false
		}
	}
	return true
}

// Grant answers one demand of a report that Hear has taken. hold is the longest
// time that a request of the subject may run; see Holds.
func (h *Home) Grant(now time.Time, entry string, s Subject, limit Amounts, d Demand, hold time.Duration) Share {
	byEntry := h.subjects[s]
	if byEntry == nil {
		byEntry = map[string]*account{}
		h.subjects[s] = byEntry
	}
	if !h.lives[entry].acks {
		d.Ack = 0
	}
	o := othersOf(now, byEntry, entry)
	p := pool(limit)
	o.turn = turnAt(now.Sub(h.open), limit.Requests)
	a := Amounts{
		Requests:   o.portion(p.Requests, o.used.Requests, requestUnit(limit.Requests), false, d, requestsOf),
		Tokens:     o.portion(p.Tokens, o.used.Tokens, 0, false, d, tokensOf),
		Concurrent: o.portion(p.Concurrent, o.used.Concurrent, 1, true, d, concurrentOf),
	}
	acc := byEntry[entry]
	if acc == nil {
		acc = &account{}
		byEntry[entry] = acc
	}
	if !math.IsInf(limit.Concurrent, 1) {
		a.Concurrent = min(a.Concurrent, h.concurrentBound(now, entry, acc, d, hold))
	}
	h.epoch++
	if h.skipEarlier {
		acc.grants = nil
	}
	acc.take(now, d, grant{epoch: h.epoch, amounts: a, expires: now.Add(homeTTL)}, hold)
	return Share{Amounts: a, Epoch: h.epoch, Burst: burst(limit.Requests, a.Requests), Hold: hold}
}

// turnAt counts the turns since the home began. The whole of a limit below one
// request a second is held for two requests at least: what was saved up towards
// one is lost with the share.
func turnAt(since time.Duration, limit float64) int {
	length := max(turnTime.Seconds(), 2/limit)
	return int(since.Seconds() / length)
}

// concurrentBound is what an entry may be granted to have in progress. Until this
// home is settled, another entry may be running any part of the limit that this
// one does not: it may go on with as many as it had, which the home before had
// granted it, and no more. An entry that is not in the ring gets none, since no
// home would know that it must wait for it.
func (h *Home) concurrentBound(now time.Time, entry string, acc *account, d Demand, hold time.Duration) float64 {
	switch {
	case !h.members[entry]:
		return 0
	case h.settled(now, hold):
		return math.Inf(1)
	case !h.lives[entry].acks:
		// The report may be from before this home began; a share for as many as
		// it names has ended by now, and a later one must not go by it.
		return d.Running
	}
	acc.had = max(acc.had, d.Running)
	return acc.had
}

// take notes a new grant. The answer that carries it may be lost, so earlier
// grants count until the entry has named a later one or they have ended.
func (acc *account) take(now time.Time, d Demand, g grant, hold time.Duration) {
	g.held = g.expires.Add(time.Duration(float64(hold) * clockRatio))
	kept := acc.grants[:0]
	for _, old := range acc.grants {
		switch {
		case old.epoch < d.Ack:
		case now.Before(old.expires):
			kept = append(kept, old)
		default:
			acc.ended = acc.ended.join(old)
		}
	}
	if acc.ended.epoch < d.Ack {
		acc.ended = grant{}
	}
	acc.grants = append(kept, g)
	acc.demand = d.Wanted
	acc.running = d.Running
	if g.held.After(acc.held) {
		acc.held = g.held
	}
}

// join returns a grant that counts for as much and as long as both.
func (g grant) join(o grant) grant {
	g.epoch = max(g.epoch, o.epoch)
	g.amounts.Concurrent = max(g.amounts.Concurrent, o.amounts.Concurrent)
	if o.held.After(g.held) {
		g.held = o.held
	}
	return g
}

// live is what the entry may be using now.
func (acc *account) live(now time.Time) Amounts {
	var a Amounts
	for _, g := range acc.grants {
		if now.Before(g.held) {
			a.Concurrent = max(a.Concurrent, g.amounts.Concurrent)
		}
		if now.Before(g.expires) {
			a.Requests = max(a.Requests, g.amounts.Requests)
			a.Tokens = max(a.Tokens, g.amounts.Tokens)
		}
	}
	if now.Before(acc.ended.held) {
		a.Concurrent = max(a.Concurrent, acc.ended.amounts.Concurrent)
	}
	if now.Before(acc.held) {
		a.Concurrent = max(a.Concurrent, acc.running)
	}
	return a
}

// asking says whether the entry has asked for a share lately.
func (acc *account) asking(now time.Time) bool {
	return acc.demand != Amounts{} && now.Before(acc.grants[len(acc.grants)-1].expires)
}

// others is what the other entries of a subject have and want.
type others struct {
	used    Amounts
	demands []Amounts
	// rank is the entry's place among those that ask, by ID.
	rank, turn int
}

func othersOf(now time.Time, byEntry map[string]*account, entry string) *others {
	o := &others{}
	for id, acc := range byEntry {
		if id == entry {
			continue
		}
		o.used = o.used.add(acc.live(now))
		if !acc.asking(now) {
			continue
		}
		o.demands = append(o.demands, acc.demand)
		if id < entry {
			o.rank++
		}
	}
	return o
}

func requestsOf(a Amounts) float64   { return a.Requests }
func tokensOf(a Amounts) float64     { return a.Tokens }
func concurrentOf(a Amounts) float64 { return a.Concurrent }

// portion is an entry's part of one measure, within what the others leave free.
// A part of less than a unit is of no use to it and is left to others.
func (o *others) portion(pool, used, unit float64, whole bool, d Demand, measure func(Amounts) float64) float64 {
	if measure(d.Wanted) <= 0 {
		return 0
	}
	if math.IsInf(pool, 1) {
		return pool
	}
	fair := o.fair(pool, unit, whole, measure(d.Wanted), measure)
	got := min(max(pool-used, 0), fair)
	if whole {
		got = math.Floor(got)
	}
	if got < unit*(1-rounding) {
		return 0
	}
	return got
}

// fair divides a pool by demand, above a base that each entry gets that asks.
func (o *others) fair(pool, unit float64, whole bool, demand float64, measure func(Amounts) float64) float64 {
	n := float64(len(o.demands) + 1)
	if units := math.Floor(pool / max(unit, math.SmallestNonzeroFloat32)); units < n {
		return o.inTurn(pool, max(units, 1))
	}
	base := min(max(unit, pool/n*minGrantPart), pool/n)
	total := demand
	for _, other := range o.demands {
		total += measure(other)
	}
	part := func(demand float64) float64 { return base + (pool-base*n)*demand/total }
	if !whole {
		return part(demand)
	}
	left := pool - math.Floor(part(demand))
	for _, other := range o.demands {
		left -= math.Floor(part(measure(other)))
	}
	if float64(o.place()) < left {
		return math.Floor(part(demand)) + 1
	}
	return math.Floor(part(demand))
}

// inTurn gives the units of a limit that has too few for all that ask to some of
// them, and to others later. Parts smaller than a unit would serve nobody.
func (o *others) inTurn(pool, units float64) float64 {
	if float64(o.place()) >= units {
		return 0
	}
	return pool / units
}

// place is the entry's rank, which moves on with the turns.
func (o *others) place() int { return (o.rank + o.turn) % (len(o.demands) + 1) }

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
	Team       string  `json:"team"`
	Service    string  `json:"service"`
	Entries    int     `json:"entries"`
	Requests   float64 `json:"requests_per_second"`
	Tokens     float64 `json:"tokens_per_second"`
	Concurrent float64 `json:"concurrent"`
}

// Dump lists the subjects that are granted now.
func (h *Home) Dump(now time.Time) []SubjectState {
	var list []SubjectState
	for s, byEntry := range h.subjects {
		live := h.Live(now, s)
		list = append(list, SubjectState{
			Team: s.Team, Service: s.Service, Entries: len(byEntry),
			Requests: finite(live.Requests), Tokens: finite(live.Tokens), Concurrent: finite(live.Concurrent),
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

// finite stands in for values that JSON can't carry: -1 is no limit.
func finite(v float64) float64 {
	if math.IsInf(v, 0) || math.IsNaN(v) {
		return -1
	}
	return v
}
