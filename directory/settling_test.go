package directory

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/wire"
)

const (
	// namedLimit is how long an instance that has stopped may be named: the contact window and 3 s.
	namedLimit = 6 * time.Second
	// updatePeriod is how often the directories of restartedReplicas send updates.
	updatePeriod = 200 * time.Millisecond
)

// follow is a watch of one directory by another.
type follow struct {
	from, to *State
	view     *View
	source   *Source
}

// restartedReplicas are three replicas that start together, and a gateway that follows all of them and
// knows instances from before.
type restartedReplicas struct {
	now      time.Time
	replicas []*State
	gateway  *State
	follows  []*follow
}

func newRestartedReplicas(known ...*wire.Announcement) *restartedReplicas {
	r := &restartedReplicas{now: testStart}
	replicaSettings, gatewaySettings := DefaultSettings(), DefaultSettings()
	replicaSettings.ProbeTimeout, gatewaySettings.ProbeTimeout = 0, 0
	r.gateway = New(gatewaySettings, r.now.Add(-time.Minute), 0)
	before := &Source{FullCopy: true}
	entries := make([]*wire.DirectoryEntry, len(known))
	for i, a := range known {
		entries[i] = &wire.DirectoryEntry{Announcement: a}
	}
	r.gateway.Apply(r.now.Add(-time.Second), before, &wire.DirectoryUpdate{Entries: entries, Synced: true})
	for range 3 {
		r.replicas = append(r.replicas, New(replicaSettings, r.now, 0))
	}
	for i, from := range r.replicas {
		r.follows = append(r.follows, &follow{from, r.gateway, &View{}, &Source{FullCopy: true}})
		for j, to := range r.replicas {
			if i != j {
				r.follows = append(r.follows, &follow{from, to, &View{LocalOnly: true}, &Source{}})
			}
		}
	}
	return r
}

// step advances the time by updatePeriod.
func (r *restartedReplicas) step() {
	r.now = r.now.Add(updatePeriod)
	for _, s := range append([]*State{r.gateway}, r.replicas...) {
		s.Tick(r.now)
	}
	for _, f := range r.follows {
		u, _ := f.from.Update(r.now, f.view)
		f.to.Apply(r.now, f.source, u)
	}
}

// announce announces an instance to the first two replicas.
func (r *restartedReplicas) announce(a *wire.Announcement) {
	for _, s := range r.replicas[:2] {
		s.Announce(r.now, a, 0, true)
	}
}

// After a restart of all replicas, one that an entry doesn't announce to named it until it had settled,
// 10 s after its start, although the entry had stopped and the others no longer named it.
func TestStoppedEntryIsNotNamedBySettlingReplica(t *testing.T) {
	r := newRestartedReplicas()
	stopped := testStart.Add(2 * time.Second)
	for seq := uint64(1); r.now.Before(testStart.Add(20 * time.Second)); seq++ {
		if r.now.Before(stopped) {
			entry := upAnnouncement("f", 1, seq)
			entry.Role = wire.Role_ROLE_ENTRY
			r.announce(entry)
		}
		r.step()
		named := false
		for _, s := range append([]*State{r.gateway}, r.replicas...) {
			named = named || len(s.Instances(wire.Role_ROLE_ENTRY)) > 0
		}
		if r.now.Before(stopped) && r.now.After(testStart.Add(time.Second)) {
			assert.Assert(t, named, "it isn't named while it runs")
		}
		assert.Assert(t, !named || r.now.Sub(stopped) <= namedLimit, "still named %v after it stopped", r.now.Sub(stopped))
	}
}

// A gateway must not drop an upstream that runs and has not registered again yet after a restart of all
// replicas, nor one whose replica it can't reach any more.
func TestRunningUpstreamIsKeptWhileReplicasSettle(t *testing.T) {
	running := upAnnouncement("u", 1, 7)
	r := newRestartedReplicas(running)
	for r.now.Before(testStart.Add(DefaultSettings().SettleTime - time.Second)) {
		r.step()
		assert.Assert(t, r.gateway.Get("u").Up(), "dropped at %v", r.now.Sub(testStart))
	}
}

// An upstream that moves its announcements from one replica to another is withdrawn by the first, and
// must stay up everywhere.
func TestUpstreamThatChangesReplicasIsKeptWhileTheySettle(t *testing.T) {
	r := newRestartedReplicas()
	for seq := uint64(1); r.now.Before(testStart.Add(15 * time.Second)); seq++ {
		replica := 0
		if r.now.After(testStart.Add(3 * time.Second)) {
			replica = 2
		}
		r.replicas[replica].Announce(r.now, upAnnouncement("u", 1, seq), 0, true)
		r.step()
		if r.now.After(testStart.Add(time.Second)) {
			for _, s := range append([]*State{r.gateway}, r.replicas...) {
				assert.Assert(t, s.Get("u") != nil && s.Get("u").Up(), "dropped at %v", r.now.Sub(testStart))
			}
		}
	}
}
