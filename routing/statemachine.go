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
	// superseded is the version of a configuration that was committed after current and not decoded; 0 if
	// there is none.
	superseded uint64
}

// Apply applies a committed configuration. It returns true if the configuration is now
// in force, or false if its version is not above the current one.
func (m *Machine) Apply(c *wire.RoutingConfig) bool {
	if c.Version <= m.Version() {
		return false
	}
	m.current, m.superseded = c, 0
	return true
}

// Supersede records a committed configuration that isn't decoded, since one with a higher version
// follows, which the caller applies before it uses the machine for anything else. It returns what
// Apply would return.
func (m *Machine) Supersede(version uint64) bool {
	if version <= m.Version() {
		return false
	}
	m.superseded = version
	return true
}

// Version returns the version of the configuration in force, or the higher one of a superseded configuration.
func (m *Machine) Version() uint64 { return max(m.current.GetVersion(), m.superseded) }

// Current returns the configuration in force, or nil if there is none yet.
func (m *Machine) Current() *wire.RoutingConfig { return m.current }

// Restore replaces the state by that of a snapshot.
func (m *Machine) Restore(c *wire.RoutingConfig) { m.current, m.superseded = c, 0 }
