package control

import (
	"context"
	"time"

	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/wire"
)

const (
	// leaveInterval is how often a leaving replica repeats its announcement.
	leaveInterval = 25 * time.Millisecond
	// voteHandoverTimeout bounds how long a leaving voter waits for a learner that catches up.
	voteHandoverTimeout = 4 * time.Second
)

// handOverVote announces a planned stop to the leader and waits until this replica is no voter
// any more. If it simply ended, it would count towards the majority until it had been silent for
// ReplaceAfter, and the loss of one more host before would end the log although a replacement had
// caught up. It returns at once if no other replica could take the vote, as in a restart of the
// replicas in turn: the voters must not become fewer. Only the leader knows that for sure; the own
// log, which may lack the latest learner, decides if no leader answers.
func (r *Replica) handOverVote(ctx context.Context) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, voteHandoverTimeout)
	defer cancel()
	repeat := time.NewTicker(leaveInterval)
	defer repeat.Stop()
	answered := began
	for {
		reply := r.announceLeave(ctx)
		switch {
		case reply != nil:
			answered = time.Now()
		case !r.hasLearners(ctx):
			return
		}
		if reply.GetDone() {
			kernel.Info(r.log, "This replica may stop.", "detail", reply.Detail, "took", time.Since(began))
			return
		}
		if time.Since(answered) > leaderTransferAttempts*r.settings.ElectionTimeout.D() {
			kernel.Warn(r.log, "The vote could not be handed over: no leader answers.", "after", time.Since(began))
			return
		}
		select {
		case <-ctx.Done():
			kernel.Warn(r.log, "The vote could not be handed over in time.", "after", time.Since(began), "detail", reply.GetDetail())
			return
		case <-repeat.C:
		}
	}
}

// hasLearners reports whether the membership has learners, of which this replica may be one.
func (r *Replica) hasLearners(ctx context.Context) bool {
	found := false
	_ = r.runInLoop(ctx, func() {
		for _, p := range r.node.Peers() {
			found = found || p.Learner
		}
	})
	return found
}

// announceLeave announces the planned stop once and returns the leader's reply, or nil. After its
// removal a replica hears of no leader, so that it asks all members if it knows none.
func (r *Replica) announceLeave(ctx context.Context) *wire.LeaveReply {
	var own *wire.LeaveReply
	var members []string
	leader := ""
	err := r.runInLoop(ctx, func() {
		if r.node.IsLeader(r.now()) {
			own = &wire.LeaveReply{}
			r.handleLeave(idOf(r.identity), own)
			return
		}
		leader = r.leaderAddress()
		for _, p := range r.node.Peers() {
			if p.Id != idOf(r.identity) {
				members = append(members, p.Address)
			}
		}
	})
	if err != nil || own != nil {
		return own
	}
	if leader != "" {
		members = []string{leader}
	}
	for _, addr := range members {
		if reply := r.requestLeave(ctx, addr); reply != nil {
			return reply
		}
	}
	return nil
}

// requestLeave returns the reply of the replica at an address, or nil if it doesn't lead.
func (r *Replica) requestLeave(ctx context.Context, addr string) *wire.LeaveReply {
	ctx, cancel := context.WithTimeout(ctx, r.settings.ElectionTimeout.D())
	defer cancel()
	reply, err := wire.NewDRPCRaftClient(r.peers.pool.Conn(ctx, addr)).Leave(ctx, &wire.LeaveRequest{Id: idOf(r.identity)})
	if err != nil || !reply.Leads {
		kernel.Debug(r.log, "Announcement of the stop was not accepted; it will be repeated.", "addr", addr, "detail", reply.GetDetail(), "err", err)
		return nil
	}
	return reply
}

// handleLeave records that a replica is about to stop and has the next membership change made at
// once. The reply is done only when the membership without the replica is committed: an
// uncommitted one can be lost with this leader, and the replica would be needed again.
func (r *Replica) handleLeave(id string, reply *wire.LeaveReply) {
	if !r.node.IsLeader(r.now()) {
		reply.Detail = "not the leader"
		return
	}
	reply.Leads = true
	r.leadership().markLeaving(id, r.node.BootID(id), r.clock())
	switch {
	case r.node.MembershipPending():
		reply.Detail = "a membership change is being committed"
	case vacates(r.memberList(), id, r.settings.voterTarget()):
		r.membershipDue = true
		reply.Detail = "another replica is to become a voter first"
	default:
		reply.Done = true
		reply.Detail = "it is no voter, or no other replica could take its place"
	}
}
