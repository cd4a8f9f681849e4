package daemon

import (
	"context"
	"errors"
	"net/http"
	"slices"

	"github.com/ansel1/merry/v2"
	"github.com/gorilla/mux"

	"github.com/snipereach/snipereach/control"
	"github.com/snipereach/snipereach/directory"
	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/wire"
)

// apiOperator is the author of the orders that come through the API, whose calls name none.
const apiOperator = "api"

// ErrUnknownDomain is returned for an evacuation of a failure domain in which nothing runs.
var ErrUnknownDomain = merry.Sentinel("no instance or replica is known in the failure domain")

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
		err = a.control.SetEvacuation(ctx, apiOperator, domain, evacuate)
	}
	kernel.Info(a.log, "Evacuation order.", "failure_domain", domain, "evacuate", evacuate, "err", err)
	switch {
	case err == nil:
		a.control.Metrics().Count("control.evacuations.acknowledged")
		a.writeJSON(w, http.StatusOK, []byte("{}"))
	case errors.Is(err, ErrUnknownDomain), errors.Is(err, control.ErrInvalidOrder):
		a.control.Metrics().Count("control.evacuations.refused")
		a.writeError(w, http.StatusNotFound, err.Error())
	default:
		a.control.Metrics().Count("control.evacuations.unconfirmed")
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
		return merry.Prepend(control.ErrUnavailable, "the directory isn't complete yet")
	}
	return merry.Prependf(ErrUnknownDomain, "%q", domain)
}
