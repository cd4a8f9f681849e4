// Package quickstart runs a small but complete system in one process on loopback:
// by default three entries, and four agents with a fake upstream each. It is used
// for trying out the system and for end-to-end tests.
package quickstart

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/go-kit/log"

	"github.com/snipereach/snipereach/agent"
	"github.com/snipereach/snipereach/control"
	"github.com/snipereach/snipereach/entry"
	"github.com/snipereach/snipereach/fake"
	"github.com/snipereach/snipereach/table"
	"github.com/snipereach/snipereach/transport"
	"github.com/snipereach/snipereach/wire"
)

// ErrNotReady is returned if the system does not become ready in time or rejects
// its initial rows.
var ErrNotReady = merry.Sentinel("system did not become ready")

// TeamKey is the bearer key of the quickstart's team.
const TeamKey = "quickstart-key"

// OperatorKey is the bearer key of the quickstart's operator.
const OperatorKey = "quickstart-operator"

// planPeriod is how often placement is planned.
const planPeriod = 2 * time.Second

// ClusterSecret is the cluster secret of the quickstart.
const ClusterSecret = "quickstart cluster secret"

// Options of a quickstart.
type Options struct {
	Log log.Logger
	// CallerPort is the caller port of the first entry; 0 selects a free one.
	CallerPort int
	// Rows, in TSV, replaces the built-in table rows if not empty.
	Rows string
	// Engines and Plains are the numbers of upstreams; 3 and 1 if zero.
	Engines, Plains int
	// Entries is the number of entries; 3 if zero. Controls is the number of
	// dedicated control replicas; if zero, the first three entries hold the
	// replicas.
	Entries, Controls int
	// Layout names failure domains and services; Idukki if it has no domains.
	Layout Layout
	// Network, if set, carries the connections between parts and can cut or delay
	// them.
	Network *fake.Network
	// FakeDisks keeps durable state on fake disks in memory. A killed part loses
	// what was not synced.
	FakeDisks bool
	// DurableClaimEntries is how many entries store their claims durably: those with
	// control replicas if zero, none if negative.
	DurableClaimEntries int
	// EntryListTTL is how long callers may cache the list of entries; the entries' default
	// if zero.
	EntryListTTL time.Duration
	// EntrySlots is the concurrency limit of an entry; the entries' default if
	// zero.
	EntrySlots int
	// Planner is the placement module for a lock-step group of all engines; empty
	// means no group.
	Planner string
	// PlainSlots is the concurrency limit of a plain service and its agent; 32 if
	// zero. The agent's queue holds at least as many requests.
	PlainSlots int
	// PlainWork is the duration of one request at a plain service; 1 ms if zero, 0
	// if negative.
	PlainWork time.Duration
	// ClaimRound is the entries' claim_round; the entries' default if zero.
	ClaimRound time.Duration
	// PlainTimeout is the plain service's timeout_ms; 2 s if zero.
	PlainTimeout time.Duration
}

// System is a running quickstart. A killed entry or agent stays in Entries or
// Agents until StartPart replaces it.
type System struct {
	Entries []*entry.Entry
	Agents  []*agent.Agent
	Engines []*fake.Engine
	Plains  []*fake.Plain
	// Group is the engines' group, or nil.
	Group *fake.Group

	opts         Options
	cancel       context.CancelFunc
	layout       Layout
	dir          string
	controlAddrs []string
	pool         *transport.Pool

	mu    sync.Mutex
	parts map[string]*part
	order []string
	// releasePorts release the ports reserved for the parts.
	releasePorts []func()
}

const (
	defaultPlainSlots   = 32
	defaultPlainTimeout = 2 * time.Second
)

// Rows returns the built-in table rows, those of Idukki.
func Rows() string { return Idukki().Rows() }

// Start starts a system. It does not wait until the system is ready; see WaitReady.
func Start(ctx context.Context, opts Options) (*System, error) {
	if opts.Engines == 0 {
		opts.Engines = 3
	}
	if opts.Plains == 0 {
		opts.Plains = 1
	}
	if opts.Entries == 0 {
		opts.Entries = 3
	}
	if len(opts.Layout.Domains) == 0 {
		opts.Layout = Idukki()
	}
	if opts.PlainSlots == 0 {
		opts.PlainSlots = defaultPlainSlots
	}
	if opts.PlainWork == 0 {
		opts.PlainWork = time.Millisecond
	}
	if opts.PlainTimeout == 0 {
		opts.PlainTimeout = defaultPlainTimeout
	}
	if opts.Rows == "" {
		opts.Rows = opts.Layout.rows(opts.PlainSlots, opts.PlainTimeout)
	}
	if opts.Planner != "" {
		opts.Rows += groupRow(opts)
	}
	dir, err := os.MkdirTemp("", "snipereach-quickstart-")
	if err != nil {
		return nil, err
	}
	s := &System{opts: opts, layout: opts.Layout, dir: dir, parts: map[string]*part{}}
	if err := s.start(ctx); err != nil {
		s.Stop()
		return nil, err
	}
	return s, nil
}

func (s *System) start(ctx context.Context) error {
	if err := s.startControls(ctx); err != nil {
		return err
	}
	if err := s.startEntries(ctx); err != nil {
		return err
	}
	if err := s.putInitialRows(ctx); err != nil {
		return err
	}
	var groupCtx context.Context
	groupCtx, s.cancel = context.WithCancel(ctx)
	s.startGroup(groupCtx)
	for i := range s.opts.Engines {
		e := &fake.Engine{Server: fake.Server{Slots: 8}, Step: 5 * time.Millisecond, Group: s.Group, Rank: i, CacheBlocks: 1024}
		if err := e.Start(); err != nil {
			return err
		}
		s.Engines = append(s.Engines, e)
		if err := s.startAgent(ctx, "engine", s.layout.ModelPool, e.URL(), i, &e.Server); err != nil {
			return err
		}
	}
	addresses, err := s.reservePorts(s.opts.Plains)
	if err != nil {
		return err
	}
	for i, address := range addresses {
		p := &fake.Plain{Server: fake.Server{Listen: address, Slots: s.opts.PlainSlots}, WorkTime: max(s.opts.PlainWork, 0)}
		if err := p.Start(); err != nil {
			return err
		}
		s.Plains = append(s.Plains, p)
		if err := s.startAgent(ctx, "plain", s.layout.PlainPool, p.URL(), i, &p.Server); err != nil {
			return err
		}
	}
	return nil
}

// putInitialRows writes the table rows through the control replicas. It retries
// until readyTimeout, as there may be no leader yet.
func (s *System) putInitialRows(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	rows, err := table.ReadTSV(strings.NewReader(s.opts.Rows))
	if err != nil {
		return err
	}
	edit := &wire.TableEdit{EditId: "quickstart", By: "quickstart"}
	for _, r := range rows {
		edit.Rows = append(edit.Rows, &wire.RowEdit{Kind: r.Kind, Key: r.Key, Columns: r.Columns})
	}
	s.pool = transport.NewPool(transport.Security{Secret: []byte(ClusterSecret)})
	client := control.NewClient(s.pool, s.controlAddrs, "quickstart")
	for {
		reply, err := client.Edit(ctx, edit)
		if err == nil && reply.Status != wire.EditStatus_EDIT_STATUS_ACCEPTED {
			return merry.Prepend(ErrNotReady, reply.Detail)
		}
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return merry.Prepend(ErrNotReady, err.Error())
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// readyTimeout bounds a start that hangs. It leaves time for many systems that start
// on one busy machine.
const readyTimeout = 45 * time.Second

// WaitReady waits until every entry is ready and knows all upstreams. It returns
// ErrNotReady after readyTimeout.
func (s *System) WaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, e := range s.Entries {
		for !s.entryReady(ctx, e) {
			select {
			case <-ctx.Done():
				return merry.Prepend(ErrNotReady, e.CallerAddress())
			case <-time.After(50 * time.Millisecond):
			}
		}
	}
	return nil
}

func (s *System) entryReady(ctx context.Context, e *entry.Entry) bool {
	pools := e.UpstreamCounts()
	return pools[s.layout.ModelPool] == s.opts.Engines && pools[s.layout.PlainPool] == s.opts.Plains && e.Ready() && e.ClaimsReady() && ctx.Err() == nil
}

// Describe prints the addresses of the system and example commands.
func (s *System) Describe(w io.Writer) {
	fmt.Fprintln(w, "Snipereach is running. Entries:")
	for _, e := range s.Entries {
		fmt.Fprintf(w, "  callers http://%s  operators http://%s\n", e.CallerAddress(), e.OperatorAddress())
	}
	addr := s.Entries[0].CallerAddress()
	fmt.Fprintf(w, `
Try:
  curl -s http://%[1]s/v1/entries
  curl -s http://%[1]s/v1/chat/completions -H 'Authorization: Bearer %[2]s' -d '{"model":"pushpa-lm","max_tokens":8,"messages":[{"role":"user","content":"Describe a lot of jasmine."}]}'
  curl -sN http://%[1]s/v1/chat/completions -H 'Authorization: Bearer %[2]s' -d '{"model":"pushpa-lm","stream":true,"max_tokens":8,"messages":[{"role":"user","content":"Describe a lot of jasmine."}]}'
  curl -s -X POST http://%[1]s/services/clock-core/lots/17/confirm -H 'Authorization: Bearer %[2]s' -H 'Idempotency-Key: bid-17' -d '{}'
  curl -s http://%[1]s/v1/chat/completions -H 'Authorization: Bearer wrong' -d '{}'

Operators' page: http://%[3]s/ with the key %[4]s, or
  export SNIPEREACH_SERVER=http://%[3]s SNIPEREACH_KEY=%[4]s
  go run ./cmd/snipereachctl status

Stop with Ctrl-C.
`, addr, TeamKey, s.Entries[0].OperatorAddress(), OperatorKey)
}

// Stop kills all parts, stops the fake upstreams and removes the data directory.
func (s *System) Stop() {
	if s.cancel != nil {
		s.cancel()
	}
	for _, name := range s.PartNames() {
		s.Kill(name)
	}
	for _, e := range s.Engines {
		e.Close()
	}
	for _, p := range s.Plains {
		p.Close()
	}
	if s.pool != nil {
		s.pool.Close()
	}
	for _, release := range s.releasePorts {
		release()
	}
	s.releasePorts = nil
	_ = os.RemoveAll(s.dir)
}
