package directory

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/wire"
)

// peerUpdate is an empty update of another replica.
func peerUpdate(s *State, settling bool) {
	s.Apply(testStart, &Source{}, &wire.DirectoryUpdate{Settling: settling, Synced: true})
}

func savedUpstream(id, address string) *wire.Announcement {
	a := upAnnouncement(id, 1, 7)
	a.Address, a.Direct = address, &wire.DirectUpstream{Slots: 6}
	return a
}

// Guards against requests that all go to the few upstreams that have registered again after the loss of
// all replicas, or find none.
func TestSavedRegistrationsAreRestoredIfAllReplicasRestart(t *testing.T) {
	s := New(DefaultSettings(), testStart, 0)
	s.OfferSaved([]*wire.Announcement{savedUpstream("a", "10.0.0.1:80"), savedUpstream("b", "10.0.0.2:80")}, 4)
	peerUpdate(s, true)
	assert.Equal(t, len(s.Tick(testStart)), 0, "too few replicas are connected to tell")
	peerUpdate(s, true)
	assert.Equal(t, len(s.Tick(testStart)), 2)
	assert.Assert(t, s.Get("a").Up() && s.Get("b").Up())

	next := savedUpstream("a", "10.0.0.1:80")
	next.Seq = 8
	s.Announce(testStart.Add(2*time.Second), next, 0, true)
	later := testStart.Add(DefaultSettings().DefaultLease + time.Second)
	s.Tick(later)
	assert.Assert(t, s.Get("a").Up(), "it has registered again")
	assert.Equal(t, s.Get("b").Phase, wire.Phase_PHASE_GONE, "it hasn't")
}

// Guards against upstreams that ended while one replica was down, and that it brings back at all entries.
func TestSavedRegistrationsAreNotRestoredIfAReplicaKeptRunning(t *testing.T) {
	s := New(DefaultSettings(), testStart, 0)
	s.OfferSaved([]*wire.Announcement{savedUpstream("a", "10.0.0.1:80")}, 4)
	peerUpdate(s, true)
	peerUpdate(s, false)
	assert.Equal(t, len(s.Tick(testStart)), 0)
	peerUpdate(s, true)
	assert.Equal(t, len(s.Tick(testStart)), 0, "they are dropped for good")
}

// Guards against a saved upstream beside the one that has taken its address, and against an older state
// of one that has registered already.
func TestSavedRegistrationsYieldToNewerOnes(t *testing.T) {
	s := New(DefaultSettings(), testStart, 0)
	leaving := savedUpstream("b", "10.0.0.2:80")
	leaving.Phase, leaving.Seq = wire.Phase_PHASE_LEAVING, 8
	s.Announce(testStart, leaving, 0, true)
	s.Announce(testStart, savedUpstream("new", "10.0.0.1:80"), 0, true)
	s.OfferSaved([]*wire.Announcement{savedUpstream("a", "10.0.0.1:80"), savedUpstream("b", "10.0.0.2:80")}, 0)
	s.Tick(testStart)
	assert.Assert(t, s.Get("a") == nil)
	assert.Equal(t, s.Get("b").Phase, wire.Phase_PHASE_LEAVING)
}
