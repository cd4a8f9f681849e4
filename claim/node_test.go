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

// unreachablePeer is a connection on which every call fails.
type unreachablePeer struct{ drpc.Conn }

func (unreachablePeer) NewStream(context.Context, string, drpc.Encoding) (drpc.Stream, error) {
	return nil, errors.New("no answer")
}

// After a restart and its copies, the ring admits another entry. The register must copy
// from that one as well, and grants none of the keys that they share until it has.
func TestRingChangeAfterRestartCopiesFromNewPeer(t *testing.T) {
	asked := make(chan string, 100)
	dial := func(_ context.Context, address string) drpc.Conn {
		asked <- address
		return unreachablePeer{}
	}
	n := NewNode(DefaultRegisterSettings(), fixedIncarnation(2), dial, time.Now)
	first := &wire.Ring{Epoch: 1}
	for i := range RegistersPerKey {
		first.Members = append(first.Members, &wire.RingMember{Id: entryID(i), Address: entryID(i), Incarnation: 1})
	}
	n.SetRing(first, 0, time.Now())
	for _, peer := range []string{entryID(1), entryID(2)} {
		n.reg.ApplyCopy(time.Now(), peer, &wire.ClaimCopy{Last: true})
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	<-n.copyNeeded
	assert.Assert(t, n.catchUp(ctx), "nothing is missing: Run waits for a change")
	next := &wire.Ring{Epoch: 2, Previous: first.Members}
	next.Members = append(next.Members, first.Members...)
	next.Members = append(next.Members, &wire.RingMember{Id: entryID(3), Address: entryID(3)})
	n.SetRing(next, 0, time.Now())
	select {
	case <-n.copyNeeded:
	default:
		t.Fatal("Run is not told of the ring")
	}
	go n.catchUp(ctx)
	assert.Equal(t, <-asked, entryID(3))
}
