// Package quickstart runs a whole small system in one process on loopback: three
// entries, four agents, and a fake upstream behind each. It serves newcomers and
// the tests of the whole path.
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

// ErrNotReady is returned when the system doesn't come up in time.
var ErrNotReady = merry.Sentinel("system did not become ready")

// TeamKey is the bearer key of the team that the quickstart makes.
const TeamKey = "quickstart-key"

// OperatorKey is the bearer key of the operator that the quickstart makes.
const OperatorKey = "quickstart-operator"

// planPeriod is shorter than the default, for a laptop's patience.
const planPeriod = 2 * time.Second

// Secret is the cluster secret of the quickstart.
const Secret = "quickstart cluster secret"

// Options of a quickstart.
type Options struct {
	Log log.Logger
	// CallersPort is the first entry's port for callers; 0 takes a free one.
	CallersPort int
	// Rows in TSV stand in for the built-in ones if not empty.
	Rows string
	// Engines and Plains are how many upstreams there are; 3 and 1 if zero.
	Engines, Plains int
	// Entries is how many entries there are, and Controls how many control
	// replicas on hosts of their own; 3 and 0 if zero. Without the latter the
	// first three entries hold the replicas.
	Entries, Controls int
	// Layout names failure domains and services; Idukki's if empty.
	Layout Layout
	// Network carries what the parts say to each other if set.
	Network *fake.Network
	// FakeDisks keeps the replicas' state in memory, as disks would: what was not
	// synced is forgotten when a part is killed.
	FakeDisks bool
	// ClaimFolders is how many entries keep their claims in data folders: those
	// with control replicas if zero, none if negative.
	ClaimFolders int
	// Keep is how long callers may keep the list of entries; 10 s if zero.
	Keep time.Duration
	// EntrySlots is how many requests an entry carries at once; the default of
	// an entry's settings if zero.
	EntrySlots int
	// Planner makes the engines one lock-step group whose row names this
	// placement plug-in; empty is no group.
	Planner string
	// PlainSlots is how many requests a plain service and its agent run at
	// once; 32 if zero. At least as many again may wait at the agent.
	PlainSlots int
	// PlainWork is the time of one request at a plain service; 1 ms if zero,
	// none if negative.
	PlainWork time.Duration
	// ClaimRound is the entries' claim_round; their default if zero.
	ClaimRound time.Duration
	// PlainTimeout is the plain service's timeout_ms; 2 s if zero.
	PlainTimeout time.Duration
}

// System is a running quickstart. Entries and Agents hold the running ones in
// their places; a part that was killed keeps its place.
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
	// ports are held for parts that are down.
	releasePorts []func()
}

const (
	defaultPlainSlots   = 32
	defaultPlainTimeout = 2 * time.Second
)

// Rows returns the built-in rows: one team, an engine service and an urgent
// plain service.
func Rows() string { return Idukki().Rows() }

// Start brings a system up.
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
		p := &fake.Plain{Server: fake.Server{Listen: address, Slots: s.opts.PlainSlots}, Work: max(s.opts.PlainWork, 0)}
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

// putRows makes the first edit, as an operator would.
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
	s.pool = transport.NewPool(transport.Security{Secret: []byte(Secret)})
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

// readyTimeout ends a start that hangs. On a busy machine, many systems side by
// side, a start takes long and succeeds.
const readyTimeout = 45 * time.Second

// WaitReady returns once every entry answers a call to every service.
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
	pools := e.Upstreams()
	return pools[s.layout.ModelPool] == s.opts.Engines && pools[s.layout.PlainPool] == s.opts.Plains && e.Ready() && e.ClaimsReady() && ctx.Err() == nil
}

// Describe prints addresses and commands that work as printed.
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

// Stop ends everything at once and removes the folder.
func (s *System) Stop() {
	if s.cancel != nil {
		s.cancel()
	}
	for _, name := range s.Names() {
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
