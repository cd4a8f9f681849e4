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
