package table

import (
	"maps"
	"slices"

	"github.com/snipereach/snipereach/wire"
)

// WithChanges returns the view with some rows changed or deleted; of several rows with the same kind and key
// the last one counts. v doesn't change, since requests in progress read it; it shares the maps of
// unchanged kinds with the new view.
func (v *View) WithChanges(revision uint64, rows []*wire.Row) (*View, error) {
	last := map[rowID]*wire.Row{}
	for _, r := range rows {
		last[rowID{r.Kind, r.Key}] = r
	}
	next := *v
	next.Revision = revision
	next.cloneChanged(last)
	// All old values are removed before new ones are added: if an edit moves a bearer key from one team
	// to another, removing the old row later would remove the key of the new one.
	for id := range last {
		next.remove(id)
	}
	for _, r := range last {
		if err := next.checkAndAdd(r); err != nil {
			return nil, err
		}
	}
	if err := next.checkChanged(last); err != nil {
		return nil, err
	}
	return &next, nil
}

// cloneChanged clones the maps that the changed rows affect.
func (v *View) cloneChanged(changed map[rowID]*wire.Row) {
	touched := map[string]bool{}
	for id := range changed {
		touched[id.kind] = true
	}
	if touched[KindTeam] {
		v.Teams, v.byKey = maps.Clone(v.Teams), maps.Clone(v.byKey)
	}
	if touched[KindService] {
		v.Services, v.byModel = maps.Clone(v.Services), maps.Clone(v.byModel)
	}
	if touched[KindPool] {
		v.Pools = maps.Clone(v.Pools)
	}
	if touched[KindGroup] {
		v.Groups = maps.Clone(v.Groups)
	}
	if touched[KindLimit] {
		v.limits = maps.Clone(v.limits)
	}
	if touched[KindEvacuation] {
		v.Evacuated = maps.Clone(v.Evacuated)
	}
	if touched[KindWeight] {
		v.weights = maps.Clone(v.weights)
	}
}

func (v *View) remove(id rowID) {
	switch id.kind {
	case KindTeam:
		v.removeTeam(id.key)
	case KindService:
		v.removeService(id.key)
	case KindPool:
		delete(v.Pools, id.key)
	case KindGroup:
		delete(v.Groups, id.key)
	case KindLimit:
		delete(v.limits, id.key)
	case KindEvacuation:
		delete(v.Evacuated, id.key)
	case KindWeight:
		delete(v.weights, id.key)
	}
}

func (v *View) removeTeam(name string) {
	t := v.Teams[name]
	if t == nil {
		return
	}
	for _, d := range t.KeyDigests {
		if v.byKey[d] == t {
			delete(v.byKey, d)
		}
	}
	delete(v.Teams, name)
}

func (v *View) removeService(name string) {
	s := v.Services[name]
	if s == nil {
		return
	}
	for _, m := range s.Models {
		if v.byModel[m] == s {
			delete(v.byModel, m)
		}
	}
	delete(v.Services, name)
}

// checkChanged checks the references of the changed rows. If a row was deleted that others may refer
// to, it checks the references of all rows.
func (v *View) checkChanged(changed map[rowID]*wire.Row) error {
	for id, r := range changed {
		if r.Deleted && slices.Contains([]string{KindTeam, KindService, KindPool}, id.kind) {
			return v.checkReferences()
		}
	}
	for id := range changed {
		if err := v.checkRow(id); err != nil {
			return err
		}
	}
	return nil
}

func (v *View) checkRow(id rowID) error {
	if s := v.Services[id.key]; id.kind == KindService && s != nil {
		return v.checkPool(s.Source, s.Pool)
	}
	if g := v.Groups[id.key]; id.kind == KindGroup && g != nil {
		return v.checkPool(g.Source, g.Pool)
	}
	if l := v.limits[id.key]; id.kind == KindLimit && l != nil {
		return v.checkPair(l.Source, id.key)
	}
	if w := v.weights[id.key]; id.kind == KindWeight && w != nil {
		return v.checkPair(w.Source, id.key)
	}
	return nil
}
