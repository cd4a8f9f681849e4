package claim

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/snipereach/snipereach/wire"
)

// settleTries is how often a settlement is sent to a register that doesn't
// answer. A lost one costs a resend its answer, never a second run.
const settleTries = 3

// Hold is a key that a request holds. It must be settled.
type Hold struct {
	node    *Node
	key     *wire.ClaimKey
	holder  string
	targets []*wire.RingMember
}

// Outcome is what a claim came to; Hold is set when Choice is Run.
type Outcome struct {
	Choice Choice
	Record *wire.ClaimRecord
	Hold   *Hold
}

type reply struct {
	holder, from string
	reply        *wire.ClaimReply
}

// Claim carries a request through its flow. gone says whether an entry's life
// has ended.
func (n *Node) Claim(ctx context.Context, q Request, gone func(*wire.Incarnation) bool) Outcome {
	flow := NewFlow(q, gone, func(d time.Duration) time.Duration { return rand.N(d + 1) })
	replies := make(chan reply, 8*Copies)
	for {
		a := flow.Step(n.now(), n.Ring())
		if a.Release != nil {
			n.settle(a.Release, a.ReleaseTargets)
		}
		switch a.Choice {
		case Wait:
		case Run:
			return Outcome{Choice: Run, Hold: &Hold{node: n, key: q.Key, holder: flow.Holder(), targets: a.Targets}}
		default:
			return Outcome{Choice: a.Choice, Record: a.Record}
		}
		if a.Claim != nil {
			n.ask(ctx, a, flow.Holder(), replies)
		}
		timer := time.NewTimer(a.Wake.Sub(n.now()))
		select {
		case r := <-replies:
			flow.Reply(r.holder, r.from, r.reply)
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			// The caller has left. What was granted is given back; whether an
			// earlier sending ran is not known here.
			r := flow.abandon()
			n.settle(r.Release, r.ReleaseTargets)
			return Outcome{Choice: Unknown}
		}
		timer.Stop()
	}
}

// abandon ends a flow before it has decided.
func (f *Flow) abandon() Actions {
	if f.claimant == nil {
		return Actions{}
	}
	return f.release()
}

func (n *Node) ask(ctx context.Context, a Actions, holder string, replies chan<- reply) {
	for _, m := range a.Targets {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, a.Wake.Sub(n.now()))
			defer cancel()
			r, err := n.call(ctx, m, a.Claim)
			if err != nil {
				r = nil
			}
			select {
			case replies <- reply{holder, m.Id, r}:
			default:
			}
		}()
	}
}

func (n *Node) call(ctx context.Context, m *wire.RingMember, q *wire.ClaimRequest) (*wire.ClaimReply, error) {
	if m.Id == n.id {
		return n.Grant(ctx, q)
	}
	r, err := wire.NewDRPCClaimClient(n.dial(ctx, m.Address)).Grant(ctx, q)
	if err == nil {
		// Before the grant can count: the register may come back on an older copy
		// of its folder, and must hear of it.
		n.mu.Lock()
		n.seen.Note(r)
		n.mu.Unlock()
	}
	return r, err
}

// settle sends a settlement in the background.
func (n *Node) settle(s *wire.ClaimSettle, targets []*wire.RingMember) {
	if s == nil {
		return
	}
	for _, m := range targets {
		if m.Id == n.id {
			n.settleHere(s)
			continue
		}
		go n.settleOne(m, s)
	}
}

func (n *Node) settleOne(m *wire.RingMember, s *wire.ClaimSettle) {
	for range settleTries {
		ctx, cancel := context.WithTimeout(context.Background(), RoundTimeout)
		_, err := wire.NewDRPCClaimClient(n.dial(ctx, m.Address)).Settle(ctx, s)
		cancel()
		if err == nil {
			return
		}
	}
}

// Settle ends the claim: answered, unknown, or released as not run. It must be
// called once. A resend that comes before it has arrived waits for it.
func (h *Hold) Settle(state wire.ClaimState, answer *wire.StoredAnswer) {
	h.node.settle(&wire.ClaimSettle{Key: h.key, RequestId: h.holder, State: state, Answer: answer}, h.targets)
}
