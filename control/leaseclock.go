package control

import "time"

// leaseClock is what a leader knows of time: when it began to lead, when each
// member was last heard, and when each group's lease ends. It is soft state;
// a new leader starts it afresh and assumes that every lease was renewed in the
// last moment before.
type leaseClock struct {
	leading bool
	since   time.Time
	last    map[string]time.Time
	// ended are replicas that another process has replaced at their address.
	ended   map[string]bool
	expires map[string]time.Time
}

func (c *leaseClock) follow(leads bool, now time.Time) {
	if leads && !c.leading {
		c.since = now
		c.last = map[string]time.Time{}
		c.ended = map[string]bool{}
		c.expires = map[string]time.Time{}
	}
	c.leading = leads
}

func (c *leaseClock) heard(id string, now time.Time) {
	if c.last != nil {
		c.last[id] = now
	}
}

// end notes that a replica has ended for good, without a wait for its silence.
func (c *leaseClock) end(id string) {
	if c.ended != nil {
		c.ended[id] = true
	}
}

func (c *leaseClock) silentFor(id string, now time.Time, d time.Duration) bool {
	if c.ended[id] {
		return true
	}
	last, ok := c.last[id]
	if !ok {
		last = c.since
	}
	return now.Sub(last) >= d
}

// over says whether a group's lease has ended by this leader's clock. Before a
// leader has led for the longest lease, a lease that another leader renewed may
// still run.
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
