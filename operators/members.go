package operators

import (
	"context"
	"net/http"

	"github.com/gorilla/mux"

	"github.com/snipereach/snipereach/control"
	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/wire"
)

// Member is the state of a control replica. Role is voter, leader or learner;
// Index is the last log index known to be replicated to it.
type Member struct {
	ID            string `json:"id"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	Role          string `json:"role"`
	CaughtUp      bool   `json:"caught_up"`
	Index         uint64 `json:"index"`
}

// Members is the state of the replicated log.
type Members struct {
	Health string `json:"health"`
	// Detail describes the progress of a removal or replacement.
	Detail  string   `json:"detail,omitempty"`
	Members []Member `json:"members"`
}

func (h *Handler) listMembers(c *call) {
	h.changeMembers(c, &wire.MembersRequest{Verb: control.VerbList})
}

func (h *Handler) removeMember(c *call) {
	id := mux.Vars(c.r)["id"]
	kernel.Info(h.log, "Removal of a member requested.", "by", c.operator, "member", id)
	h.changeMembers(c, &wire.MembersRequest{Verb: control.VerbRemove, Member: &wire.Member{Id: id}})
}

func (h *Handler) replaceMember(c *call) {
	id := mux.Vars(c.r)["id"]
	kernel.Info(h.log, "Replacement of a member requested.", "by", c.operator, "member", id)
	h.changeMembers(c, &wire.MembersRequest{Verb: control.VerbReplace, Member: &wire.Member{Id: id}})
}

func (h *Handler) callMembers(ctx context.Context, req *wire.MembersRequest) (*wire.MembersReply, error) {
	var reply *wire.MembersReply
	err := h.client.Call(ctx, func(ctx context.Context, cc wire.DRPCControlClient) (err error) {
		reply, err = cc.Members(ctx, req)
		return err
	})
	return reply, err
}

func (h *Handler) changeMembers(c *call, req *wire.MembersRequest) {
	reply, err := h.callMembers(c.r.Context(), req)
	if err != nil {
		c.writeError(http.StatusServiceUnavailable, "No leader answers. The log may have no quorum.", err.Error())
		return
	}
	if reply.Refused {
		c.writeError(http.StatusConflict, "The membership change is refused.", reply.Detail)
		return
	}
	kernel.WriteJSON(c.w, http.StatusOK, Members{Health: reply.Health, Detail: reply.Detail, Members: membersOf(reply)})
}

func membersOf(reply *wire.MembersReply) []Member {
	list := []Member{}
	for _, m := range reply.Members {
		role := "voter"
		switch {
		case m.Leader:
			role = "leader"
		case m.Learner:
			role = "learner"
		}
		list = append(list, Member{m.Id, m.Address, m.FailureDomain, role, m.CaughtUp, m.MatchIndex})
	}
	return list
}
