package control

import "time"

// leadershipTimes holds the times that a leader keeps: when its leadership began, when it
// last heard from each member, and when each group's lease expires. It isn't
// persisted: a new leader starts with an empty one and assumes that every lease was
// renewed just before its leadership began.
type leadershipTimes struct {
	leading      bool
	leadingSince time.Time
	lastContact  map[string]time.Time
	// leaving holds the last announcement of each replica that is about to stop.
	leaving map[string]leaveMark
	expires map[string]time.Time
}

// updateLeadership resets the state when this replica becomes the leader.
func (c *leadershipTimes) updateLeadership(leads bool, now time.Time) {
	if leads && !c.leading {
		c.leadingSince = now
		c.lastContact = map[string]time.Time{}
		c.leaving = map[string]leaveMark{}
		c.expires = map[string]time.Time{}
	}
	c.leading = leads
}

func (c *leadershipTimes) recordContact(id string, now time.Time) {
	if c.lastContact != nil {
		c.lastContact[id] = now
	}
}

// leavingTimeout is how long an announcement of a planned stop counts. The replica repeats it
// every leaveInterval.
const leavingTimeout = time.Second

// leaveMark is when a process of a replica, by its boot ID, announced that it is about to stop.
type leaveMark struct {
	at   time.Time
	boot uint32
}

func (c *leadershipTimes) markLeaving(id string, boot uint32, now time.Time) {
	if c.leaving != nil {
		c.leaving[id] = leaveMark{at: now, boot: boot}
	}
}

// isLeaving reports whether the process with a boot ID is about to stop. A process of the replica
// that was started since is not.
func (c *leadershipTimes) isLeaving(id string, boot uint32, now time.Time) bool {
	mark, ok := c.leaving[id]
	return ok && mark.boot == boot && now.Sub(mark.at) < leavingTimeout
}

// silentFor reports whether a replica has not been heard from for d, counted from the start of the leadership if it was never heard from.
func (c *leadershipTimes) silentFor(id string, now time.Time, d time.Duration) bool {
	last, ok := c.lastContact[id]
	if !ok {
		last = c.leadingSince
	}
	return now.Sub(last) >= d
}

// expired reports whether a group's lease has expired by this leader's clock. A lease
// that this leader hasn't renewed counts until maxLease after its leadership began,
// because the previous leader may have renewed it just before.
func (c *leadershipTimes) expired(group string, now time.Time) bool {
	end, ok := c.expires[group]
	if !ok {
		end = c.leadingSince.Add(maxLease)
	}
	return !now.Before(end)
}

func (c *leadershipTimes) renew(group string, now time.Time, ttl time.Duration) {
	c.expires[group] = now.Add(ttl)
}
