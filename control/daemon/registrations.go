package daemon

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"time"

	"github.com/gorilla/mux"
	"google.golang.org/protobuf/proto"

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

// deregister ends the latest incarnation of an upstream that the replicas know, because the call
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
	stored, known := a.storeDeparture(r.Context(), msg, others, needed)
	if known > msg.Incarnation && namesNoRun(msg) {
		// This replica doesn't know the upstream, perhaps because it has just started.
		msg.Incarnation = known
		stored, _ = a.storeDeparture(r.Context(), msg, others, needed)
	}
	kernel.Info(a.log, "An upstream leaves.", "upstream", msg.Id, "incarnation", msg.Incarnation, "addr", msg.Address, "phase", msg.Phase, "seq", msg.Seq, "stored", stored, "needed", needed, "others", len(others))
	if stored < needed {
		a.control.Metrics().Count("control.departures.unstored")
		a.writeError(w, http.StatusServiceUnavailable, fmt.Sprintf("%d replicas have stored the departure, %d are needed", stored, needed))
		return
	}
	a.control.Metrics().Count("control.departures.stored")
	a.writeJSON(w, http.StatusOK, a.dialect.EncodeRegistered())
}

// namesNoRun reports whether a departure comes from a call that names no run of the upstream.
func namesNoRun(msg *wire.Announcement) bool { return msg.Seq == math.MaxUint64 }

// departureAnswer is a replica's answer to a departure. known is the later run that it knows, or 0.
type departureAnswer struct {
	err   error
	known uint64
}

// storeDeparture notifies this replica and the others. It returns how many have stored the departure
// once all have answered, or departureNotifyTimeout has passed and they are enough, or after
// departureTimeout; and the latest run of the upstream that one of them knows, if it is later than
// the one that leaves.
func (a *api) storeDeparture(ctx context.Context, msg *wire.Announcement, others []string, needed int) (stored int, known uint64) {
	ctx, cancel := context.WithTimeout(ctx, departureTimeout)
	defer cancel()
	msg = proto.Clone(msg).(*wire.Announcement)
	answers := make(chan departureAnswer, len(others)+1)
	go func() {
		reply, err := a.node.Announce(ctx, msg)
		answers <- departureAnswer{err, reply.GetKnownIncarnation()}
	}()
	for _, addr := range others {
		go func() {
			reply, err := wire.NewDRPCDirectoryClient(a.pool.Conn(ctx, addr)).Announce(ctx, msg)
			if err != nil {
				kernel.Debug(a.log, "Replica could not be notified that an upstream leaves.", "replica", addr, "upstream", msg.Id, "err", err)
			}
			answers <- departureAnswer{err, reply.GetKnownIncarnation()}
		}()
	}
	notifyAll := time.After(departureNotifyTimeout)
	late := false
	for answered := 0; answered <= len(others); {
		select {
		case answer := <-answers:
			answered++
			known = max(known, answer.known)
			if answer.err == nil {
				stored++
			}
		case <-notifyAll:
			late = true
		case <-ctx.Done():
			return stored, known
		}
		if late && stored >= needed {
			return stored, known
		}
	}
	return stored, known
}
