// Package sidecar implements the daemon beside each rank of a lock-step group. It reads
// the rank's state and gives it orders over HTTP, and relays such calls to other sidecars.
package sidecar

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/snipereach/snipereach/dialect"
	"github.com/snipereach/snipereach/direct"
	"github.com/snipereach/snipereach/lockstep"
	"github.com/snipereach/snipereach/wire"
)

// ErrRead is returned when a rank's state can't be read.
var ErrRead = merry.Sentinel("rank can't be read")

// awaitPollInterval is the time between two reads of a rank that is preparing a version.
// It is short compared with the time that a copy of experts takes.
const awaitPollInterval = 15 * time.Millisecond

// maxResponseBody bounds the body of one response of a rank, in bytes.
const maxResponseBody = 4 << 20

// Rank is a client of the rank at an HTTP address.
type Rank struct {
	client  *direct.Client
	dialect dialect.Ranks
	addr    string
	// orderTimeout bounds the wait for the answer to an order. After it, the order's
	// status is unknown.
	orderTimeout time.Duration
	// choices computes the increments of the rank's counters for each leader.
	choices    lockstep.ChoiceCounter
	recentMaps recentMaps
}

// NewRank creates a Rank that calls addr through a client. An order without an answer
// within orderTimeout has an unknown status.
func NewRank(client *direct.Client, d dialect.Ranks, addr string, orderTimeout time.Duration) *Rank {
	return &Rank{client: client, dialect: d, addr: addr, orderTimeout: orderTimeout}
}

// Read returns the rank's state. If the request awaits a version, Read waits until the
// rank has prepared it, at most for the request's AwaitMs.
func (r *Rank) Read(ctx context.Context, req *wire.ReadRankRequest) (*wire.RankReading, error) {
	calls := r.dialect.RankCalls()
	out := &wire.RankReading{}
	var err error
	if out.Report, out.WaitedMs, err = r.awaitPrepared(ctx, req); err != nil {
		return nil, err
	}
	if req.Counts {
		_, err = get(ctx, r, calls.Counts, req.Instance, func(body []byte) (zero struct{}, err error) {
			var counts []uint64
			if out.Epoch, counts, err = r.dialect.DecodeCounts(body); err == nil {
				out.Chosen = lockstep.PackChoices(r.choices.Delta(req.Reader, out.Report.Incarnation, counts))
			}
			return zero, err
		})
		if err != nil {
			return nil, err
		}
	}
	if req.HeldExperts {
		if out.Held, err = get(ctx, r, calls.Held, req.Instance, r.dialect.DecodeHeld); err != nil {
			return nil, err
		}
	}
	return out, nil
}

// awaitPrepared reads the rank's report until the rank has prepared the version that the
// request awaits or the wait ends. waitedMs is the time from the start to the read of the
// returned report.
func (r *Rank) awaitPrepared(ctx context.Context, req *wire.ReadRankRequest) (report *wire.RankReport, waitedMs uint32, err error) {
	start := time.Now()
	limit := time.Duration(req.AwaitMs) * time.Millisecond
	for {
		waited := time.Since(start)
		report, err = get(ctx, r, r.dialect.RankCalls().Report, req.Instance, r.dialect.DecodeReport)
		if err != nil || req.AwaitPrepared == 0 || report.Prepared == req.AwaitPrepared || waited >= limit {
			return report, uint32(waited.Milliseconds()), err
		}
		select {
		case <-ctx.Done():
			return report, uint32(waited.Milliseconds()), nil
		case <-time.After(awaitPollInterval):
		}
	}
}

// Order sends an order to the rank and reads the rank's state after it. The status is
// unknown if the rank's answer is missing, and NO_BASE if the order's map is a difference
// to a map that isn't known here.
func (r *Rank) Order(ctx context.Context, o *wire.RankOrder) (*wire.RankOrderReply, error) {
	reply := &wire.RankOrderReply{}
	experts, err := lockstep.DecodeMap(o.Map, r.recentMaps.get)
	switch {
	case errors.Is(err, lockstep.ErrNoBase):
		reply.Status = wire.RankOrderStatus_RANK_ORDER_STATUS_NO_BASE
	case err != nil:
		return nil, err
	default:
		r.recentMaps.add(o.Version, experts)
		reply.Status = r.sendOrder(ctx, o, experts)
	}
	after, err := r.Read(ctx, &wire.ReadRankRequest{Instance: o.Instance})
	if err == nil {
		reply.After = after.Report
	}
	return reply, nil
}

// sendOrder sends an order to the rank. It returns the status UNKNOWN if the call fails.
func (r *Rank) sendOrder(ctx context.Context, o *wire.RankOrder, experts lockstep.Map) wire.RankOrderStatus {
	ctx, cancel := context.WithTimeout(ctx, r.orderTimeout)
	defer cancel()
	status, _, err := r.call(ctx, r.dialect.RankCalls().Order, o.Instance, r.dialect.EncodeOrder(o, experts))
	if err != nil {
		return wire.RankOrderStatus_RANK_ORDER_STATUS_UNKNOWN
	}
	return r.dialect.OrderStatus(status)
}

// maxRecentMaps allows for the map in force, a prepared one, and those of two aborted
// switches.
const maxRecentMaps = 4

// recentMaps holds the latest expert maps of orders to this rank. A version identifies its
// content, because versions begin with the fencing token of the leader that created them.
type recentMaps struct {
	mu   sync.Mutex
	list []versionedMap
}

type versionedMap struct {
	version uint64
	experts lockstep.Map
}

func (k *recentMaps) get(version uint64) lockstep.Map {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, m := range k.list {
		if m.version == version {
			return m.experts
		}
	}
	return nil
}

func (k *recentMaps) add(version uint64, experts lockstep.Map) {
	if experts == nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.list = slices.DeleteFunc(k.list, func(m versionedMap) bool { return m.version == version })
	k.list = append(k.list, versionedMap{version, experts})
	if len(k.list) > maxRecentMaps {
		k.list = slices.Delete(k.list, 0, 1)
	}
}

func get[T any](ctx context.Context, r *Rank, c dialect.Call, instance string, decode func([]byte) (T, error)) (T, error) {
	var zero T
	status, body, err := r.call(ctx, c, instance, nil)
	if err != nil {
		return zero, err
	}
	if status != http.StatusOK {
		return zero, merry.Prependf(ErrRead, "status %d", status)
	}
	return decode(body)
}

func (r *Rank) call(ctx context.Context, c dialect.Call, instance string, body []byte) (int, []byte, error) {
	h := http.Header{}
	r.dialect.SetInstance(h, instance)
	if body != nil {
		h.Set("Content-Type", "application/json")
	}
	req := &direct.Request{Method: c.Method, URI: c.Path, Host: r.addr, Header: h, Body: body}
	resp, err := r.client.Do(ctx, r.addr, req, func(int, http.Header) bool { return true })
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBody))
	if err != nil {
		return 0, nil, merry.Prepend(ErrRead, err.Error())
	}
	return resp.Status, data, nil
}
