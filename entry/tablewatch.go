package entry

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/table"
	"github.com/snipereach/snipereach/wire"
)

const (
	tableWatchRetryDelay = 200 * time.Millisecond
	floorTimeout         = 3 * time.Second
	// maxTableWatchSilence is how long a table watch may receive nothing before it is
	// closed and another replica is tried; a replica sends a confirmation every second.
	maxTableWatchSilence = 3 * time.Second
)

// errStaleReplica ends the watch of a replica whose rows haven't been confirmed as
// current for maxTableWatchSilence.
var errStaleReplica = merry.Sentinel("replica can't confirm its rows")

// followTable keeps the rows in force up to date until the context is done.
func (e *Entry) followTable(ctx context.Context) {
	f := table.NewFollower()
	for ctx.Err() == nil {
		if !f.HasFloor() {
			e.setFloor(ctx, f)
		}
		if f.HasFloor() {
			err := e.controlClient.Call(ctx, func(ctx context.Context, c wire.DRPCControlClient) error {
				return e.watchTable(ctx, c, f)
			})
			kernel.Debug(e.log, "Table watch ended.", "err", err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(tableWatchRetryDelay):
		}
	}
}

func (e *Entry) setFloor(ctx context.Context, f *table.Follower) {
	ctx, cancel := context.WithTimeout(ctx, floorTimeout)
	defer cancel()
	reply, err := e.controlClient.Read(ctx, &wire.ReadRequest{Kind: table.KindPool, Linearizable: true})
	if err != nil {
		kernel.Debug(e.log, "Table revision can't be read yet.", "err", err)
		return
	}
	if err := f.SetFloor(reply.Cluster, reply.Revision); err != nil {
		kernel.Warn(e.log, "Table revision rejected.", "err", err)
	}
}

func (e *Entry) watchTable(ctx context.Context, c wire.DRPCControlClient, f *table.Follower) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := c.WatchTable(ctx, &wire.TableWatchRequest{Entry: e.settings.ID, FromRevision: f.Revision()})
	if err != nil {
		return err
	}
	defer stream.Close()
	// In a network partition the connection may stay open with nothing received.
	// Without this timeout the entry would keep waiting for a replica that it can't
	// reach.
	silenceTimer := time.AfterFunc(maxTableWatchSilence, cancel)
	defer silenceTimer.Stop()
	for _, replica := range e.settings.replicas() {
		e.quarantine.ReportAll(replica)
	}
	for {
		u, err := stream.Recv()
		if err != nil {
			return err
		}
		silenceTimer.Reset(maxTableWatchSilence)
		e.quarantine.ApplyReport("table watch", u.Suspicions)
		v, err := f.Apply(e.settings.Now(), u)
		if err != nil {
			kernel.Warn(e.log, "Table update rejected.", "err", err)
			return err
		}
		if v != nil {
			e.SetView(v)
		}
		at := f.ConfirmedAt()
		e.rowsConfirmedAt.Store(&at)
		e.claims.SetRing(u.Ring, time.Duration(u.RingAgeMs)*time.Millisecond, f.ConfirmedAt())
		if age := time.Duration(u.ConfirmedAgeMs) * time.Millisecond; age > maxTableWatchSilence {
			return merry.Prependf(errStaleReplica, "%v", age)
		}
	}
}

// rowsConfirmed reports whether the rows in force were confirmed as current within
// Settings.ConfigLease. An entry whose lease has expired is removed from the list of
// entries, but continues to serve requests.
func (e *Entry) rowsConfirmed() bool {
	age, ok := e.rowsAge(e.settings.Now())
	return ok && age < e.settings.ConfigLease.D()
}

// rowsAge returns how long ago the rows in force were confirmed as current; ok is false
// if they never were. Both times have a monotonic clock reading, so that setting the wall
// clock back doesn't keep a partitioned entry in the list of entries.
func (e *Entry) rowsAge(now time.Time) (age time.Duration, ok bool) {
	at := e.rowsConfirmedAt.Load()
	if at == nil || at.IsZero() {
		return 0, false
	}
	return now.Sub(*at), true
}
