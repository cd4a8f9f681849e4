package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"github.com/snipereach/snipereach/control"
	"github.com/snipereach/snipereach/internal/meter"
	"github.com/snipereach/snipereach/transport"
	"github.com/snipereach/snipereach/wire"
)

var security = transport.Security{Secret: []byte("a secret of the measurement")}

// waitTimeout bounds every wait for the cluster.
const waitTimeout = 30 * time.Second

var errNotAccepted = errors.New("edit was not accepted")

// cluster is a set of control replicas with their files and sockets.
type cluster struct {
	dir      string
	settings control.Settings
	addrs    []string
	replicas []*replica
	pool     *transport.Pool
	client   *control.Client
	edits    atomic.Int64
}

type replica struct {
	ctl  *control.Control
	srv  *transport.Server
	pool *transport.Pool
	lis  *meter.Listener
}

func newCluster(ctx context.Context, dir string, n int, change func(*control.Settings)) (*cluster, error) {
	c := &cluster{dir: dir, settings: control.DefaultSettings(), pool: transport.NewPool(security), replicas: make([]*replica, n)}
	var listeners []net.Listener
	for range n {
		lis, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		listeners = append(listeners, lis)
		c.addrs = append(c.addrs, lis.Addr().String())
	}
	c.settings.Members = c.addrs
	c.settings.FormCluster = true
	if change != nil {
		change(&c.settings)
	}
	for i, lis := range listeners {
		if _, err := c.start(ctx, i, lis); err != nil {
			return nil, err
		}
	}
	c.client = control.NewClient(c.pool, c.addrs, "measure")
	return c, c.waitHealthy(ctx)
}

// start starts a replica and returns how long it took to read its files.
func (c *cluster) start(ctx context.Context, i int, lis net.Listener) (time.Duration, error) {
	var err error
	if lis == nil {
		if lis, err = net.Listen("tcp", c.addrs[i]); err != nil {
			return 0, err
		}
	}
	s := c.settings
	s.DataDir = filepath.Join(c.dir, fmt.Sprint(i))
	r := &replica{srv: transport.NewServer(security), pool: transport.NewPool(security), lis: &meter.Listener{Listener: lis}}
	if r.ctl, err = control.New(s, log.NewNopLogger(), r.pool); err != nil {
		return 0, err
	}
	if err := r.ctl.Register(r.srv.Mux); err != nil {
		return 0, err
	}
	go r.srv.Serve(ctx, r.lis)
	began := time.Now()
	info := control.ReplicaInfo{Name: fmt.Sprintf("c%d", i), Address: c.addrs[i], FailureDomain: fmt.Sprintf("hall-%d", i)}
	if err := r.ctl.Start(ctx, info); err != nil {
		return 0, err
	}
	c.replicas[i] = r
	return time.Since(began), nil
}

func (c *cluster) stop(i int) {
	r := c.replicas[i]
	if r == nil {
		return
	}
	c.replicas[i] = nil
	_ = r.lis.Close()
	r.srv.Close()
	r.ctl.Stop()
	r.pool.Close()
}

func (c *cluster) close() {
	for i := range c.replicas {
		c.stop(i)
	}
	c.pool.Close()
	_ = os.RemoveAll(c.dir)
}

// waitHealthy waits until all replicas are members and the health is HealthOK.
func (c *cluster) waitHealthy(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, waitTimeout)
	defer cancel()
	for {
		reply, err := c.members(ctx)
		if err == nil && reply.Health == control.HealthOK && len(reply.Members) == len(c.addrs) {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("cluster is not healthy: %w", ctx.Err())
		case <-time.After(20 * time.Millisecond):
		}
	}
}

func (c *cluster) members(ctx context.Context) (*wire.MembersReply, error) {
	var reply *wire.MembersReply
	err := c.client.Call(ctx, func(ctx context.Context, cc wire.DRPCControlClient) (err error) {
		reply, err = cc.Members(ctx, &wire.MembersRequest{Verb: control.VerbList})
		return err
	})
	return reply, err
}

// leader returns the index of the leader.
func (c *cluster) leader(ctx context.Context) (int, error) {
	reply, err := c.members(ctx)
	if err != nil {
		return 0, err
	}
	for _, m := range reply.Members {
		for i, a := range c.addrs {
			if m.Leader && m.Address == a {
				return i, nil
			}
		}
	}
	return 0, errors.New("no leader")
}

// newEdit returns an edit of a team's row with a new edit ID and of a realistic size.
func (c *cluster) newEdit(key string, version uint64) *wire.TableEdit {
	n := c.edits.Add(1)
	return &wire.TableEdit{
		EditId: fmt.Sprintf("edit-%012d", n), By: "operator-1",
		Rows: []*wire.RowEdit{{Kind: "team", Key: key, BaseVersion: version, Columns: map[string]string{
			"key_sha256": sha256Hex(key), "max_priority": "normal", "contact": fmt.Sprintf("desk %d, extension %d", n%97, n%1009),
		}}},
	}
}

func (c *cluster) edit(ctx context.Context, key string, version uint64) (*wire.EditReply, error) {
	return c.send(ctx, c.newEdit(key, version))
}

func (c *cluster) send(ctx context.Context, e *wire.TableEdit) (*wire.EditReply, error) {
	reply, err := c.client.Edit(ctx, e)
	if err != nil {
		return nil, err
	}
	if reply.Status != wire.EditStatus_EDIT_STATUS_ACCEPTED {
		return reply, fmt.Errorf("%w: %v %s", errNotAccepted, reply.Status, reply.Detail)
	}
	return reply, nil
}
