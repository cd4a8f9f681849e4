package daemon

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/fake"
	"github.com/snipereach/snipereach/wire"
)

// departureProcess is a process that stores departures on a disk until its cancel is called.
type departureProcess struct {
	*departureLog
	ctx    context.Context
	cancel context.CancelFunc
}

func startDepartures(t testing.TB, disk *fake.Disk, now func() time.Time) departureProcess {
	d := newDepartureLog(disk, log.NewNopLogger(), now)
	_, err := d.load()
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go d.run(ctx)
	return departureProcess{d, ctx, cancel}
}

func departure(id string, incarnation, seq uint64, phase wire.Phase) *wire.Announcement {
	return &wire.Announcement{Id: id, Incarnation: incarnation, Seq: seq, Phase: phase, Role: wire.Role_ROLE_UPSTREAM}
}

// storedDepartures returns what a process that starts after a loss of power reads, as
// ID/INCARNATION:PHASE. keep is how much of an unsynced write is left.
func storedDepartures(t testing.TB, disk *fake.Disk, now func() time.Time, keep int) map[string]bool {
	disk.Crash(keep)
	list, err := newDepartureLog(disk, log.NewNopLogger(), now).load()
	assert.NilError(t, err)
	found := map[string]bool{}
	for _, d := range list {
		a := d.Announcement
		found[fmt.Sprintf("%s/%d:%d", a.Id, a.Incarnation, a.Phase)] = true
	}
	return found
}

// A departure that isn't synced before it is acknowledged is lost with the power, whichever part of
// the file is left.
func TestStoredDeparturesSurviveLossOfPower(t *testing.T) {
	for keep := range 40 {
		disk := fake.NewDisk()
		p := startDepartures(t, disk, time.Now)
		assert.NilError(t, p.Record(p.ctx, departure("a", 1, 5, wire.Phase_PHASE_LEAVING)))
		assert.NilError(t, p.Record(p.ctx, departure("b", 1, 5, wire.Phase_PHASE_GONE)))
		assert.NilError(t, p.Record(p.ctx, departure("a", 1, 9, wire.Phase_PHASE_GONE)))
		assert.DeepEqual(t, storedDepartures(t, disk, time.Now, keep), map[string]bool{"a/1:3": true, "b/1:3": true})
	}
}

// A late departure of an earlier incarnation must not replace that of a later one, and one that is
// known already costs no sync.
func TestStoredDeparturesAreOrderedByIncarnation(t *testing.T) {
	disk := fake.NewDisk()
	p := startDepartures(t, disk, time.Now)
	assert.NilError(t, p.Record(p.ctx, departure("a", 7, 5, wire.Phase_PHASE_GONE)))
	syncs := disk.Syncs
	assert.NilError(t, p.Record(p.ctx, departure("a", 6, 90, wire.Phase_PHASE_GONE)))
	assert.NilError(t, p.Record(p.ctx, departure("a", 7, 5, wire.Phase_PHASE_GONE)))
	assert.NilError(t, p.Record(p.ctx, departure("a", 7, 4, wire.Phase_PHASE_LEAVING)))
	assert.Equal(t, disk.Syncs, syncs)
	assert.NilError(t, p.Record(p.ctx, departure("a", 8, 1, wire.Phase_PHASE_LEAVING)))
	assert.DeepEqual(t, storedDepartures(t, disk, time.Now, 0), map[string]bool{"a/8:2": true})
}

// An upstream that was draining, took work again and drains once more has a newer sequence, which
// must be stored: the file of registrations may hold the state between.
func TestRepeatedDrainingIsStoredAgain(t *testing.T) {
	disk := fake.NewDisk()
	p := startDepartures(t, disk, time.Now)
	assert.NilError(t, p.Record(p.ctx, departure("a", 1, 5, wire.Phase_PHASE_LEAVING)))
	p.Revive("a")
	assert.NilError(t, p.Record(p.ctx, departure("a", 1, 7, wire.Phase_PHASE_LEAVING)))
	disk.Crash(0)
	list, err := newDepartureLog(disk, log.NewNopLogger(), time.Now).load()
	assert.NilError(t, err)
	assert.Equal(t, len(list), 1)
	assert.Equal(t, list[0].Announcement.Seq, uint64(7))
}

// Each upstream that registers is reported as up; only those that have left before may be kept, or the
// memory grows with all that ever registered.
func TestOnlyStoredUpstreamsAreKeptAsRevived(t *testing.T) {
	p := startDepartures(t, fake.NewDisk(), time.Now)
	for i := range 100 {
		p.Revive(fmt.Sprint("new-", i))
	}
	assert.NilError(t, p.Record(p.ctx, departure("a", 1, 5, wire.Phase_PHASE_LEAVING)))
	assert.Equal(t, len(p.revived), 0)
}

// A departure that could not be written must not be acknowledged, and later ones are stored once the
// disk takes writes again.
func TestDepartureIsRefusedWhileDiskFails(t *testing.T) {
	disk := fake.NewDisk()
	p := startDepartures(t, disk, time.Now)
	assert.NilError(t, p.Record(p.ctx, departure("a", 1, 5, wire.Phase_PHASE_GONE)))
	disk.Full = true
	assert.Assert(t, errors.Is(p.Record(p.ctx, departure("b", 1, 5, wire.Phase_PHASE_GONE)), ErrDepartures))
	disk.Full = false
	assert.NilError(t, p.Record(p.ctx, departure("c", 1, 5, wire.Phase_PHASE_GONE)))
	disk.FailSync = true
	assert.Assert(t, errors.Is(p.Record(p.ctx, departure("d", 1, 5, wire.Phase_PHASE_GONE)), ErrDepartures))
	assert.NilError(t, p.Record(p.ctx, departure("e", 1, 5, wire.Phase_PHASE_GONE)))
	found := storedDepartures(t, disk, time.Now, 0)
	for _, id := range []string{"a", "c", "e"} {
		assert.Assert(t, found[id+"/1:3"], "%s: %v", id, found)
	}
}

// The files must not grow with each departure, and an old one must not hold down its ID for good.
func TestOldDeparturesAreForgotten(t *testing.T) {
	now := time.Now()
	clock := func() time.Time { return now }
	disk := fake.NewDisk()
	p := startDepartures(t, disk, clock)
	for i := range 20_000 {
		assert.NilError(t, p.Record(p.ctx, departure(fmt.Sprint("upstream-", i), 1, 5, wire.Phase_PHASE_GONE)))
		now = now.Add(departureRetention / 1000)
	}
	total := 0
	names, err := disk.List()
	assert.NilError(t, err)
	for _, name := range names {
		total += disk.Size(name)
	}
	assert.Assert(t, total < 2*minRewriteBytes, "%d bytes", total)
	assert.Assert(t, len(storedDepartures(t, disk, clock, 0)) <= 1001)
}

// BenchmarkDepartures measures what the departures of half of 5,500 upstreams within a minute cost
// a replica, if each announces to leave and then its end.
func BenchmarkDepartures(b *testing.B) {
	const (
		upstreams  = 2750
		concurrent = 64
	)
	for range b.N {
		disk := fake.NewDisk()
		p := startDepartures(b, disk, time.Now)
		var wg sync.WaitGroup
		for w := range concurrent {
			wg.Add(1)
			go func() {
				defer wg.Done()
				for i := w; i < upstreams; i += concurrent {
					id := fmt.Sprintf("i-%010d", i)
					_ = p.Record(p.ctx, departure(id, 1764900000000, 900, wire.Phase_PHASE_LEAVING))
					_ = p.Record(p.ctx, departure(id, 1764900000000, 1<<63, wire.Phase_PHASE_GONE))
				}
			}()
		}
		wg.Wait()
		total := 0
		names, _ := disk.List()
		for _, name := range names {
			total += disk.Size(name)
		}
		b.ReportMetric(float64(disk.Syncs)/(2*upstreams), "syncs/departure")
		b.ReportMetric(float64(total)/upstreams, "bytes/upstream")
		p.cancel()
	}
}
