// Package evacuation holds which failure domains are evacuated: no new request is sent to
// their upstreams, while those that run there are completed. Orders are rows of the
// replicated table. Replicas pass their state on to gateways, which adopt the latest.
package evacuation

import (
	"slices"
	"sync"

	"github.com/snipereach/snipereach/table"
	"github.com/snipereach/snipereach/wire"
)

// columnEvacuated is the column that says whether the domain of a row is evacuated.
const columnEvacuated = "evacuated"

// State is the set of evacuated failure domains at a revision of the table. It is immutable.
type State struct {
	// Revision is that of the last order; 0 if there was none.
	Revision uint64
	// Domains are sorted.
	Domains []string
}

// FromTable returns the state that the rows of a table describe.
func FromTable(m *table.Machine) *State {
	s := &State{Revision: m.LatestRevision(table.KindEvacuation)}
	for _, r := range m.Rows(table.KindEvacuation) {
		if Evacuated(r) {
			s.Domains = append(s.Domains, r.Key)
		}
	}
	return s
}

// Evacuated reports whether a row evacuates its failure domain. r may be nil.
func Evacuated(r *wire.Row) bool {
	return r != nil && !r.Deleted && r.Columns[columnEvacuated] != "no"
}

// Row returns the edit of the row of a failure domain that is at the given version.
func Row(domain string, evacuate bool, version uint64) *wire.RowEdit {
	value := "no"
	if evacuate {
		value = "yes"
	}
	return &wire.RowEdit{
		Kind: table.KindEvacuation, Key: domain, BaseVersion: version, Columns: map[string]string{columnEvacuated: value},
	}
}

// Contains reports whether a failure domain is evacuated. s may be nil.
func (s *State) Contains(domain string) bool {
	if s == nil {
		return false
	}
	_, found := slices.BinarySearch(s.Domains, domain)
	return found
}

// Tracker holds the latest state that a gateway has received. It is safe for concurrent use.
//
// Invariant: the revision only increases, so that a replica that lags behind can't undo an
// order that another one has passed on.
type Tracker struct {
	mu      sync.Mutex
	current *State
}

// Adopt replaces the state by a later one and reports whether it was later.
func (t *Tracker) Adopt(s *State) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s.Revision <= t.revision() {
		return false
	}
	t.current = s
	return true
}

func (t *Tracker) revision() uint64 {
	if t.current == nil {
		return 0
	}
	return t.current.Revision
}

// Current returns the latest state, or nil before the first one.
func (t *Tracker) Current() *State {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.current
}
