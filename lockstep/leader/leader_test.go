package leader

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/snipereach/snipereach/dialect"
	"github.com/snipereach/snipereach/direct"
	"github.com/snipereach/snipereach/directory"
	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/lockstep"
	"github.com/snipereach/snipereach/transport"
	"github.com/snipereach/snipereach/wire"
)

// groupSidecar serves as the sidecar of all ranks of a group. The group makes no passes.
type groupSidecar struct {
	wire.DRPCSidecarUnimplementedServer

	mu    sync.Mutex
	ranks map[string]*wire.RankReport
	// armsUnanswered says that arm orders get lost.
	armsUnanswered bool
	// reportAge is the age of the reports of rank r-1.
	reportAge time.Duration
}

func (s *groupSidecar) Read(_ context.Context, req *wire.ReadRankRequest) (*wire.RankReading, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &wire.RankReading{Report: s.report(req.Instance), Epoch: 1}, nil
}

func (s *groupSidecar) report(instance string) *wire.RankReport {
	r := s.ranks[instance]
	report := &wire.RankReport{Step: r.Step, Map: r.Map, Prepared: r.Prepared, Armed: r.Armed, ArmedStep: r.ArmedStep, Held: r.Held, Pace: 1}
	if instance == "r-1" {
		report.AgeMs = uint32(s.reportAge.Milliseconds())
	}
	return report
}

func (s *groupSidecar) Order(_ context.Context, o *wire.RankOrder) (*wire.RankOrderReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.ranks[o.Instance]
	switch o.Kind {
	case wire.RankOrderKind_RANK_ORDER_KIND_PREPARE:
		r.Prepared = o.Version
	case wire.RankOrderKind_RANK_ORDER_KIND_HOLD:
		r.Held = o.Step
	case wire.RankOrderKind_RANK_ORDER_KIND_ARM:
		if s.armsUnanswered {
			return &wire.RankOrderReply{After: s.report(o.Instance)}, nil
		}
		r.Armed, r.ArmedStep = o.Version, o.Step
	case wire.RankOrderKind_RANK_ORDER_KIND_GO:
		r.Held = 0
	}
	return &wire.RankOrderReply{Status: wire.RankOrderStatus_RANK_ORDER_STATUS_DONE, After: s.report(o.Instance)}, nil
}

// held reports whether a rank holds the group.
func (s *groupSidecar) held() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.ranks {
		if r.Held != 0 {
			return true
		}
	}
	return false
}

func (s *groupSidecar) setArmsUnanswered(lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.armsUnanswered = lost
}

func (s *groupSidecar) setReportAge(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reportAge = age
}

// errNoDirectCalls is the error of calls that don't go through a sidecar.
var errNoDirectCalls = errors.New("ranks are reached through their sidecars only")

// sidecarsOnly is a dialect for ranks that can't be called directly.
type sidecarsOnly struct{ dialect.Ranks }

func (sidecarsOnly) RankCalls() dialect.RankCalls                     { return dialect.RankCalls{} }
func (sidecarsOnly) SetInstance(http.Header, string)                  {}
func (sidecarsOnly) EncodeOrder(*wire.RankOrder, [][][]uint32) []byte { return nil }

// newLeaderOfGroup returns the leader of a group of two ranks that is about to switch maps. Its
// view of the directory and the log is fixed.
func newLeaderOfGroup(t *testing.T, s *groupSidecar) *Leader {
	const name, token = "g", 7
	sec := transport.Security{Secret: []byte("a secret of the tests")}
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	srv, pool := transport.NewServer(sec), transport.NewPool(sec)
	assert.NilError(t, wire.DRPCRegisterSidecar(srv.Mux, s))
	go srv.Serve(t.Context(), lis)
	t.Cleanup(func() { _ = lis.Close(); srv.Close(); pool.Close() })

	found := registeredGroup{service: "llm", size: 2, ranks: map[int]*wire.Announcement{}, latestEpoch: directory.GroupEpoch{Epoch: 1}}
	s.ranks = map[string]*wire.RankReport{}
	for i, id := range []string{"r-0", "r-1"} {
		found.ranks[i] = &wire.Announcement{Id: id, Incarnation: 1, Address: "127.0.0.1:1", FailureDomain: "z"}
		s.ranks[id] = &wire.RankReport{Step: 10}
	}
	l := &Leader{
		settings:    &Settings{SidecarPort: lis.Addr().(*net.TCPAddr).Port, ReadPeriod: kernel.Duration(10 * time.Millisecond)},
		rankDialect: sidecarsOnly{},
		client:      direct.NewClient(func(context.Context, string, string) (net.Conn, error) { return nil, errNoDirectCalls }),
		clock:       time.Now, log: log.NewNopLogger(), pool: pool, readPeriod: 10 * time.Millisecond,
		groups: map[string]*group{}, wake: make(chan struct{}, 1), metrics: kernel.NewMetrics(), publish: func(Survey) {},
		viewAt: time.Now().Add(time.Hour),
	}
	l.groups[name] = newGroup(l, name, token)
	l.view = view{groups: map[string]registeredGroup{name: found}, LogState: LogState{
		Leads: true, Tokens: map[string]uint64{name: token},
		Config: &wire.RoutingConfig{Services: []*wire.RoutedService{{Name: "llm", Engine: &wire.EngineProfile{Sets: 1, Experts: 4, Places: 3, Spare: 2}}}},
	}}
	return l
}

// tickUntil ticks until a condition holds.
func (l *Leader) tickUntil(t *testing.T, what string, ok func(g *group) bool) {
	t.Helper()
	g := l.groups["g"]
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		l.tick(t.Context(), nil)
		g.mu.Lock()
		defer g.mu.Unlock()
		if ok(g) {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(time.Millisecond))
}

// beginSwitch begins a switch for which each rank copies an expert.
func (l *Leader) beginSwitch() {
	g := l.groups["g"]
	g.mu.Lock()
	defer g.mu.Unlock()
	g.switcher.Begin(l.clock(), lockstep.Map{{{0, 2, 1}, {1, 3, 0}}})
}

// holdForSwitch begins a switch and ticks until it holds the group and waits for the ranks to
// be armed.
func (l *Leader) holdForSwitch(t *testing.T, s *groupSidecar) {
	l.awaitReady(t)
	s.setArmsUnanswered(true)
	l.beginSwitch()
	l.tickUntil(t, "the group is held", func(g *group) bool { return g.switcher.Phase() == lockstep.Arming })
	s.setArmsUnanswered(false)
}

// awaitReady ticks until a switch may begin.
func (l *Leader) awaitReady(t *testing.T) {
	t.Helper()
	l.tickUntil(t, "the ranks are read", func(g *group) bool {
		if g.switcher == nil {
			return false
		}
		g.switcher.SetCurrent(lockstep.Map{{{0, 2}, {1, 3}}})
		return g.switcher.Ready(l.clock())
	})
}

// A leader loses its lease in the middle of a switch, when the group is held. As it still
// reaches the ranks, it must finish the switch; otherwise no pass would begin until another
// leader has been elected and has released the group.
func TestLeaderFinishesSwitchAfterLosingLease(t *testing.T) {
	s := &groupSidecar{}
	l := newLeaderOfGroup(t, s)
	l.holdForSwitch(t, s)
	assert.Assert(t, s.held())
	l.view.Leads = false
	l.tickUntil(t, "the switch ends", func(g *group) bool { return g.switcher.Phase() == lockstep.Idle })
	assert.Assert(t, !s.held())
	assert.Equal(t, l.groups["g"].switcher.Outcome(), "in force")
	assert.Assert(t, !l.tick(t.Context(), nil), "nothing is left to do")
}

// A leader that lost its lease longer ago must leave a held group to the next leader, and a
// switch that doesn't hold the group yet must not go on at all.
func TestLeaderLeavesOtherSwitchesToNextLeader(t *testing.T) {
	s := &groupSidecar{}
	l := newLeaderOfGroup(t, s)
	l.holdForSwitch(t, s)
	l.view.Leads = false
	assert.Assert(t, l.finishSwitches(t.Context(), l.lastLedAt.Add(switchFinishTime)))
	assert.Assert(t, !l.finishSwitches(t.Context(), l.lastLedAt.Add(switchFinishTime+time.Millisecond)))

	l = newLeaderOfGroup(t, &groupSidecar{})
	l.tickUntil(t, "the ranks are read", func(g *group) bool { return g.switcher != nil })
	l.beginSwitch()
	l.view.Leads = false
	assert.Assert(t, !l.tick(t.Context(), nil))
}

// An operator who sees that a switch takes long must find the late rank in the log, in one line
// per switch however long the delay is.
func TestDelayedHoldIsLoggedOncePerSwitch(t *testing.T) {
	const delayed = "Hold of the group is delayed"
	var lines bytes.Buffer
	s := &groupSidecar{}
	l := newLeaderOfGroup(t, s)
	l.log = log.NewSyncLogger(log.NewLogfmtLogger(&lines))
	l.awaitReady(t)
	s.setReportAge(400 * time.Millisecond)
	l.beginSwitch()
	l.tickUntil(t, "the hold is delayed", func(g *group) bool { _, ok := g.switcher.HoldDelay(); return ok })
	for range 3 {
		l.tick(t.Context(), nil)
	}
	assert.Assert(t, !s.held())
	s.setReportAge(0)
	l.tickUntil(t, "the switch ends", func(g *group) bool { return g.switcher.Outcome() == "in force" })

	g := l.groups["g"]
	g.mu.Lock()
	defer g.mu.Unlock()
	assert.Equal(t, strings.Count(lines.String(), delayed), 1, lines.String())
	for _, line := range strings.Split(lines.String(), "\n") {
		if strings.Contains(line, delayed) {
			assert.Assert(t, strings.Contains(line, "group=g epoch=1") && strings.Contains(line, "rank=1 upstream=r-1 reading_age_ms="), line)
		}
	}
	assert.Assert(t, strings.Contains(lines.String(), "hold_delay_ms="), lines.String())
}

// A rank without a sidecar reports its state with a lag. Were that taken for lateness, each
// switch of a group without sidecars would be delayed.
func TestReportLagOfGroupWithoutSidecarsDoesNotDelayHold(t *testing.T) {
	const lag = 400 * time.Millisecond
	for _, c := range []struct {
		port int
		held bool
	}{{0, true}, {1, false}} {
		l := newLeaderOfGroup(t, &groupSidecar{})
		l.settings.SidecarPort = c.port
		g := l.groups["g"]
		g.reportLag = lag
		g.updateLinks(l.view.groups["g"], lockstep.Shape{Ranks: 2, Sets: 1, Experts: 4, Places: 3, Spare: 2})
		now := l.clock()
		g.switcher.Begin(now, lockstep.Map{{{0, 2, 1}, {1, 3, 0}}})
		for i, id := range []string{"r-0", "r-1"} {
			g.switcher.HandleReport(now, i, id, &wire.RankReport{Prepared: g.switcher.Version(), AgeMs: uint32(lag.Milliseconds())})
		}
		g.switcher.Tick(now)
		assert.Equal(t, g.switcher.HoldsGroup(), c.held, "port %d", c.port)
	}
}

// A sidecar that hadn't answered the order to hold was used as the relay of the orders that
// followed, and the group was held until that call timed out as well.
func TestSuspendedSidecarIsNotUsedAsRelay(t *testing.T) {
	const ranks = 20
	l := newLeaderOfGroup(t, &groupSidecar{})
	found := registeredGroup{service: "llm", size: ranks, ranks: map[int]*wire.Announcement{}, latestEpoch: directory.GroupEpoch{Epoch: 1}}
	for i := range ranks {
		found.ranks[i] = &wire.Announcement{Id: fmt.Sprint("r-", i), Incarnation: 1, Address: "127.0.0.1:1", FailureDomain: "z"}
	}
	g := l.groups["g"]
	g.updateLinks(found, lockstep.Shape{Ranks: ranks, Sets: 1, Experts: 40, Places: 3, Spare: 2})
	now := l.clock()
	part := g.relayPart(now, 0)
	relay, ok := g.relayFor(now, part, []int{0, 1})
	assert.Assert(t, ok)

	g.suspendSidecar(g.links[relay], false)
	other, ok := g.relayFor(l.clock(), part, []int{0, 1})
	assert.Assert(t, ok && other != relay, "rank %d relays, whose sidecar is suspended", other)
	again, ok := g.relayFor(l.clock().Add(sidecarRetryDelay), part, []int{0, 1})
	assert.Assert(t, ok && again == relay, "a suspended sidecar isn't used again")
}
