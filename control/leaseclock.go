package control

import "time"

// leaseClock holds the times that a leader keeps: when its leadership began, when it
// last heard from each member, and when each group's lease expires. It isn't
// persisted: a new leader starts with an empty one and assumes that every lease was
// renewed just before its leadership began.
type leaseClock struct {
	leading   bool
	since     time.Time
	lastHeard map[string]time.Time
	// ended holds the IDs of replicas that another process has replaced at their address.
	ended   map[string]bool
	expires map[string]time.Time
}

// follow resets the state when this replica becomes the leader.
func (c *leaseClock) follow(leads bool, now time.Time) {
	if leads && !c.leading {
		c.since = now
		c.lastHeard = map[string]time.Time{}
		c.ended = map[string]bool{}
		c.expires = map[string]time.Time{}
	}
	c.leading = leads
}

func (c *leaseClock) heard(id string, now time.Time) {
	if c.lastHeard != nil {
		c.lastHeard[id] = now
	}
}

// end records that a replica has terminated for good, so that silentFor needn't wait.
func (c *leaseClock) end(id string) {
	if c.ended != nil {
		c.ended[id] = true
	}
}

// silentFor reports whether a replica has terminated or has not been heard from for d,
// counted from the start of the leadership if it was never heard from.
func (c *leaseClock) silentFor(id string, now time.Time, d time.Duration) bool {
	if c.ended[id] {
		return true
	}
	last, ok := c.lastHeard[id]
	if !ok {
		last = c.since
	}
	return now.Sub(last) >= d
}

// over reports whether a group's lease has expired by this leader's clock. A lease
// that this leader hasn't renewed counts until maxLease after its leadership began,
// because the previous leader may have renewed it just before.
func (c *leaseClock) over(group string, now time.Time) bool {
	end, ok := c.expires[group]
	if !ok {
		end = c.since.Add(maxLease)
	}
	return !now.Before(end)
}

func (c *leaseClock) renew(group string, now time.Time, ttl time.Duration) {
	c.expires[group] = now.Add(ttl)
}
