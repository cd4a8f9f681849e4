package control

import (
	"context"

	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/wire"
)

// raftService answers other control replicas.
type raftService struct{ *Control }

// Identify implements the Raft service.
func (c raftService) Identify(context.Context, *wire.IdentifyRequest) (*wire.Identity, error) {
	return c.currentIdentity(), nil
}

// Send implements the Raft service.
func (c raftService) Send(stream wire.DRPCRaft_SendStream) error {
	for {
		env, err := stream.Recv()
		if err != nil {
			return err
		}
		r := c.current()
		if r == nil || env.Message == nil {
			continue
		}
		r.peers.learn(env.Message.From, env.Address)
		if err := r.post(stream.Context(), func() { r.node.Step(r.now(), env.Message) }); err != nil {
			return err
		}
	}
}

// Join implements the Raft service.
func (c raftService) Join(ctx context.Context, req *wire.JoinRequest) (*wire.JoinReply, error) {
	r := c.current()
	id := req.Identity
	if r == nil || id == nil {
		return &wire.JoinReply{Detail: "replica belongs to no cluster yet"}, nil
	}
	if id.Cluster != c.currentIdentity().Cluster {
		return &wire.JoinReply{Detail: "replica belongs to another cluster"}, nil
	}
	reply := &wire.JoinReply{}
	err := r.do(ctx, func() { r.join(id, reply) })
	return reply, err
}

func (r *Replica) join(id *wire.Identity, reply *wire.JoinReply) {
	if !r.node.IsLeader(r.now()) {
		reply.Detail = "not the leader"
		for _, p := range r.node.Peers() {
			reply.Members = append(reply.Members, p.Address)
		}
		return
	}
	for _, p := range r.node.Peers() {
		if NameOf(p.Id) != id.Name || p.Id == idOf(id) {
			continue
		}
		if p.Address == id.Address {
			// Only one process listens at an address: the earlier one has ended.
			r.leads.end(p.Id)
			continue
		}
		if r.alive(p.Id) {
			// Two hosts that use one name would otherwise take turns in throwing
			// each other out.
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
	kernel.Info(r.log, "Took in a replica as a learner.", "replica", idOf(id), "addr", id.Address)
}

// standing says whether the membership names this replica, and whether it follows
// a leader or is one.
func (r *Replica) standing(ctx context.Context) (member, led bool) {
	_ = r.do(ctx, func() {
		for _, p := range r.node.Peers() {
			member = member || p.Id == idOf(r.identity)
		}
		led = r.node.Leader() != ""
	})
	return member, led
}
