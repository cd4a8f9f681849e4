package admit

import "time"

// Fleet is the ring of entries on the log.
type Fleet struct {
	Members []string
	// Previous are the members before the last change.
	Previous []string
	// Unchanged is for how long the ring is known to have been the same, MostOnce
	// the time in which it changes once at most.
	Unchanged, MostOnce time.Duration
}

// ring is what a home knows of the entries on the log: who is in the ring, and how
// many of them have not yet told this home what they have in progress. The numbers
// are kept: while one entry is silent, each question would look for it among all.
type ring struct {
	Fleet
	members, previous map[string]bool
	// silent counts members that have not told, silentBefore those of the ring before.
	silent, silentBefore int
	// settledFor is the longest hold that this home was found settled for.
	settledFor time.Duration
}

func (r *ring) has(entry string) bool { return r.members[entry] }

// tell notes that an entry has told for the first time.
func (r *ring) tell(entry string) {
	if r.members[entry] {
		r.silent--
	}
	if r.previous[entry] {
		r.silentBefore--
	}
}

// SetFleet tells which entries the ring on the log has, when that has changed.
func (h *Home) SetFleet(f Fleet) {
	r := &h.ring
	r.Fleet = f
	r.members, r.silent = h.silentOf(f.Members)
	r.previous, r.silentBefore = h.silentOf(f.Previous)
}

// SetUnchanged tells for how long the ring has been the same since.
func (h *Home) SetUnchanged(d time.Duration) { h.ring.Unchanged = d }

func (h *Home) silentOf(entries []string) (set map[string]bool, silent int) {
	set = make(map[string]bool, len(entries))
	for _, id := range entries {
		if set[id] {
			continue
		}
		set[id] = true
		if !h.lives[id].told {
			silent++
		}
	}
	return set, silent
}

// settled says whether this home knows of all requests that were admitted under
// another home's grants: every entry of the ring has told, or they have ended. An
// entry that left the ring lately may still run some.
func (h *Home) settled(now time.Time, hold time.Duration) bool {
	r := &h.ring
	counted := time.Duration(float64(hold) * clockRatio)
	if h.skipWait || !now.Before(h.open.Add(counted)) || hold <= r.settledFor {
		return true
	}
	if len(r.members) == 0 || r.silent > 0 {
		return false
	}
	if r.Unchanged < counted && (counted > r.MostOnce || r.silentBefore > 0) {
		return false
	}
	r.settledFor = hold
	return true
}
