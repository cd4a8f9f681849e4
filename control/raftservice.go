package control

import (
	"context"

	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/wire"
)

// raftService implements the Raft service, which other control replicas call.
type raftService struct{ *Control }

// Identify implements the Raft service.
func (c raftService) Identify(context.Context, *wire.IdentifyRequest) (*wire.Identity, error) {
	return c.currentIdentity(), nil
}

// Send implements the Raft service. It passes consensus messages to the replica; they are
// dropped while this process belongs to no cluster.
func (c raftService) Send(stream wire.DRPCRaft_SendStream) error {
	for {
		env, err := stream.Recv()
		if err != nil {
			return err
		}
		r := c.currentReplica()
		if r == nil || env.Message == nil {
			continue
		}
		r.peers.setAddress(env.Message.From, env.Address)
		if err := r.postToLoop(stream.Context(), func() { r.node.Step(r.now(), env.Message) }); err != nil {
			return err
		}
	}
}

// Join implements the Raft service. A leader adds the caller as a learner; another replica
// returns the addresses of the members that it knows.
func (c raftService) Join(ctx context.Context, req *wire.JoinRequest) (*wire.JoinReply, error) {
	r := c.currentReplica()
	id := req.Identity
	if r == nil || id == nil {
		return &wire.JoinReply{Detail: "replica belongs to no cluster yet"}, nil
	}
	if id.Cluster != c.currentIdentity().Cluster {
		return &wire.JoinReply{Detail: "replica belongs to another cluster"}, nil
	}
	reply := &wire.JoinReply{}
	err := r.runInLoop(ctx, func() { r.handleJoin(id, reply) })
	return reply, err
}

func (r *Replica) handleJoin(id *wire.Identity, reply *wire.JoinReply) {
	if !r.node.IsLeader(r.now()) {
		reply.Detail = "not the leader"
		for _, p := range r.node.Peers() {
			reply.Members = append(reply.Members, p.Address)
		}
		return
	}
	for _, p := range r.node.Peers() {
		if ReplicaName(p.Id) != id.Name || p.Id == idOf(id) {
			continue
		}
		if p.Address != id.Address && r.presumedLive(p.Id) {
			// Two hosts that are configured with the same name would otherwise keep replacing
			// each other.
			reply.Detail = "the name is in use by a live replica: " + p.Id
			return
		}
	}
	err := r.node.AddLearner(r.now(), &wire.Peer{Id: idOf(id), Address: id.Address, FailureDomain: id.FailureDomain})
	if err != nil {
		reply.Detail = err.Error()
		return
	}
	reply.Accepted = true
	kernel.Info(r.log, "Added a replica as a learner.", "replica", idOf(id), "addr", id.Address)
}

// Leave implements the Raft service.
func (c raftService) Leave(ctx context.Context, req *wire.LeaveRequest) (*wire.LeaveReply, error) {
	r := c.currentReplica()
	if r == nil {
		return &wire.LeaveReply{Detail: "replica belongs to no cluster yet"}, nil
	}
	reply := &wire.LeaveReply{}
	err := r.runInLoop(ctx, func() { r.handleLeave(req.Id, reply) })
	return reply, err
}

// membershipStatus reports whether the membership includes this replica, and whether it knows
// a leader, which may be itself.
func (r *Replica) membershipStatus(ctx context.Context) (member, hasLeader bool) {
	_ = r.runInLoop(ctx, func() {
		for _, p := range r.node.Peers() {
			member = member || p.Id == idOf(r.identity)
		}
		hasLeader = r.node.Leader() != ""
	})
	return member, hasLeader
}
