package routing

import "github.com/snipereach/snipereach/wire"

// Machine holds the configuration in force as a state machine on the replicated
// log. Configurations that it returns are immutable.
//
// Invariant: the version only grows. A lower or equal one, from a second
// operator or sent again, changes nothing; otherwise a late copy of an old
// order would undo a newer one.
type Machine struct {
	current *wire.RoutingConfig
}

// Apply takes a committed configuration; it returns whether that is in force now
// because of this command.
func (m *Machine) Apply(c *wire.RoutingConfig) bool {
	if c.Version <= m.current.GetVersion() {
		return false
	}
	m.current = c
	return true
}

// Current returns the configuration in force, or nil before the first.
func (m *Machine) Current() *wire.RoutingConfig { return m.current }

// Restore replaces the state by a snapshot's.
func (m *Machine) Restore(c *wire.RoutingConfig) { m.current = c }
