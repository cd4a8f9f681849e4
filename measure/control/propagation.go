package main

import (
	"context"
	"fmt"
	"net"
	"path/filepath"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-kit/log"

	"github.com/snipereach/snipereach/control"
	"github.com/snipereach/snipereach/entry"
	"github.com/snipereach/snipereach/transport"
	"github.com/snipereach/snipereach/wire"
)

const (
	propagationEntries      = 7
	propagationReplicas     = 3
	editInterval            = 20 * time.Millisecond
	propagationPollInterval = 500 * time.Microsecond
)

// entrySet is a set of entries, some of them with a control replica.
type entrySet struct {
	list   []*entry.Entry
	addrs  []string
	pool   *transport.Pool
	client *control.Client
}

// measurePropagation measures the time from the acceptance of an edit until all entries
// report that it is in force. A second run kills one of the entries with a replica
// halfway, and from then on waits for the remaining ones only.
func measurePropagation(ctx context.Context, o options) error {
	for _, kill := range []bool{false, true} {
		h, err := propagationOnce(ctx, o, kill)
		if err != nil {
			return err
		}
		fmt.Printf("%d entries, one with a replica killed %v: edits %d, in force everywhere after p50 %.1fms, p99 %.1fms, max %.1fms\n",
			propagationEntries, kill, h.TotalCount(), float64(h.ValueAtQuantile(50))/1000, float64(h.ValueAtQuantile(99))/1000, float64(h.Max())/1000)
	}
	return nil
}

func propagationOnce(ctx context.Context, o options, kill bool) (*hdrhistogram.Histogram, error) {
	es, err := startEntries(ctx, filepath.Join(o.Dir, fmt.Sprintf("force-%v", kill)))
	if err != nil {
		return nil, err
	}
	defer es.stop()
	h := hdrhistogram.New(1, maxLatency, 3)
	began := time.Now()
	alive := es.list
	for n := uint64(0); time.Since(began) < 2*o.time(); n++ {
		if kill && len(alive) == propagationEntries && time.Since(began) > o.time() {
			es.list[0].Stop()
			alive = es.list[1:]
		}
		reply, err := es.edit(ctx, n)
		if err != nil {
			return nil, err
		}
		_ = h.RecordValue(waitPropagation(alive, reply.Revision).Microseconds())
		time.Sleep(editInterval)
	}
	return h, nil
}

// waitPropagation waits until all entries have a revision in force, or waitTimeout has
// passed, and returns the time it waited.
func waitPropagation(list []*entry.Entry, revision uint64) time.Duration {
	began := time.Now()
	for {
		lagging := false
		for _, e := range list {
			lagging = lagging || e.Revision() < revision
		}
		if !lagging || time.Since(began) > waitTimeout {
			return time.Since(began)
		}
		time.Sleep(propagationPollInterval)
	}
}

func (es *entrySet) edit(ctx context.Context, n uint64) (*wire.EditReply, error) {
	ctx, cancel := context.WithTimeout(ctx, waitTimeout)
	defer cancel()
	e := &wire.TableEdit{EditId: fmt.Sprint("force-", n), By: "operator-1", Rows: []*wire.RowEdit{
		{Kind: "pool", Key: "lm", BaseVersion: n, Columns: map[string]string{"slots": fmt.Sprint(1 + n%64)}},
	}}
	for {
		reply, err := es.client.Edit(ctx, e)
		if err == nil && reply.Status != wire.EditStatus_EDIT_STATUS_ACCEPTED {
			return nil, fmt.Errorf("%w: %s", errNotAccepted, reply.Detail)
		}
		if err == nil {
			return reply, nil
		}
		if ctx.Err() != nil {
			return nil, err
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func startEntries(ctx context.Context, dir string) (*entrySet, error) {
	es := &entrySet{pool: transport.NewPool(security)}
	var listeners []net.Listener
	for range propagationReplicas {
		lis, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		listeners = append(listeners, lis)
		es.addrs = append(es.addrs, lis.Addr().String())
	}
	for i := range propagationEntries {
		set := entry.DefaultSettings()
		set.ID, set.FailureDomain = fmt.Sprintf("entry-%d", i+1), fmt.Sprintf("hall-%d", i%3)
		set.ClusterSecret = string(security.Secret)
		set.ControlReplicas = es.addrs
		if i < propagationReplicas {
			ctl := control.DefaultSettings()
			ctl.DataDir, ctl.Members, ctl.FormCluster = filepath.Join(dir, set.ID), es.addrs, true
			set.Control, set.InternalListener = &ctl, listeners[i]
		}
		e, err := entry.New(set, log.NewNopLogger())
		if err != nil {
			return nil, err
		}
		if err := e.Start(ctx); err != nil {
			return nil, err
		}
		es.list = append(es.list, e)
	}
	es.client = control.NewClient(es.pool, es.addrs, "measure")
	return es, es.waitReady(ctx)
}

// waitReady waits until a first edit is in force at all entries.
func (es *entrySet) waitReady(ctx context.Context) error {
	e := &wire.TableEdit{EditId: "first", By: "operator-1", Rows: []*wire.RowEdit{{Kind: "pool", Key: "first"}}}
	end := time.Now().Add(waitTimeout)
	for time.Now().Before(end) {
		reply, err := es.client.Edit(ctx, e)
		if err == nil && reply.Status == wire.EditStatus_EDIT_STATUS_ACCEPTED && waitPropagation(es.list, reply.Revision) < waitTimeout {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("entries were not ready within %v", waitTimeout)
}

func (es *entrySet) stop() {
	for _, e := range es.list {
		e.Stop()
	}
	es.pool.Close()
}
