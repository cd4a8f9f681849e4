package claim

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"storj.io/drpc"

	"github.com/snipereach/snipereach/wire"
)

// deafPeer is a peer that answers nothing.
type deafPeer struct{ drpc.Conn }

func (deafPeer) NewStream(context.Context, string, drpc.Encoding) (drpc.Stream, error) {
	return nil, errors.New("no answer")
}

// An entry restarts and copies from its peers. Then the ring takes in another entry.
// Callers whose keys the two share would be told "unknown" for a time to live: the
// register has no copy of the new peer's, and must ask for it.
func TestRingChangeAfterARestartIsCopiedToo(t *testing.T) {
	asked := make(chan string, 100)
	dial := func(_ context.Context, address string) drpc.Conn {
		asked <- address
		return deafPeer{}
	}
	n := NewNode(DefaultRegisterSettings(), fixedLife(2), dial, time.Now)
	first := &wire.Ring{Epoch: 1}
	for i := range Copies {
		first.Members = append(first.Members, &wire.RingMember{Id: id(i), Address: id(i), Incarnation: 1})
	}
	n.SetRing(first, 0, time.Now())
	for _, peer := range []string{id(1), id(2)} {
		n.reg.TakeCopy(time.Now(), peer, &wire.ClaimCopy{Last: true})
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	<-n.changes
	assert.Assert(t, n.catchUp(ctx), "nothing is missing: Run waits for a change")
	next := &wire.Ring{Epoch: 2, Previous: first.Members}
	next.Members = append(next.Members, first.Members...)
	next.Members = append(next.Members, &wire.RingMember{Id: id(3), Address: id(3)})
	n.SetRing(next, 0, time.Now())
	select {
	case <-n.changes:
	default:
		t.Fatal("Run is not told of the ring")
	}
	go n.catchUp(ctx)
	assert.Equal(t, <-asked, id(3))
}
