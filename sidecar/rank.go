// Package sidecar reads and orders a rank of a group in lock-step, by HTTP: from
// the process beside the rank, where that is free and fresh, or from another host.
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

// awaitPoll is the time between two looks at a rank that copies: a tenth of the time
// that a copy takes, for a look that costs the process beside it 0.1 ms.
const awaitPoll = 15 * time.Millisecond

// maxReading bounds one answer of a rank: a hundred thousand numbers.
const maxReading = 4 << 20

// Rank is a rank at an HTTP address.
type Rank struct {
	client  *direct.Client
	dialect dialect.Ranks
	addr    string
	// answer is how long an order's answer is waited for before the rank is asked
	// for its state instead.
	answer time.Duration
	// choices are told to leaders as what has been added.
	choices lockstep.Choices
	maps    knownMaps
}

// NewRank makes a rank that is called through a client. Its orders are answered, or
// known to have no answer, within a time.
func NewRank(client *direct.Client, d dialect.Ranks, addr string, answer time.Duration) *Rank {
	return &Rank{client: client, dialect: d, addr: addr, answer: answer}
}

// Read returns the rank's state, once the rank has prepared what the request awaits.
func (r *Rank) Read(ctx context.Context, req *wire.ReadRankRequest) (*wire.RankReading, error) {
	calls := r.dialect.RankCalls()
	out := &wire.RankReading{}
	var err error
	if out.Report, out.WaitedMs, err = r.await(ctx, req); err != nil {
		return nil, err
	}
	if req.Counts {
		_, err = get(ctx, r, calls.Counts, req.Instance, func(body []byte) (none struct{}, err error) {
			var counts []uint64
			if out.Epoch, counts, err = r.dialect.DecodeCounts(body); err == nil {
				out.Chosen = lockstep.PackChoices(r.choices.Since(req.Reader, out.Report.Incarnation, counts))
			}
			return none, err
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

// await reads the rank's report, again and again while it has not prepared the version
// that the request awaits. waitedMs is when it read the one that it returns.
func (r *Rank) await(ctx context.Context, req *wire.ReadRankRequest) (report *wire.RankReport, waitedMs uint32, err error) {
	came := time.Now()
	limit := time.Duration(req.AwaitMs) * time.Millisecond
	for {
		waited := time.Since(came)
		report, err = get(ctx, r, r.dialect.RankCalls().Report, req.Instance, r.dialect.DecodeReport)
		if err != nil || req.AwaitPrepared == 0 || report.Prepared == req.AwaitPrepared || waited >= limit {
			return report, uint32(waited.Milliseconds()), err
		}
		select {
		case <-ctx.Done():
			return report, uint32(waited.Milliseconds()), nil
		case <-time.After(awaitPoll):
		}
	}
}

// Order gives an order. Its status is unknown if the answer doesn't come.
func (r *Rank) Order(ctx context.Context, o *wire.RankOrder) (*wire.RankOrderReply, error) {
	reply := &wire.RankOrderReply{}
	experts, err := lockstep.DecodeMap(o.Map, r.maps.get)
	switch {
	case errors.Is(err, lockstep.ErrNoBase):
		reply.Status = wire.RankOrderStatus_RANK_ORDER_STATUS_NO_BASE
	case err != nil:
		return nil, err
	default:
		r.maps.keep(o.Version, experts)
		reply.Status = r.give(ctx, o, experts)
	}
	after, err := r.Read(ctx, &wire.ReadRankRequest{Instance: o.Instance})
	if err == nil {
		reply.After = after.Report
	}
	return reply, nil
}

// give sends an order to the rank; its status is unknown if no answer comes.
func (r *Rank) give(ctx context.Context, o *wire.RankOrder, experts lockstep.Map) wire.RankOrderStatus {
	ctx, cancel := context.WithTimeout(ctx, r.answer)
	defer cancel()
	status, _, err := r.call(ctx, r.dialect.RankCalls().Order, o.Instance, r.dialect.EncodeOrder(o, experts))
	if err != nil {
		return wire.RankOrderStatus_RANK_ORDER_STATUS_UNKNOWN
	}
	return r.dialect.OrderStatus(status)
}

// mostMaps is how many maps are kept: the one in force, one that is prepared, and those of a
// switch or two that were given up.
const mostMaps = 4

// knownMaps are the latest maps that orders to this rank carried. A version has one content:
// versions begin with the fencing token of the leader that made them.
type knownMaps struct {
	mu   sync.Mutex
	list []versionedMap
}

type versionedMap struct {
	version uint64
	experts lockstep.Map
}

func (k *knownMaps) get(version uint64) lockstep.Map {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, m := range k.list {
		if m.version == version {
			return m.experts
		}
	}
	return nil
}

func (k *knownMaps) keep(version uint64, experts lockstep.Map) {
	if experts == nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.list = slices.DeleteFunc(k.list, func(m versionedMap) bool { return m.version == version })
	k.list = append(k.list, versionedMap{version, experts})
	if len(k.list) > mostMaps {
		k.list = slices.Delete(k.list, 0, 1)
	}
}

func get[T any](ctx context.Context, r *Rank, c dialect.Call, instance string, decode func([]byte) (T, error)) (T, error) {
	var none T
	status, body, err := r.call(ctx, c, instance, nil)
	if err != nil {
		return none, err
	}
	if status != http.StatusOK {
		return none, merry.Prependf(ErrRead, "status %d", status)
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
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReading))
	if err != nil {
		return 0, nil, merry.Prepend(ErrRead, err.Error())
	}
	return resp.Status, data, nil
}
