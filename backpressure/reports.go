package backpressure

import (
	"context"
	"time"

	"github.com/snipereach/snipereach/directory"
	"github.com/snipereach/snipereach/wire"
)

// restsReportInterval is how often a gateway that keeps any rest tells a replica.
const restsReportInterval = 2 * time.Second

// report implements directory.ReportFunc. A replica that has been told nothing yet gets all
// statements; otherwise it gets those that were heard here, as it has the others itself.
func (n *Node) report(ctx context.Context, replica string, after uint64) (upTo uint64, sent bool, err error) {
	n.mu.Lock()
	list, upTo := n.book.Since(after, MaxStatements)
	n.mu.Unlock()
	if len(list) == 0 {
		return upTo, false, nil
	}
	var own []Statement
	for _, s := range list {
		if after == 0 || s.Source == n.id {
			own = append(own, s)
		}
	}
	if len(own) == 0 {
		return upTo, true, nil
	}
	if err := n.tell(ctx, replica, &wire.TellStatementsRequest{Teller: n.id, Statements: ToWire(n.now(), own)}); err != nil {
		n.lines.Info("Reporting statements to a replica failed.", "replica", replica, "statements", len(own), "err", err)
		return after, false, err
	}
	return upTo, true, nil
}

// ownRests returns the rests that this gateway keeps, as many as fit in a message.
func (n *Node) ownRests() (list []*wire.UpstreamRest) {
	for id, left := range n.rests.Left() {
		if len(list) == MaxStatements {
			break
		}
		list = append(list, &wire.UpstreamRest{Upstream: id, Gateway: n.id, LeftMs: uint32(left.Milliseconds())})
	}
	return list
}

// reportRests tells the nearest replica at intervals which rests this gateway keeps, for operators,
// until ctx is done.
func (n *Node) reportRests(ctx context.Context) {
	tick := time.NewTicker(restsReportInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		rests, replicas := n.ownRests(), n.replicas()
		if len(rests) == 0 || len(replicas) == 0 {
			continue
		}
		if err := n.tell(ctx, replicas[0], &wire.TellStatementsRequest{Teller: n.id, Rests: rests}); err != nil {
			n.lines.Info("Reporting rests to a replica failed.", "replica", replicas[0], "rests", len(rests), "err", err)
		}
	}
}

// tell reports to a replica.
func (n *Node) tell(ctx context.Context, replica string, req *wire.TellStatementsRequest) error {
	ctx, cancel := context.WithTimeout(ctx, directory.ReportTimeout)
	defer cancel()
	_, err := wire.NewDRPCBackpressureClient(n.dial(ctx, replica)).Tell(ctx, req)
	return err
}
