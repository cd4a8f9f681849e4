package control

import (
	"context"
	"crypto/rand"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/gorilla/mux"

	"github.com/snipereach/snipereach/directory"
	"github.com/snipereach/snipereach/evacuation"
	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/table"
	"github.com/snipereach/snipereach/wire"
)

const (
	// apiOperator is the author of the orders that come through the API, whose calls name none.
	apiOperator = "api"
	// appliedPollInterval is how often an order looks whether this replica has caught up.
	appliedPollInterval = 5 * time.Millisecond
)

// ErrUnknownDomain is returned for an evacuation of a failure domain in which nothing runs.
var ErrUnknownDomain = merry.Sentinel("no instance or replica is known in the failure domain")

// setEvacuation evacuates a failure domain or ends its evacuation. It returns once that is durable
// on a majority of the voters; ErrUnavailable if that isn't certain. An order that is sent again
// changes nothing.
//
// The edit names the version of the row that was current when the order arrived, so that an order
// that is held up on its way to the leader can't undo one that was decided meanwhile.
func (s *service) setEvacuation(ctx context.Context, domain string, evacuate bool) error {
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
		EditId: rand.Text(), By: apiOperator, Rows: []*wire.RowEdit{evacuation.Row(domain, evacuate, version)},
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
		return merry.Prepend(ErrUnknownDomain, reply.Detail)
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

func (a *api) evacuate(w http.ResponseWriter, r *http.Request) { a.orderEvacuation(w, r, true) }

func (a *api) restore(w http.ResponseWriter, r *http.Request) { a.orderEvacuation(w, r, false) }

// orderEvacuation answers 200 once an order is durable, 404 if nothing is known in the failure
// domain, and 503 if the order could not be confirmed.
func (a *api) orderEvacuation(w http.ResponseWriter, r *http.Request, evacuate bool) {
	domain := mux.Vars(r)[a.dialect.Calls().DomainName]
	ctx, cancel := context.WithTimeout(r.Context(), routingRequestTimeout)
	defer cancel()
	err := a.checkDomain(ctx, domain)
	if err == nil {
		err = (&service{a.control}).setEvacuation(ctx, domain, evacuate)
	}
	kernel.Info(a.log, "Evacuation order.", "failure_domain", domain, "evacuate", evacuate, "err", err)
	switch {
	case err == nil:
		a.control.metrics.Count("control.evacuations.acknowledged")
		a.writeJSON(w, http.StatusOK, []byte("{}"))
	case errors.Is(err, ErrUnknownDomain):
		a.control.metrics.Count("control.evacuations.refused")
		a.writeError(w, http.StatusNotFound, err.Error())
	default:
		a.control.metrics.Count("control.evacuations.unconfirmed")
		a.writeError(w, http.StatusServiceUnavailable, err.Error())
	}
}

// checkDomain returns ErrUnknownDomain for a failure domain in which nothing is known, and
// ErrUnavailable while this replica may not know of all instances yet.
func (a *api) checkDomain(ctx context.Context, domain string) error {
	inDomain := func(i *directory.Instance) bool { return i.FailureDomain == domain }
	known := slices.ContainsFunc(a.node.Instances(wire.Role_ROLE_UPSTREAM), inDomain) ||
		slices.ContainsFunc(a.node.Instances(wire.Role_ROLE_ENTRY), inDomain) ||
		slices.ContainsFunc(a.control.DirectoryReplicas(ctx), func(r *wire.DirectoryReplica) bool { return r.FailureDomain == domain })
	switch {
	case known:
		return nil
	case !a.node.Settled():
		return merry.Prepend(ErrUnavailable, "the directory isn't complete yet")
	}
	return merry.Prependf(ErrUnknownDomain, "%q", domain)
}
