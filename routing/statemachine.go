package routing

import "github.com/snipereach/snipereach/wire"

// Machine is the replicated state machine that holds the configuration in force. The
// configurations that it returns are immutable.
//
// Invariant: the version only increases. A configuration with a lower or equal version,
// from another operator or a retry, is ignored, so that a delayed duplicate cannot
// undo a newer configuration.
type Machine struct {
	current *wire.RoutingConfig
}

// Apply applies a committed configuration. It returns true if the configuration is now
// in force, or false if its version is not above the current one.
func (m *Machine) Apply(c *wire.RoutingConfig) bool {
	if c.Version <= m.current.GetVersion() {
		return false
	}
	m.current = c
	return true
}

// Current returns the configuration in force, or nil if there is none yet.
func (m *Machine) Current() *wire.RoutingConfig { return m.current }

// Restore replaces the state by that of a snapshot.
func (m *Machine) Restore(c *wire.RoutingConfig) { m.current = c }
