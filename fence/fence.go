// Package fence grants leases with fencing tokens. It is a state machine on the replicated
// log: every replica applies the same grants in the same order.
//
// A token is the log index of its grant, so tokens only increase. An agent that executes
// orders keeps the highest token it has seen and rejects lower ones (Kleppmann: Designing
// Data-Intensive Applications, 8.4), so that a delayed order of an earlier lease holder has
// no effect.
package fence

import (
	"sort"

	"github.com/snipereach/snipereach/wire"
)

// Machine holds the lease of each group. It is not safe for concurrent use.
type Machine struct {
	leases map[string]*wire.Lease
}

func NewMachine() *Machine { return &Machine{leases: map[string]*wire.Lease{}} }

// Apply grants a lease if the token that it replaces is still the current one. It returns
// the lease in force afterwards.
func (m *Machine) Apply(index uint64, g *wire.LeaseGrant) *wire.Lease {
	if m.Token(g.Group) != g.Replaces {
		return m.Get(g.Group)
	}
	l := &wire.Lease{Group: g.Group, Holder: g.Holder, Token: index}
	m.leases[g.Group] = l
	return l
}

// Get returns a group's lease; its token is 0 if none was ever granted.
func (m *Machine) Get(group string) *wire.Lease {
	if l := m.leases[group]; l != nil {
		return l
	}
	return &wire.Lease{Group: group}
}

// Token returns a group's current fencing token, or 0 if none was ever granted.
func (m *Machine) Token(group string) uint64 { return m.Get(group).Token }

// Snapshot returns the whole state, ordered by group.
func (m *Machine) Snapshot() *wire.FenceSnapshot {
	s := &wire.FenceSnapshot{}
	for _, l := range m.leases {
		s.Leases = append(s.Leases, l)
	}
	sort.Slice(s.Leases, func(i, j int) bool { return s.Leases[i].Group < s.Leases[j].Group })
	return s
}

// Restore replaces the whole state.
func (m *Machine) Restore(s *wire.FenceSnapshot) {
	m.leases = map[string]*wire.Lease{}
	for _, l := range s.GetLeases() {
		m.leases[l.Group] = l
	}
}

// Guard keeps the highest fencing token that an agent has seen for each group. After a
// restart it knows no token, and admits no order for a group until Learn has been called.
type Guard struct {
	highest map[string]uint64
	known   map[string]bool
}

// NewGuard returns a Guard that admits nothing yet.
func NewGuard() *Guard {
	return &Guard{highest: map[string]uint64{}, known: map[string]bool{}}
}

// Learn records a token that a quorum has confirmed as the current one.
func (g *Guard) Learn(group string, token uint64) {
	g.known[group] = true
	g.highest[group] = max(g.highest[group], token)
}

// Known reports whether Learn has been called for a group.
func (g *Guard) Known(group string) bool { return g.known[group] }

// Admit reports whether an order may be executed, and records its token. It returns false
// for a token below the highest seen, and for any token before Learn: after a restart an
// outdated order can't be told from a current one.
func (g *Guard) Admit(group string, token uint64) bool {
	if !g.known[group] || token < g.highest[group] || token == 0 {
		return false
	}
	g.highest[group] = token
	return true
}

// Highest returns the highest token seen for a group.
func (g *Guard) Highest(group string) uint64 { return g.highest[group] }
