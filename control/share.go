package control

import (
	"context"
	"fmt"
	"math"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/snipereach/snipereach/admit"
	"github.com/snipereach/snipereach/claim"
	"github.com/snipereach/snipereach/table"
	"github.com/snipereach/snipereach/wire"
)

// shareHome is a leader's division of limits between entries. It lives as long
// as one leadership; the next leader waits until its grants have ended.
type shareHome struct {
	home *admit.Home
	term uint64
	// homes counts the homes of this process.
	homes int
	// ring is the one that the home was told of.
	ring *wire.Ring
	// view is the table's typed view at a revision.
	view *table.View
	// holds is followed by every replica, and not only by a leader: the next
	// leader must know the timeouts of requests that the last one admitted.
	holds admit.Holds
	held  uint64
}

// followHome makes a home when leadership begins and drops it when it ends.
func (r *Replica) followHome() {
	if !r.leads.leading {
		r.shares.home = nil
		return
	}
	// The term, and not only the sampled role, tells one leadership from the
	// next: a process that stalled may have missed another leader in between.
	// A lease that lapses and is renewed makes a second home in one term; with the
	// name of the first, its epochs would be taken for those of the first.
	if st := r.node.Status(); r.shares.home == nil || r.shares.term != st.Term {
		r.shares.homes++
		r.shares.home = admit.NewHome(r.clock(), fmt.Sprintf("%s@%d.%d", st.ID, st.Term, r.shares.homes))
		r.shares.term = st.Term
		r.shares.ring = nil
	}
}

func (s *shareHome) dump(now time.Time) []admit.SubjectState {
	if s.home == nil {
		return nil
	}
	return s.home.Dump(now)
}

// Share implements the Control service. Only a leader with a live lease grants:
// two homes at once would each divide the whole limit.
func (s *service) Share(ctx context.Context, req *wire.ShareRequest) (*wire.ShareReply, error) {
	reply, done, err := passOn(ctx, s, func(ctx context.Context, c wire.DRPCControlClient) (*wire.ShareReply, error) {
		return c.Share(ctx, req)
	})
	if done || err != nil {
		return reply, err
	}
	r := s.current()
	reply = &wire.ShareReply{}
	var grantErr error
	err = r.do(ctx, func() { grantErr = r.grantShares(req, reply) })
	if err == nil {
		err = grantErr
	}
	return reply, err
}

func (r *Replica) grantShares(req *wire.ShareRequest, reply *wire.ShareReply) error {
	r.followHome()
	if !r.node.IsLeader(r.now()) || r.shares.home == nil {
		return merry.Prepend(ErrUnavailable, "not the leader")
	}
	v, err := r.shareView()
	if err != nil {
		return err
	}
	now := r.clock()
	r.followRing(now)
	home := r.shares.home
	report := admit.Report{Entry: req.Entry, Incarnation: req.Incarnation, Seq: req.Seq, Home: req.Home, Partial: req.Partial}
	if !home.Hear(now, report) {
		return nil
	}
	reply.Home = home.Name(now)
	for _, d := range req.Demands {
		l := v.Limit(d.Team, d.Service)
		if l == nil {
			continue
		}
		subject := admit.SubjectOf(l, d.Team, d.Service)
		share := home.Grant(now, req.Entry, subject, admit.LimitOf(l), admit.Demand{
			Wanted:  admit.Amounts{Requests: d.Requests, Tokens: d.Tokens, Concurrent: float64(d.Concurrent)},
			Running: float64(d.Running), Ack: d.Ack,
		}, r.shares.holds.Of(now, subject))
		reply.Grants = append(reply.Grants, grantOf(d, share))
	}
	return nil
}

// followRing tells the home which entries the ring on the log has. The names are
// gone through only when the ring has changed: each entry asks every second or so.
func (r *Replica) followRing(now time.Time) {
	ring, home := r.machine.ring, r.shares.home
	unchanged := now.Sub(r.rings.changed)
	if r.shares.ring == ring {
		home.SetUnchanged(unchanged)
		return
	}
	r.shares.ring = ring
	home.SetFleet(admit.Fleet{
		Members: idsOf(ring.GetMembers()), Previous: idsOf(ring.GetPrevious()),
		Unchanged: unchanged, MostOnce: claim.JointPeriod(claim.DefaultRegisterSettings().MaxTTL),
	})
}

func idsOf(members []*wire.RingMember) []string {
	ids := make([]string, len(members))
	for i, m := range members {
		ids[i] = m.Id
	}
	return ids
}

func grantOf(d *wire.ShareDemand, s admit.Share) *wire.ShareGrant {
	return &wire.ShareGrant{
		Team: d.Team, Service: d.Service, Epoch: s.Epoch, RequestBurst: s.Burst,
		RequestsPerSecond: s.Requests, TokensPerSecond: s.Tokens,
		Concurrent: uint32(min(s.Concurrent, math.MaxUint32)),
		HoldMs:     uint32(s.Hold.Milliseconds()),
		AgainMs:    uint32(s.Again.Milliseconds()),
	}
}

// shareView is the table's typed view, made anew when the revision has changed.
func (r *Replica) shareView() (*table.View, error) {
	if r.shares.view == nil || r.shares.view.Revision != r.machine.table.Revision() {
		v, err := r.nextView(r.shares.view)
		if err != nil {
			return nil, merry.Prepend(ErrUnavailable, err.Error())
		}
		r.shares.view = v
	}
	return r.shares.view, nil
}

// nextView builds the view of the rows in force out of an earlier one, or anew if
// there is none or what changed since is not known any more.
func (r *Replica) nextView(old *table.View) (*table.View, error) {
	t := r.machine.table
	if old != nil {
		if rows, whole := t.Since(old.Revision); !whole {
			return old.With(t.Revision(), rows)
		}
	}
	return table.NewView(t.Revision(), t.Rows(""))
}

// followRows takes in the service and pool rows that have changed: of services the
// timeouts of every version in turn, of pools the queue settings. After a start,
// all versions that are kept count as changed now.
func (r *Replica) followRows(now time.Time) {
	rev := r.machine.table.Revision()
	if rev == r.shares.held {
		return
	}
	rows, whole := r.machine.table.Since(r.shares.held)
	pools := poolSettings{}
	if old := r.pools.Load(); old != nil && !whole {
		pools = *old
	}
	for _, row := range rows {
		switch row.Kind {
		case table.KindService:
			r.followTimeouts(now, row)
		case table.KindPool:
			pools = pools.with(row)
		}
	}
	r.pools.Store(&pools)
	r.shares.held = rev
}

func (r *Replica) followTimeouts(now time.Time, row *wire.Row) {
	versions := r.machine.table.History(row.Kind, row.Key, 0)
	for i := len(versions) - 1; i >= 0; i-- {
		if v := versions[i]; v.Revision > r.shares.held {
			r.shares.holds.Set(now, v.Key, timeoutOf(v))
		}
	}
}

// timeoutOf is the timeout of a service row; one that is gone has none.
func timeoutOf(row *wire.Row) time.Duration {
	if row.Deleted {
		return 0
	}
	return time.Duration(cell(row, "timeout_ms")) * time.Millisecond
}
