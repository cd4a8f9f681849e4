package table

import (
	"slices"
	"strings"

	"github.com/snipereach/snipereach/wire"
)

// references returns the rows that must exist for a row to be valid.
func references(r *wire.Row) []rowID {
	switch r.Kind {
	case KindService, KindGroup:
		return []rowID{{KindPool, r.Columns["pool"]}}
	case KindLimit, KindWeight:
		team, service, _ := strings.Cut(r.Key, "/")
		refs := []rowID{{KindTeam, team}}
		if service != "*" {
			refs = append(refs, rowID{KindService, service})
		}
		return refs
	}
	return nil
}

// uniqueValues returns the values of a row that no other row may have: bearer keys and names of models.
func uniqueValues(r *wire.Row) []string {
	var values []string
	switch {
	case r.Kind == KindTeam:
		for _, h := range strings.Split(r.Columns["key_sha256"], ",") {
			values = append(values, "key "+strings.ToLower(strings.TrimSpace(h)))
		}
	case r.Kind == KindService && r.Columns["kind"] == "engine":
		models := r.Columns["models"]
		if models == "" {
			models = r.Key
		}
		for _, name := range strings.Split(models, ",") {
			values = append(values, "model "+strings.TrimSpace(name))
		}
	}
	return values
}

// checkReferences checks the rows as they would be after the whole edit, so that one edit can add both
// a pool and a service that refers to it.
func (m *Machine) checkReferences(next []*wire.Row) *wire.EditReply {
	after := map[rowID]*wire.Row{}
	for _, r := range next {
		after[rowID{r.Kind, r.Key}] = r
	}
	exists := func(id rowID) bool {
		if r, ok := after[id]; ok {
			return !r.Deleted
		}
		old := m.rows[id]
		return old != nil && !old.Deleted
	}
	removed := map[rowID]int{}
	for _, r := range next {
		if old := m.rows[rowID{r.Kind, r.Key}]; old != nil && !old.Deleted {
			for _, ref := range references(old) {
				removed[ref]++
			}
		}
	}
	taken := map[string]rowID{}
	for _, r := range next {
		id := rowID{r.Kind, r.Key}
		if r.Deleted {
			if m.referenced[id]-removed[id] > 0 {
				return invalid(id.String(), "", "other rows refer to it")
			}
			continue
		}
		if reply := m.checkRow(r, exists, after, taken); reply != nil {
			return reply
		}
	}
	return nil
}

func (m *Machine) checkRow(r *wire.Row, exists func(rowID) bool, after map[rowID]*wire.Row, taken map[string]rowID) *wire.EditReply {
	id := rowID{r.Kind, r.Key}
	for _, ref := range references(r) {
		if !exists(ref) {
			return invalid(id.String(), ref.kind, "no "+ref.String())
		}
	}
	for _, v := range uniqueValues(r) {
		holder, ok := taken[v]
		if !ok {
			holder, ok = m.unique[v]
			if _, changing := after[holder]; ok && changing && holder != id {
				ok = slices.Contains(uniqueValues(after[holder]), v) && !after[holder].Deleted
			}
		}
		if ok && holder != id {
			return invalid(id.String(), "", "the same "+strings.Fields(v)[0]+" is in "+holder.String())
		}
		taken[v] = id
	}
	return nil
}

func (m *Machine) updateIndexes(r *wire.Row, by int) {
	if r.Deleted {
		return
	}
	id := rowID{r.Kind, r.Key}
	for _, ref := range references(r) {
		m.referenced[ref] += by
	}
	for _, v := range uniqueValues(r) {
		if by > 0 {
			m.unique[v] = id
		} else if m.unique[v] == id {
			delete(m.unique, v)
		}
	}
}
