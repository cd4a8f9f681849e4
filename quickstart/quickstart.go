// Package quickstart runs a whole small system in one process on loopback: three
// entries, four agents, and a fake upstream behind each. It serves newcomers and
// the tests of the whole path.
package quickstart

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/go-kit/log"

	"github.com/snipereach/snipereach/agent"
	"github.com/snipereach/snipereach/control"
	"github.com/snipereach/snipereach/entry"
	"github.com/snipereach/snipereach/fake"
	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/operators"
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

const secret = "quickstart cluster secret"

// Options of a quickstart.
type Options struct {
	Log log.Logger
	// CallersPort is the first entry's port for callers; 0 takes a free one.
	CallersPort int
	// Rows in TSV stand in for the built-in ones if not empty.
	Rows string
	// Engines and Plains are how many upstreams there are; 3 and 1 if zero.
	Engines, Plains int
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
}

// System is a running quickstart.
type System struct {
	Entries []*entry.Entry
	Agents  []*agent.Agent
	Engines []*fake.Engine
	Plains  []*fake.Plain
	// Group is the engines' group, or nil.
	Group *fake.Group

	opts    Options
	cancel  context.CancelFunc
	dir     string
	members []string
	pool    *transport.Pool
}

const defaultPlainSlots = 32

var domains = []string{"hall-a", "hall-b", "hall-c"}

// Rows returns the built-in rows: one team, an engine service and an urgent
// plain service.
func Rows() string {
	digest := sha256.Sum256([]byte(TeamKey))
	return strings.Join([]string{
		"pool\tlm\tslots=8",
		"pool\tclock\tslots=32",
		"service\tpushpa-lm\tkind=engine\tpool=lm\tidempotent=yes",
		"service\tclock-core\tkind=plain\tpool=clock\tpriority=urgent\ttimeout_ms=2000",
		"team\tgrowers\tkey_sha256=" + hex.EncodeToString(digest[:]) + "\tmax_priority=urgent",
		"",
	}, "\n")
}

// Start brings a system up.
func Start(ctx context.Context, opts Options) (*System, error) {
	if opts.Engines == 0 {
		opts.Engines = 3
	}
	if opts.Plains == 0 {
		opts.Plains = 1
	}
	if opts.PlainSlots == 0 {
		opts.PlainSlots = defaultPlainSlots
	}
	if opts.PlainWork == 0 {
		opts.PlainWork = time.Millisecond
	}
	if opts.Rows == "" {
		opts.Rows = Rows()
	}
	if opts.Planner != "" {
		opts.Rows += groupRow(opts)
	}
	dir, err := os.MkdirTemp("", "snipereach-quickstart-")
	if err != nil {
		return nil, err
	}
	s := &System{opts: opts, dir: dir}
	if err := s.start(ctx); err != nil {
		s.Stop()
		return nil, err
	}
	return s, nil
}

func (s *System) start(ctx context.Context) error {
	if err := s.startEntries(ctx); err != nil {
		return err
	}
	if err := s.putRows(ctx); err != nil {
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
		if err := s.startAgent(ctx, fmt.Sprintf("lm-%d", i+1), "engine", "lm", e.URL(), i); err != nil {
			return err
		}
	}
	for i := range s.opts.Plains {
		p := &fake.Plain{Server: fake.Server{Slots: s.opts.PlainSlots}, Work: max(s.opts.PlainWork, 0)}
		if err := p.Start(); err != nil {
			return err
		}
		s.Plains = append(s.Plains, p)
		if err := s.startAgent(ctx, fmt.Sprintf("clock-%d", i+1), "plain", "clock", p.URL(), i); err != nil {
			return err
		}
	}
	return nil
}

// startEntries starts three entries, each with a control replica.
func (s *System) startEntries(ctx context.Context) error {
	var listeners []net.Listener
	for range domains {
		lis, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		listeners = append(listeners, lis)
		s.members = append(s.members, lis.Addr().String())
	}
	for i, lis := range listeners {
		e, err := entry.New(s.entrySettings(i, lis), s.opts.Log)
		if err != nil {
			return err
		}
		s.Entries = append(s.Entries, e)
		if err := e.Start(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (s *System) entrySettings(i int, lis net.Listener) *entry.Settings {
	set := entry.DefaultSettings()
	set.ID = fmt.Sprintf("entry-%d", i+1)
	set.FailureDomain = domains[i]
	set.ClusterSecret = secret
	set.Operators = "127.0.0.1:0"
	digest := sha256.Sum256([]byte(OperatorKey))
	set.Operator = []operators.Operator{{Name: "quickstart", KeySHA256: hex.EncodeToString(digest[:])}}
	set.InternalListener = lis
	ctl := control.DefaultSettings()
	ctl.DataDir = filepath.Join(s.dir, set.ID)
	ctl.Members = s.members
	ctl.FormCluster = true
	ctl.Groups.PlanPeriod = kernel.Duration(planPeriod)
	set.Control = &ctl
	if s.opts.Keep > 0 {
		set.Keep = kernel.Duration(s.opts.Keep)
	}
	if s.opts.EntrySlots > 0 {
		set.Slots = s.opts.EntrySlots
	}
	if i == 0 && s.opts.CallersPort != 0 {
		set.Callers = fmt.Sprintf("127.0.0.1:%d", s.opts.CallersPort)
	}
	return set
}

// putRows makes the first edit, as an operator would.
func (s *System) putRows(ctx context.Context) error {
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
	s.pool = transport.NewPool(transport.Security{Secret: []byte(secret)})
	client := control.NewClient(s.pool, s.members, "quickstart")
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

func (s *System) startAgent(ctx context.Context, id, kind, pool, url string, i int) error {
	set := agent.DefaultSettings()
	set.ID = id
	set.FailureDomain = domains[i%len(domains)]
	set.ClusterSecret = secret
	set.Kind = kind
	set.Pools = []string{pool}
	set.Upstream = map[string]any{"url": url}
	if kind == "plain" {
		set.Slots = s.opts.PlainSlots
		set.MaxQueue = max(set.MaxQueue, set.Slots)
	}
	if kind == "engine" && s.Group != nil {
		set.Group, set.Rank = s.Group.Name, uint32(i)
	}
	set.AnnounceTo = s.members
	a, err := agent.New(set, s.opts.Log)
	if err != nil {
		return err
	}
	if err := a.Start(ctx); err != nil {
		return err
	}
	s.Agents = append(s.Agents, a)
	return nil
}

// readyTimeout bounds WaitReady.
const readyTimeout = 15 * time.Second

// WaitReady returns once every entry answers a call to every service.
func (s *System) WaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, e := range s.Entries {
		for !s.ready(ctx, e) {
			select {
			case <-ctx.Done():
				return merry.Prepend(ErrNotReady, e.CallerAddress())
			case <-time.After(50 * time.Millisecond):
			}
		}
	}
	return nil
}

func (s *System) ready(ctx context.Context, e *entry.Entry) bool {
	pools := e.Upstreams()
	return pools["lm"] == s.opts.Engines && pools["clock"] == s.opts.Plains && e.Ready() && e.ClaimsReady() && ctx.Err() == nil
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
	for _, e := range s.Entries {
		e.Stop()
	}
	for _, a := range s.Agents {
		a.Stop()
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
	_ = os.RemoveAll(s.dir)
}
