package control

import (
	"context"
	"fmt"
	"math"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/snipereach/snipereach/admit"
	"github.com/snipereach/snipereach/table"
	"github.com/snipereach/snipereach/wire"
)

// shareHome is a leader's division of limits between entries. It lives as long
// as one leadership; the next leader waits until its grants have ended.
type shareHome struct {
	home *admit.Home
	name string
	// view is the table's typed view at a revision.
	view *table.View
}

// followHome makes a home when leadership begins and drops it when it ends.
func (r *Replica) followHome() {
	if !r.leads.leading {
		r.shares.home = nil
		return
	}
	if r.shares.home == nil {
		st := r.node.Status()
		r.shares.home = admit.NewHome(time.Now())
		r.shares.name = fmt.Sprintf("%s@%d", st.ID, st.Term)
	}
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
	if !r.node.IsLeader() || r.shares.home == nil {
		return merry.Prepend(ErrUnavailable, "not the leader")
	}
	v, err := r.shareView()
	if err != nil {
		return err
	}
	now := time.Now()
	reply.Home = r.shares.name
	for _, d := range req.Demands {
		l := v.Limit(d.Team, d.Service)
		if l == nil {
			continue
		}
		hold := time.Duration(0)
		if svc := v.Services[d.Service]; svc != nil {
			hold = svc.Timeout
		}
		a, epoch, ok := r.shares.home.Grant(now, req.Entry, admit.SubjectOf(l, d.Team, d.Service), admit.LimitOf(l), admit.Demand{
			Wanted:  admit.Amounts{Requests: d.Requests, Tokens: d.Tokens, Concurrent: float64(d.Concurrent)},
			Running: float64(d.Running), Ack: d.Ack,
		}, hold)
		if ok {
			reply.Grants = append(reply.Grants, grantOf(d, a, epoch))
		}
	}
	return nil
}

func grantOf(d *wire.ShareDemand, a admit.Amounts, epoch uint64) *wire.ShareGrant {
	return &wire.ShareGrant{
		Team: d.Team, Service: d.Service, Epoch: epoch,
		RequestsPerSecond: a.Requests, TokensPerSecond: a.Tokens,
		Concurrent: uint32(min(a.Concurrent, math.MaxUint32)),
	}
}

// shareView is the table's typed view, made anew when the revision has changed.
func (r *Replica) shareView() (*table.View, error) {
	rev := r.machine.table.Revision()
	if r.shares.view == nil || r.shares.view.Revision != rev {
		v, err := table.NewView(rev, r.machine.table.Rows(""))
		if err != nil {
			return nil, merry.Prepend(ErrUnavailable, err.Error())
		}
		r.shares.view = v
	}
	return r.shares.view, nil
}
