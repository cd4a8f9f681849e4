package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxAnsweredParts bounds the parts that are known to have been answered.
	maxAnsweredParts = 16384
	// answeredPartTTL is how long a part that was answered isn't suspected. Requests with it are served
	// many times in it unless they are rare.
	answeredPartTTL = 15 * time.Minute
	// recentArrivals is the number of latest requests of which it is known which parts they have.
	recentArrivals = 128
	// minArrivals is the number of requests from which on a part's share of them says anything.
	minArrivals = 16
	// minAnswers is the number of answered requests from which on a common part would be known as answered.
	minAnswers = 20
	// commonShare is the share of the latest requests from which on a part is in most crashes by chance.
	commonShare = 0.25
	// maxRunRequests is the number of requests that are remembered of one crash; two tell that a part is common.
	maxRunRequests = 4
	// maxAmbiguousCrashes is how many more crashes than others a part may have while another one ran at the same.
	maxAmbiguousCrashes = 2
	// partKeyPrefix distinguishes the keys of parts from those of requests.
	partKeyPrefix = "part\x00"
)

// PromptPart identifies a part of prompts that several requests to a service may have.
type PromptPart struct{ Service, ID string }

// Info returns the description of a part that peers exchange. Team and route are those of the request with
// which an upstream crashed.
func (p PromptPart) Info(team, route string) RequestInfo {
	return RequestInfo{Key: p.key(), Hint: Hint(p.hash()), Team: team, Route: route, Part: p.ID}
}

// PartInfos returns the descriptions of several parts.
func PartInfos(parts []PromptPart, team, route string) (list []RequestInfo) {
	for _, p := range parts {
		list = append(list, p.Info(team, route))
	}
	return list
}

// key is cryptographic, like Request.Key.
func (p PromptPart) key() (k Key) {
	h := sha256.New()
	var size [8]byte
	binary.LittleEndian.PutUint64(size[:], uint64(len(p.Service)))
	h.Write([]byte(partKeyPrefix))
	h.Write(size[:])
	h.Write([]byte(p.Service))
	h.Write([]byte(p.ID))
	copy(k[:], h.Sum(nil))
	return k
}

// hash is cheap, as it is needed for each part of each request.
func (p PromptPart) hash() uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(partKeyPrefix)
	_, _ = h.WriteString(p.Service)
	_, _ = h.WriteString("\x00")
	_, _ = h.WriteString(p.ID)
	return h.Sum64()
}

// partHistory is what one process knows of the parts of prompts that it has served. It tells which parts of
// the requests that ran when an upstream crashed may be the cause. It is safe for concurrent use.
//
// A part that crashes each upstream which begins to answer it is never answered; one that has been
// answered isn't the cause. While such requests keep a group down nothing is answered at all, so answers
// from before count as well. A part in many requests is in most crashes by chance, which says nothing about
// it: without an answer of it yet, as after a start, it isn't suspected either.
type partHistory struct {
	mu sync.Mutex
	// suspectAll says that no part is exonerated; only tests set it.
	suspectAll bool
	// answered has when each part was last answered; previous those of the generation before, so that
	// old ones can be forgotten without a scan.
	answered, previous map[uint64]time.Time
	// answers counts the answered requests.
	answers int
	// arrivals is a ring of the parts of the latest requests; next is the oldest of them.
	arrivals [][]uint64
	next     int
}

func newPartHistory() *partHistory { return &partHistory{answered: map[uint64]time.Time{}} }

// recordArrival records the parts of a request that has arrived.
func (h *partHistory) recordArrival(parts []PromptPart) {
	hashes := make([]uint64, len(parts))
	for i, p := range parts {
		hashes[i] = p.hash()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.arrivals) < recentArrivals {
		h.arrivals = append(h.arrivals, hashes)
		return
	}
	h.arrivals[h.next] = hashes
	h.next = (h.next + 1) % recentArrivals
}

// recordAnswer records that a request with these parts was answered completely.
func (h *partHistory) recordAnswer(now time.Time, parts []PromptPart) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.answers++
	for _, p := range parts {
		h.answered[p.hash()] = now
	}
	if len(h.answered) >= maxAnsweredParts/2 {
		h.previous, h.answered = h.answered, map[uint64]time.Time{}
	}
}

// exonerates reports whether this process knows that a part isn't the cause of crashes, or that it would be
// in most of them anyway.
func (h *partHistory) exonerates(now time.Time, part uint64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.suspectAll {
		return false
	}
	return h.wasAnswered(now, part) || h.answers < minAnswers && h.isCommon(part)
}

func (h *partHistory) wasAnswered(now time.Time, part uint64) bool {
	at, ok := h.answered[part]
	if !ok {
		at, ok = h.previous[part]
	}
	return ok && now.Sub(at) <= answeredPartTTL
}

// isCommon reports whether so many of the latest requests have a part that it is in most crashes by chance.
func (h *partHistory) isCommon(part uint64) bool {
	if len(h.arrivals) < minArrivals {
		return false
	}
	having := 0
	for _, parts := range h.arrivals {
		if slices.Contains(parts, part) {
			having++
		}
	}
	return float64(having) >= commonShare*float64(len(h.arrivals))
}

// hashRequestID returns the hash by which copies of one report are told from other requests.
func hashRequestID(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// addRequests adds the requests of a run to those known of the same upstream, and reports whether that changed
// anything.
func (r *record) addRequests(run CrashedRun) (changed bool) {
	i := slices.IndexFunc(r.runs, func(known CrashedRun) bool { return known.Upstream == run.Upstream })
	if i < 0 {
		return false
	}
	for _, request := range run.Requests {
		known := r.runs[i].Requests
		if len(known) < maxRunRequests && !slices.Contains(known, request) {
			r.runs[i].Requests = append(slices.Clip(known), request)
			changed = true
		}
	}
	return changed
}

// isAmbiguous reports whether the crashes of a part don't tell yet that it is the cause: it is common, or another
// part ran at the same ones.
//
// Where nobody has seen answers yet, some sound part is at the first three crashes by chance. The bad one is
// at each of them, so that one or two more tell them apart. A part of which the last crash isn't known
// here yet counts as well: its report may be on its way.
func (t *Table) isAmbiguous(now time.Time, r *record) bool {
	if r.Part == "" {
		return false
	}
	return r.commonAtCrashes(t.tieEnds()) || len(r.runs) < t.tieEnds() && t.hasRival(now, r)
}

// tieEnds is the number of crashes from which on a part is put in quarantine though another one ran at the same.
func (t *Table) tieEnds() int { return t.settings.CrashThreshold + maxAmbiguousCrashes }

// hasRival reports whether another suspected part ran at all crashes of a part but one at most.
func (t *Table) hasRival(now time.Time, r *record) bool {
	for _, other := range t.records {
		if other != r && t.status(now, other) != Unsuspected && r.isRivalled(other) {
			return true
		}
	}
	return false
}

// isRivalled reports whether another part ran at all crashes of a part but one at most.
func (r *record) isRivalled(other *record) bool {
	if r.Part == "" || other.Part == "" {
		return false
	}
	shared := 0
	for _, run := range r.runs {
		if other.crashedDuring(run.Upstream) {
			shared++
		}
	}
	return shared >= len(r.runs)-1
}

// isTied reports whether nothing tells a part that is put in quarantine from another one. Both are put in
// quarantine then: if the bad one weren't, it would go on crashing upstreams.
func (t *Table) isTied(cause, other *record) bool {
	return len(cause.runs) >= t.tieEnds() && cause.isRivalled(other)
}

// reassessTied decides on the parts that are tied with one that was put in quarantine.
func (t *Table) reassessTied(now time.Time, cause *record) {
	var tied []*record
	for _, r := range t.records {
		if r != cause && t.isTied(cause, r) && t.isQuarantineDue(now, r) {
			tied = append(tied, r)
		}
	}
	sortByKey(tied)
	for _, r := range tied {
		t.reassess(now, r)
	}
}

// sortByKey brings records into a defined order, so that versions are assigned reproducibly.
func sortByKey(list []*record) {
	slices.SortFunc(list, func(a, b *record) int { return slices.Compare(a.Key[:], b.Key[:]) })
}

// commonAtCrashes reports whether at half of the crashes, and at two at least, several requests with the part ran
// side by side; at two thirds of them once there are as many as end a tie.
//
// One request with a bad part is enough for a crash, and rarely do two run at the same upstream; a part that many
// requests have is at most crashes several times. It tells them apart where nobody has seen answers yet, as
// after a restart of all entries.
func (r *record) commonAtCrashes(tieEnds int) bool {
	several := 0
	for _, run := range r.runs {
		if len(run.Requests) > 1 {
			several++
		}
	}
	if len(r.runs) >= tieEnds {
		return 3*several >= 2*len(r.runs)
	}
	return several > 1 && 2*several >= len(r.runs)
}
