package table

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/snipereach/snipereach/wire"
)

// A view built from changes must equal the full build of the same rows, and earlier views must not
// change. Otherwise a team's old key could stay valid, or a new limit not apply, until a restart.
func TestViewFromChangesEqualsFullBuild(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := NewFollower()
		assert.NilError(t, f.SetFloor("c", uint64(rapid.IntRange(0, 3).Draw(t, "floor"))))
		var views, full []*View
		for rev := uint64(1); rev <= 20; rev++ {
			u := &wire.TableUpdate{Cluster: "c", Revision: rev, Rows: initialRows(rev)}
			if rev > 1 {
				u.Rows, u.Snapshot = nil, rapid.IntRange(0, 9).Draw(t, "snapshot") == 0
				for range rapid.IntRange(0, 4).Draw(t, "rows") {
					u.Rows = append(u.Rows, randomRow(t, rev))
				}
			}
			if hasDuplicate(f, u) {
				// Machine refuses edits that lead to this.
				continue
			}
			got, err := f.Apply(now, u)
			want, wantErr := NewView(rev, f.rowList())
			if rev < f.floor {
				assert.Assert(t, got == nil && err == nil)
				continue
			}
			assert.Equal(t, err == nil, wantErr == nil, "%v, not %v", err, wantErr)
			if err == nil {
				views, full = append(views, got), append(full, want)
			}
		}
		for i := range views {
			assertSameView(t, views[i], full[i])
		}
	})
}

// initialRows returns three teams, services and pools.
func initialRows(rev uint64) (rows []*wire.Row) {
	for i := range 3 {
		rows = append(rows,
			teamRow(fmt.Sprint("team", i), fmt.Sprint("key", i), rev),
			serviceRow(fmt.Sprint("service", i), "pool0", fmt.Sprint("model", i), rev),
			&wire.Row{Kind: KindPool, Key: fmt.Sprint("pool", i), Revision: rev})
	}
	return rows
}

func teamRow(name, key string, rev uint64) *wire.Row {
	digest := sha256.Sum256([]byte(key))
	return &wire.Row{Kind: KindTeam, Key: name, Revision: rev, Columns: map[string]string{"key_sha256": hex.EncodeToString(digest[:])}}
}

func serviceRow(name, pool, model string, rev uint64) *wire.Row {
	return &wire.Row{Kind: KindService, Key: name, Revision: rev, Columns: map[string]string{"kind": "engine", "pool": pool, "models": model}}
}

// hasDuplicate reports whether a key or model would be in two rows after an update.
func hasDuplicate(f *Follower, u *wire.TableUpdate) bool {
	after := map[rowID]*wire.Row{}
	if !u.Snapshot {
		after = maps.Clone(f.rows)
	}
	for _, r := range u.Rows {
		after[rowID{r.Kind, r.Key}] = r
	}
	seen := map[string]bool{}
	for _, r := range after {
		if r.Deleted {
			continue
		}
		for _, v := range uniqueValues(r) {
			if seen[v] {
				return true
			}
			seen[v] = true
		}
	}
	return false
}

func randomRow(t *rapid.T, rev uint64) *wire.Row {
	name := func(prefix string) string { return prefix + fmt.Sprint(rapid.IntRange(0, 2).Draw(t, prefix)) }
	r := &wire.Row{Kind: rapid.SampledFrom(Kinds()).Draw(t, "kind"), Columns: map[string]string{}}
	switch r.Kind {
	case KindTeam:
		r = teamRow(name("team"), "key"+fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "key")), rev)
	case KindService:
		r = serviceRow(name("service"), name("pool"), "model"+fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "model")), rev)
	case KindPool:
		r.Key, r.Columns["slots"] = name("pool"), fmt.Sprint(rev)
	case KindGroup:
		r.Key, r.Columns["pool"] = name("group"), name("pool")
		r.Columns["ranks"], r.Columns["experts"], r.Columns["layers"] = "2", "8", fmt.Sprint(rev)
	case KindLimit:
		r.Key, r.Columns["concurrent"] = name("team")+"/"+rapid.SampledFrom([]string{"*", "service0"}).Draw(t, "service"), fmt.Sprint(rev)
	case KindWeight:
		r.Key, r.Columns["weight"] = name("team")+"/*", fmt.Sprint(rev)
	}
	r.Revision, r.Version = rev, rev
	// Deletions are rare, so that the references of most sets of rows are valid.
	r.Deleted = rapid.IntRange(0, 9).Draw(t, "deleted") == 0
	return r
}

func assertSameView(t *rapid.T, got, want *View) {
	assert.Equal(t, got.Revision, want.Revision)
	assert.DeepEqual(t, got.Teams, want.Teams)
	assert.DeepEqual(t, got.Services, want.Services)
	assert.DeepEqual(t, got.Pools, want.Pools)
	assert.DeepEqual(t, got.Groups, want.Groups)
	assert.DeepEqual(t, got.limits, want.limits)
	assert.DeepEqual(t, got.weights, want.weights)
	assert.DeepEqual(t, got.byKey, want.byKey)
	assert.DeepEqual(t, got.byModel, want.byModel)
	for _, team := range got.byKey {
		assert.Assert(t, got.Teams[team.Name] == team)
	}
	for _, s := range got.byModel {
		assert.Assert(t, got.Services[s.Name] == s)
	}
}
