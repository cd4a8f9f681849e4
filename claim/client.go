package claim

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/snipereach/snipereach/wire"
)

// maxSettleAttempts is how often a settlement is sent to a register that doesn't
// reply. If all attempts fail, a resend may get no answer, but it doesn't run.
const maxSettleAttempts = 3

// Hold is an acquired key. Settle must be called once.
type Hold struct {
	node    *Node
	key     *wire.ClaimKey
	holder  string
	targets []*wire.RingMember
}

// Outcome is the result of Claim. Hold is set if Decision is Run.
type Outcome struct {
	Decision Decision
	Record   *wire.ClaimRecord
	Hold     *Hold
}

// roundReply is a register's reply to the claim of one holder; reply is nil if it failed.
type roundReply struct {
	holder, from string
	reply        *wire.ClaimReply
}

// Claim acquires a request's key. It blocks until there is a decision or the context
// ends. gone reports whether an entry's incarnation has ended.
func (n *Node) Claim(ctx context.Context, q Request, gone func(*wire.Incarnation) bool) Outcome {
	acq := NewAcquisition(q, gone, func(d time.Duration) time.Duration { return rand.N(d + 1) })
	replies := make(chan roundReply, 8*RegistersPerKey)
	for {
		a := acq.Step(n.now(), n.Ring())
		if a.Release != nil {
			n.sendSettlement(a.Release, a.ReleaseTargets)
		}
		switch a.Decision {
		case Wait:
		case Run:
			return Outcome{Decision: Run, Hold: &Hold{node: n, key: q.Key, holder: acq.Holder(), targets: a.Targets}}
		default:
			return Outcome{Decision: a.Decision, Record: a.Record}
		}
		if a.Claim != nil {
			n.sendClaims(ctx, a, acq.Holder(), replies)
		}
		timer := time.NewTimer(a.WakeAt.Sub(n.now()))
		select {
		case r := <-replies:
			acq.AddReply(r.holder, r.from, r.reply)
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			// The caller has gone away. Grants are released; whether an earlier sending
			// ran isn't known here.
			r := acq.cancel()
			n.sendSettlement(r.Release, r.ReleaseTargets)
			return Outcome{Decision: Unknown}
		}
		timer.Stop()
	}
}

// cancel ends an Acquisition without a decision. The release in its result is nil
// if no round is in progress.
func (acq *Acquisition) cancel() Actions {
	if acq.round == nil {
		return Actions{}
	}
	return acq.releaseRound()
}

func (n *Node) sendClaims(ctx context.Context, a Actions, holder string, replies chan<- roundReply) {
	for _, m := range a.Targets {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, a.WakeAt.Sub(n.now()))
			defer cancel()
			r, err := n.requestGrant(ctx, m, a.Claim)
			if err != nil {
				r = nil
			}
			select {
			case replies <- roundReply{holder, m.Id, r}:
			default:
			}
		}()
	}
}

func (n *Node) requestGrant(ctx context.Context, m *wire.RingMember, q *wire.ClaimRequest) (*wire.ClaimReply, error) {
	if m.Id == n.id {
		return n.Grant(ctx, q)
	}
	r, err := wire.NewDRPCClaimClient(n.dial(ctx, m.Address)).Grant(ctx, q)
	if err == nil {
		// The grant is noted before it can be counted: if the register restarts with an
		// older copy of its folder, this entry must report the grant to it.
		n.mu.Lock()
		n.seenGrants.Record(r)
		n.mu.Unlock()
	}
	return r, err
}

// sendSettlement sends a settlement to the targets without waiting for replies. It
// does nothing if s is nil.
func (n *Node) sendSettlement(s *wire.ClaimSettle, targets []*wire.RingMember) {
	if s == nil {
		return
	}
	for _, m := range targets {
		if m.Id == n.id {
			n.settleLocally(s)
			continue
		}
		go n.sendSettlementTo(m, s)
	}
}

func (n *Node) sendSettlementTo(m *wire.RingMember, s *wire.ClaimSettle) {
	for range maxSettleAttempts {
		ctx, cancel := context.WithTimeout(context.Background(), DefaultRoundTimeout)
		_, err := wire.NewDRPCClaimClient(n.dial(ctx, m.Address)).Settle(ctx, s)
		cancel()
		if err == nil {
			return
		}
	}
}

// Settle ends the claim with the state answered, unknown, or released (not run). It
// must be called once. Until the settlement arrives, the key's registers report it
// as held.
func (h *Hold) Settle(state wire.ClaimState, answer *wire.StoredAnswer) {
	h.node.sendSettlement(&wire.ClaimSettle{Key: h.key, RequestId: h.holder, State: state, Answer: answer}, h.targets)
}
