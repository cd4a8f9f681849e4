package control

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
	// maxRegistration bounds a registration, in bytes.
	maxRegistration = 64 << 10
	// spreadTimeout is how long the word that an upstream leaves may take to reach
	// the other replicas before its sender is answered.
	spreadTimeout = 400 * time.Millisecond
	// onlyIncarnation is that of upstreams that don't tell when they started: such a one
	// takes a new ID at each start. It is below all that are told.
	onlyIncarnation = 1
	// refusedRegistrationLines bounds the lines about refused registrations, a second: a
	// writer that is wrong may be wrong each time.
	refusedRegistrationLines = 4
)

func (a *api) register(w http.ResponseWriter, r *http.Request) {
	body, ok := a.readBody(w, r, maxRegistration)
	if !ok {
		return
	}
	id := mux.Vars(r)[a.dialect.Calls().InstanceID]
	msg, err := a.dialect.DecodeRegistration(id, body)
	if err != nil {
		a.refuseRegistration(w, id, err.Error())
		return
	}
	if msg.Incarnation == 0 {
		msg.Incarnation = onlyIncarnation
	}
	if a.node.Contradicts(msg) {
		a.refuseRegistration(w, id, "the same run of the upstream has registered at another address or for another service")
		return
	}
	msg.LeaseMs = uint32(a.settings.Lease.D().Milliseconds())
	a.announce(w, r, msg)
}

// refuseRegistration answers a registration that names no upstream to use. What is known
// of the ID holds: a writer that is wrong must not take away an upstream that is right.
func (a *api) refuseRegistration(w http.ResponseWriter, id, detail string) {
	if ok, leftOut := a.refusals.Take(); ok {
		kernel.Warn(a.log, "Registration refused.", "upstream", id, "detail", detail, "lines_left_out", leftOut)
	}
	a.refuse(w, http.StatusBadRequest, detail)
}

// deregister ends the run of an upstream that is known here: the call names none.
func (a *api) deregister(w http.ResponseWriter, r *http.Request) {
	id := mux.Vars(r)[a.dialect.Calls().InstanceID]
	a.announce(w, r, &wire.Announcement{
		Id: id, Role: wire.Role_ROLE_UPSTREAM, Incarnation: max(a.node.Incarnation(id), onlyIncarnation),
		Phase: wire.Phase_PHASE_GONE, Seq: math.MaxUint64,
	})
}

// announce takes what an upstream says of itself.
//
// That it leaves is told to the other replicas before it is acknowledged: from
// then on the upstream counts the seconds until it stops, and this replica may
// be lost before the entries have heard of it.
func (a *api) announce(w http.ResponseWriter, r *http.Request, msg *wire.Announcement) {
	if _, err := a.node.Announce(r.Context(), msg); err != nil {
		a.refuse(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	if msg.Phase != wire.Phase_PHASE_UP {
		told, others := a.spread(r.Context(), msg)
		kernel.Info(a.log, "An upstream leaves.", "upstream", msg.Id, "incarnation", msg.Incarnation, "addr", msg.Address, "phase", msg.Phase, "seq", msg.Seq, "told", told, "others", others)
		if others > 0 && told == 0 {
			a.refuse(w, http.StatusServiceUnavailable, "no other replica has heard of it")
			return
		}
	}
	a.write(w, http.StatusOK, a.dialect.EncodeRegistered())
}

// spread tells the other replicas of an announcement and returns how many have
// taken it.
func (a *api) spread(ctx context.Context, msg *wire.Announcement) (told, others int) {
	ctx, cancel := context.WithTimeout(ctx, spreadTimeout)
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, addr := range a.control.knownPeers(ctx) {
		others++
		wg.Add(1)
		go func() {
			defer wg.Done()
			_, err := wire.NewDRPCDirectoryClient(a.pool.Conn(ctx, addr)).Announce(ctx, msg)
			if err != nil {
				kernel.Debug(a.log, "A replica did not hear that an upstream leaves.", "replica", addr, "upstream", msg.Id, "err", err)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			told++
		}()
	}
	wg.Wait()
	return told, others
}
