package control

import (
	"context"
	"crypto/rand"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/snipereach/snipereach/evacuation"
	"github.com/snipereach/snipereach/table"
	"github.com/snipereach/snipereach/wire"
)

// appliedPollInterval is how often an order looks whether this replica has caught up.
const appliedPollInterval = 5 * time.Millisecond

// ErrInvalidOrder is returned for an order that the table refuses, such as one with an invalid name.
var ErrInvalidOrder = merry.Sentinel("order is not valid")

// SetEvacuation evacuates a failure domain or ends its evacuation, on behalf of the operator by. It
// returns once that is durable on a majority of the voters, and ErrUnavailable if that isn't certain.
// An order that is sent again changes nothing.
//
// The edit names the version of the row that was current when the order arrived, so that an order
// that is held up on its way to the leader can't undo one that was decided meanwhile.
func (c *Control) SetEvacuation(ctx context.Context, by, domain string, evacuate bool) error {
	s := &service{c}
	inForce, err := s.Read(ctx, &wire.ReadRequest{Kind: table.KindEvacuation, Key: domain, Linearizable: true})
	if err != nil {
		return err
	}
	if rowEvacuates(inForce.Rows) == evacuate {
		return nil
	}
	version, err := s.appliedVersion(ctx, domain, inForce.Revision)
	if err != nil {
		return err
	}
	reply, err := s.Edit(ctx, &wire.TableEdit{
		EditId: rand.Text(), By: by, Rows: []*wire.RowEdit{evacuation.Row(domain, evacuate, version)},
	})
	if err != nil {
		return err
	}
	switch {
	case reply.Status == wire.EditStatus_EDIT_STATUS_ACCEPTED:
		return nil
	case reply.Status == wire.EditStatus_EDIT_STATUS_CONFLICT && rowEvacuates(reply.Rows) == evacuate:
		// Another copy of the order was decided first.
		return nil
	case reply.Status == wire.EditStatus_EDIT_STATUS_INVALID:
		return merry.Prepend(ErrInvalidOrder, reply.Detail)
	}
	return merry.Prepend(ErrUnavailable, reply.Detail)
}

func rowEvacuates(rows []*wire.Row) bool { return slices.ContainsFunc(rows, evacuation.Evacuated) }

// appliedVersion returns the version of a domain's row once this replica has applied a revision.
func (s *service) appliedVersion(ctx context.Context, domain string, revision uint64) (version uint64, err error) {
	r := s.currentReplica()
	if r == nil {
		return 0, merry.Prepend(ErrUnavailable, "replica belongs to no cluster yet")
	}
	for {
		applied := uint64(0)
		err := r.runInLoop(ctx, func() {
			applied, version = r.machine.table.Revision(), r.machine.table.VersionOf(table.KindEvacuation, domain)
		})
		if err != nil || applied >= revision {
			return version, err
		}
		select {
		case <-ctx.Done():
			return 0, merry.Prepend(ErrUnavailable, "replica lags behind the leader")
		case <-time.After(appliedPollInterval):
		}
	}
}

// updateEvacuations publishes the evacuations in force to the watchers of the routing version.
func (r *Replica) updateEvacuations() { r.evacuations.Store(evacuation.FromTable(r.machine.table)) }

// isEvacuation reports whether a row describes an evacuation.
func isEvacuation(r *wire.Row) bool { return r.Kind == table.KindEvacuation }
