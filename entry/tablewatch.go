package entry

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/table"
	"github.com/snipereach/snipereach/wire"
)

// Times of following the table.
const (
	rewatchTable = 200 * time.Millisecond
	floorTimeout = 3 * time.Second
	// silentWatch is how long a watch may say nothing before another replica is
	// asked; a replica confirms every second.
	silentWatch = 3 * time.Second
)

// errStaleReplica ends a watch of a replica that hears no leader itself.
var errStaleReplica = merry.Sentinel("replica can't confirm its rows")

// followTable keeps the rows in force up to date until the context is done.
func (e *Entry) followTable(ctx context.Context) {
	f := table.NewFollower()
	for ctx.Err() == nil {
		if !f.Floored() {
			e.setFloor(ctx, f)
		}
		if f.Floored() {
			err := e.client.Call(ctx, func(ctx context.Context, c wire.DRPCControlClient) error {
				return e.watchTable(ctx, c, f)
			})
			kernel.Debug(e.log, "Table watch ended.", "err", err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(rewatchTable):
		}
	}
}

func (e *Entry) setFloor(ctx context.Context, f *table.Follower) {
	ctx, cancel := context.WithTimeout(ctx, floorTimeout)
	defer cancel()
	reply, err := e.client.Read(ctx, &wire.ReadRequest{Kind: table.KindPool, Linearizable: true})
	if err != nil {
		kernel.Debug(e.log, "The table's revision is not known yet.", "err", err)
		return
	}
	if err := f.SetFloor(reply.Cluster, reply.Revision); err != nil {
		kernel.Warn(e.log, "Rows are refused.", "err", err)
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
	// A replica behind a silent cut sends nothing and the connection doesn't
	// break; without a limit the entry would wait there while others know more.
	silence := time.AfterFunc(silentWatch, cancel)
	defer silence.Stop()
	for _, replica := range e.settings.replicas() {
		e.suspects.TellAgain(replica)
	}
	for {
		u, err := stream.Recv()
		if err != nil {
			return err
		}
		silence.Reset(silentWatch)
		e.suspects.Hear("table watch", u.Suspicions)
		v, err := f.Apply(e.settings.Now(), u)
		if err != nil {
			kernel.Warn(e.log, "Rows are refused.", "err", err)
			return err
		}
		if v != nil {
			e.SetView(v)
		}
		at := f.Confirmed()
		e.confirmed.Store(&at)
		e.claims.SetRing(u.Ring, time.Duration(u.RingAgeMs)*time.Millisecond, f.Confirmed())
		if age := time.Duration(u.ConfirmedAgeMs) * time.Millisecond; age > silentWatch {
			return merry.Prependf(errStaleReplica, "%v", age)
		}
	}
}

// rowsConfirmed says whether the rows in force were known to be current within
// the configuration lease. An entry that can't say so leaves the list that
// callers get and goes on serving those that come.
func (e *Entry) rowsConfirmed() bool {
	age, ok := e.rowsAge(e.settings.Now())
	return ok && age < e.settings.ConfigLease.D()
}

// rowsAge is how long ago the rows in force were known to be current; ok is false
// if they never were. Both times hold a reading of the monotonic clock, so that a
// time of day that is set back while the entry is cut off doesn't keep it listed.
func (e *Entry) rowsAge(now time.Time) (age time.Duration, ok bool) {
	at := e.confirmed.Load()
	if at == nil || at.IsZero() {
		return 0, false
	}
	return now.Sub(*at), true
}
