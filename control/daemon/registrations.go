package daemon

import (
	"context"
	"math"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/wire"
)

const (
	// maxRegistrationBytes bounds the body of a registration.
	maxRegistrationBytes = 64 << 10
	// departureNotifyTimeout bounds how long an upstream that leaves waits for the other
	// replicas to be notified.
	departureNotifyTimeout = 400 * time.Millisecond
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
//
// If the upstream leaves, other replicas are notified before the call is acknowledged: the
// upstream stops soon after the acknowledgement, and this replica may fail before entries
// have learned of the departure from it. With other replicas, at least one must accept it.
func (a *api) announce(w http.ResponseWriter, r *http.Request, msg *wire.Announcement) {
	if _, err := a.node.Announce(r.Context(), msg); err != nil {
		a.writeError(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	if msg.Phase != wire.Phase_PHASE_UP {
		notified, others := a.notifyReplicas(r.Context(), msg)
		kernel.Info(a.log, "An upstream leaves.", "upstream", msg.Id, "incarnation", msg.Incarnation, "addr", msg.Address, "phase", msg.Phase, "seq", msg.Seq, "told", notified, "others", others)
		if others > 0 && notified == 0 {
			a.writeError(w, http.StatusServiceUnavailable, "no other replica could be notified")
			return
		}
	}
	a.writeJSON(w, http.StatusOK, a.dialect.EncodeRegistered())
}

// notifyReplicas sends an announcement to the other replicas. It returns how many accepted it,
// and how many there are.
func (a *api) notifyReplicas(ctx context.Context, msg *wire.Announcement) (notified, others int) {
	ctx, cancel := context.WithTimeout(ctx, departureNotifyTimeout)
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, addr := range a.control.ReplicaAddresses(ctx) {
		others++
		wg.Add(1)
		go func() {
			defer wg.Done()
			_, err := wire.NewDRPCDirectoryClient(a.pool.Conn(ctx, addr)).Announce(ctx, msg)
			if err != nil {
				kernel.Debug(a.log, "Replica could not be notified that an upstream leaves.", "replica", addr, "upstream", msg.Id, "err", err)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			notified++
		}()
	}
	wg.Wait()
	return notified, others
}
