package daemon

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/wire"
)

const (
	// maxRegistrationBytes bounds the body of a registration.
	maxRegistrationBytes = 64 << 10
	// departureNotifyTimeout is how long an upstream that leaves waits for all replicas to be
	// notified, and departureTimeout how long it waits for enough of them to have stored it. It is
	// shorter than the second after which upstreams call another replica.
	departureNotifyTimeout = 400 * time.Millisecond
	departureTimeout       = 800 * time.Millisecond
	// defaultIncarnation is the incarnation of upstreams that register without one; they take a
	// new ID at each start. It is lower than any incarnation that upstreams send.
	defaultIncarnation = 1
	// maxRejectionLogsPerSecond bounds the log records about rejected registrations, since a
	// faulty upstream may repeat its registration.
	maxRejectionLogsPerSecond = 4
)

func (a *api) register(w http.ResponseWriter, r *http.Request) {
	body, ok := a.readBody(w, r, maxRegistrationBytes)
	if !ok {
		return
	}
	id := mux.Vars(r)[a.dialect.Calls().InstanceID]
	msg, err := a.dialect.DecodeRegistration(id, body)
	if err != nil {
		a.rejectRegistration(w, id, err.Error())
		return
	}
	if msg.Incarnation == 0 {
		msg.Incarnation = defaultIncarnation
	}
	if a.node.Conflicts(msg) {
		a.rejectRegistration(w, id, "the same run of the upstream has registered at another address or for another service")
		return
	}
	msg.LeaseMs = uint32(a.settings.Lease.D().Milliseconds())
	a.announce(w, r, msg)
}

// rejectRegistration answers an invalid registration. It leaves an existing registration of
// the ID in place: a faulty registration must not remove a working upstream.
func (a *api) rejectRegistration(w http.ResponseWriter, id, detail string) {
	if ok, leftOut := a.rejectionLogLimiter.Allow(); ok {
		kernel.Warn(a.log, "Registration refused.", "upstream", id, "detail", detail, "lines_left_out", leftOut)
	}
	a.writeError(w, http.StatusBadRequest, detail)
}

// deregister ends the incarnation of an upstream that this replica knows, because the call
// doesn't name one.
func (a *api) deregister(w http.ResponseWriter, r *http.Request) {
	id := mux.Vars(r)[a.dialect.Calls().InstanceID]
	a.announce(w, r, &wire.Announcement{
		Id: id, Role: wire.Role_ROLE_UPSTREAM, Incarnation: max(a.node.Incarnation(id), defaultIncarnation),
		Phase: wire.Phase_PHASE_GONE, Seq: math.MaxUint64,
	})
}

// announce adds an upstream's announcement to the directory and answers the call.
func (a *api) announce(w http.ResponseWriter, r *http.Request, msg *wire.Announcement) {
	if msg.Phase != wire.Phase_PHASE_UP {
		a.announceDeparture(w, r, msg)
		return
	}
	if _, err := a.node.Announce(r.Context(), msg); err != nil {
		a.writeError(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	a.writeJSON(w, http.StatusOK, a.dialect.EncodeRegistered())
}

// announceDeparture notifies all replicas that an upstream leaves and acknowledges it once enough of
// them have stored it.
//
// The upstream stops soon after the acknowledgement. This replica may fail before entries have
// learned of the departure from it, and after the loss of all processes an older registration must
// not bring the upstream back.
func (a *api) announceDeparture(w http.ResponseWriter, r *http.Request, msg *wire.Announcement) {
	others := a.control.ReplicaAddresses(r.Context())
	needed := min(a.control.DurableCopies(), len(others)+1)
	stored := a.storeDeparture(r.Context(), msg, others, needed)
	kernel.Info(a.log, "An upstream leaves.", "upstream", msg.Id, "incarnation", msg.Incarnation, "addr", msg.Address, "phase", msg.Phase, "seq", msg.Seq, "stored", stored, "needed", needed, "others", len(others))
	if stored < needed {
		a.control.Metrics().Count("control.departures.unstored")
		a.writeError(w, http.StatusServiceUnavailable, fmt.Sprintf("%d replicas have stored the departure, %d are needed", stored, needed))
		return
	}
	a.control.Metrics().Count("control.departures.stored")
	a.writeJSON(w, http.StatusOK, a.dialect.EncodeRegistered())
}

// storeDeparture notifies this replica and the others. It returns how many have stored the departure
// once all have answered, or departureNotifyTimeout has passed and they are enough, or after
// departureTimeout.
func (a *api) storeDeparture(ctx context.Context, msg *wire.Announcement, others []string, needed int) (stored int) {
	ctx, cancel := context.WithTimeout(ctx, departureTimeout)
	defer cancel()
	answers := make(chan error, len(others)+1)
	go func() {
		_, err := a.node.Announce(ctx, msg)
		answers <- err
	}()
	for _, addr := range others {
		go func() {
			_, err := wire.NewDRPCDirectoryClient(a.pool.Conn(ctx, addr)).Announce(ctx, msg)
			if err != nil {
				kernel.Debug(a.log, "Replica could not be notified that an upstream leaves.", "replica", addr, "upstream", msg.Id, "err", err)
			}
			answers <- err
		}()
	}
	notifyAll := time.After(departureNotifyTimeout)
	late := false
	for answered := 0; answered <= len(others); {
		select {
		case err := <-answers:
			answered++
			if err == nil {
				stored++
			}
		case <-notifyAll:
			late = true
		case <-ctx.Done():
			return stored
		}
		if late && stored >= needed {
			return stored
		}
	}
	return stored
}
