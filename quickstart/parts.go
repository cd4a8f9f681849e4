package quickstart

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"

	"github.com/ansel1/merry/v2"

	"github.com/snipereach/snipereach/agent"
	"github.com/snipereach/snipereach/control"
	"github.com/snipereach/snipereach/control/daemon"
	"github.com/snipereach/snipereach/entry"
	"github.com/snipereach/snipereach/fake"
	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/operators"
	"github.com/snipereach/snipereach/transport"
)

// ErrPart is returned for a part that does not exist or is in the wrong state.
var ErrPart = merry.Sentinel("no such part, or part is in the wrong state")

// Role is the kind of daemon that a part runs.
type Role int

// Roles of parts.
const (
	RoleEntry Role = iota
	RoleAgent
	RoleControl
)

// part is one process of the system: how to start it, any number of times, and the
// daemon while it runs.
type part struct {
	name, domain string
	role         Role
	// operatorAddr is the address of the operator HTTP interface.
	operatorAddr string
	dataDir      string
	// disk, if set, replaces dataDir.
	disk *fake.Disk
	// claimsDisk replaces the data directory of an entry's claims if disk is set.
	claimsDisk *fake.Disk
	start      func(ctx context.Context) (kernel.Daemon, error)
	daemon     kernel.Daemon
	upstream   *fake.Server
	clock      fake.Clock
}

// maxReplicas bounds how many entries hold control replicas.
const maxReplicas = 3

func (s *System) addPart(ctx context.Context, p *part) error {
	s.mu.Lock()
	s.parts[p.name] = p
	s.order = append(s.order, p.name)
	s.mu.Unlock()
	return s.StartPart(ctx, p.name)
}

// PartNames returns the names of all parts, running or not, in the order of their first
// start.
func (s *System) PartNames() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.order...)
}

// Layout returns the layout that the system was started with.
func (s *System) Layout() Layout { return s.layout }

// PartInfo describes a part.
type PartInfo struct {
	Name, FailureDomain string
	Role                Role
	Running             bool
	// Upstream is the fake upstream of an agent; nil for other parts.
	Upstream *fake.Server
}

// Part describes a part. It returns false if there is no part of this name.
func (s *System) Part(name string) (PartInfo, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.parts[name]
	if p == nil {
		return PartInfo{}, false
	}
	return PartInfo{Name: p.name, FailureDomain: p.domain, Role: p.role, Running: p.daemon != nil, Upstream: p.upstream}, true
}

// Entry returns the entry of this name, or nil if it does not run.
func (s *System) Entry(name string) *entry.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.parts[name]; p != nil {
		e, _ := p.daemon.(*entry.Entry)
		return e
	}
	return nil
}

// Agent returns the agent of this name, or nil if it does not run.
func (s *System) Agent(name string) *agent.Agent {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.parts[name]; p != nil {
		a, _ := p.daemon.(*agent.Agent)
		return a
	}
	return nil
}

// OperatorAddress returns the operator HTTP address of a part, running or not. It is
// empty if there is no such part.
func (s *System) OperatorAddress(name string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.parts[name]; p != nil {
		return p.operatorAddr
	}
	return ""
}

// ControlAddresses returns the drpc addresses of the control replicas.
func (s *System) ControlAddresses() []string { return append([]string(nil), s.controlAddrs...) }

// StartPart starts a stopped part, like a new process on the same host. It returns
// ErrPart if there is no such part or it runs.
func (s *System) StartPart(ctx context.Context, name string) error {
	s.mu.Lock()
	p := s.parts[name]
	down := p != nil && p.daemon == nil
	s.mu.Unlock()
	if !down {
		return merry.Prependf(ErrPart, "start %s", name)
	}
	d, err := p.start(ctx)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p.daemon = d
	return nil
}

// takeDaemon marks a part as stopped and returns its daemon, or nil if it does not
// run.
func (s *System) takeDaemon(name string) kernel.Daemon {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.parts[name]
	if p == nil {
		return nil
	}
	d := p.daemon
	p.daemon = nil
	return d
}

// Freeze stops the clock of a part until Thaw is called; see fake.Clock.
func (s *System) Freeze(name string) { s.withClock(name, (*fake.Clock).Freeze) }

// Thaw undoes Freeze.
func (s *System) Thaw(name string) { s.withClock(name, (*fake.Clock).Thaw) }

func (s *System) withClock(name string, change func(*fake.Clock)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.parts[name]; p != nil {
		change(&p.clock)
	}
}

// Kill stops a part at once. Fake disks lose what was not synced. It returns how
// many requests were aborted.
func (s *System) Kill(name string) int {
	d := s.takeDaemon(name)
	if d == nil {
		return 0
	}
	// A daemon that is blocked on a frozen clock cannot stop.
	s.Thaw(name)
	cut := d.Stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.parts[name]; p.disk != nil {
		p.disk.Crash(0)
		p.claimsDisk.Crash(0)
	}
	return cut
}

// Drain drains a part as SIGTERM does and then kills it. It returns how many
// requests were aborted.
func (s *System) Drain(ctx context.Context, name string) (int, error) {
	s.mu.Lock()
	var d kernel.Daemon
	if p := s.parts[name]; p != nil {
		d = p.daemon
	}
	s.mu.Unlock()
	if d == nil {
		return 0, merry.Prependf(ErrPart, "drain %s", name)
	}
	err := d.Drain(ctx)
	return s.Kill(name), err
}

// WipeDisk deletes the data of a stopped part. It returns ErrPart if the part runs
// or has no data directory.
func (s *System) WipeDisk(name string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.parts[name]
	if p == nil || p.daemon != nil || p.dataDir == "" {
		return merry.Prependf(ErrPart, "lose the disk of %s", name)
	}
	if p.disk != nil {
		p.disk, p.claimsDisk = fake.NewDisk(), fake.NewDisk()
		return nil
	}
	return os.RemoveAll(p.dataDir)
}

// assignStorage gives a part a data directory and, with Options.FakeDisks, the fake
// disks that replace it.
func (s *System) assignStorage(p *part) {
	p.dataDir = filepath.Join(s.dir, p.name)
	if s.opts.FakeDisks {
		p.disk, p.claimsDisk = fake.NewDisk(), fake.NewDisk()
	}
}

func (s *System) dialer(name string) transport.DialFunc {
	if s.opts.Network == nil {
		return nil
	}
	return s.opts.Network.Dialer(name)
}

func (s *System) nameAddress(address, name string) {
	if s.opts.Network != nil {
		s.opts.Network.Register(address, name)
	}
}

// reservePorts reserves free loopback ports until the system stops, so that a part
// can listen on the same address after a restart.
func (s *System) reservePorts(n int) ([]string, error) {
	var list []string
	for range n {
		address, release, err := fake.ReservePort()
		if err != nil {
			return nil, err
		}
		s.releasePorts = append(s.releasePorts, release)
		list = append(list, address)
	}
	return list, nil
}

// startControls starts the dedicated control replicas, if any.
func (s *System) startControls(ctx context.Context) error {
	addresses, err := s.reservePorts(s.opts.Controls)
	if err != nil {
		return err
	}
	operators, err := s.reservePorts(s.opts.Controls)
	if err != nil {
		return err
	}
	for i, address := range addresses {
		s.controlAddrs = append(s.controlAddrs, address)
		s.nameAddress(address, fmt.Sprintf("control-%d", i+1))
	}
	for i := range addresses {
		if err := s.startControl(ctx, i, operators[i]); err != nil {
			return err
		}
	}
	return nil
}

func (s *System) startControl(ctx context.Context, i int, operators string) error {
	p := &part{
		name: fmt.Sprintf("control-%d", i+1), domain: s.layout.domain(i),
		role: RoleControl, operatorAddr: operators,
	}
	s.nameAddress(operators, p.name)
	s.assignStorage(p)
	p.start = func(ctx context.Context) (kernel.Daemon, error) {
		set := daemon.DefaultSettings()
		set.ID, set.FailureDomain, set.ClusterSecret = p.name, p.domain, ClusterSecret
		set.Listen, set.OperatorsListen = s.controlAddrs[i], operators
		set.Control = s.controlSettings(p)
		set.Dial = s.dialer(p.name)
		d, err := daemon.New(set, s.opts.Log)
		return startDaemon(ctx, d, err)
	}
	return s.addPart(ctx, p)
}

// startDaemon starts a newly created daemon, and stops it if the start fails. A
// non-nil err is the error of its creation and is returned.
func startDaemon(ctx context.Context, d kernel.Daemon, err error) (kernel.Daemon, error) {
	if err != nil {
		return nil, err
	}
	if err := d.Start(ctx); err != nil {
		d.Stop()
		return nil, err
	}
	return d, nil
}

func (s *System) controlSettings(p *part) control.Settings {
	set := control.DefaultSettings()
	set.DataDir = p.dataDir
	set.Now = p.clock.Now
	if p.disk != nil {
		set.FS = p.disk
	}
	set.Members = s.controlAddrs
	set.FormCluster = true
	set.Groups.PlanPeriod = kernel.Duration(planPeriod)
	return set
}

// startEntries starts the entries. The first maxReplicas of them hold the control
// replicas unless there are dedicated ones.
func (s *System) startEntries(ctx context.Context) error {
	internal, err := s.reservePorts(s.opts.Entries)
	if err != nil {
		return err
	}
	for i, address := range internal {
		s.nameAddress(address, fmt.Sprintf("entry-%d", i+1))
		if s.opts.Controls == 0 && i < maxReplicas {
			s.controlAddrs = append(s.controlAddrs, address)
		}
	}
	s.Entries = make([]*entry.Entry, s.opts.Entries)
	for i, address := range internal {
		if err := s.startEntry(ctx, i, address); err != nil {
			return err
		}
	}
	return nil
}

func (s *System) startEntry(ctx context.Context, i int, internal string) error {
	p := &part{name: fmt.Sprintf("entry-%d", i+1), domain: s.layout.domain(i), role: RoleEntry}
	replica := s.opts.Controls == 0 && i < maxReplicas
	durable := replica && s.opts.DurableClaimEntries == 0 || i < s.opts.DurableClaimEntries
	if replica || durable {
		s.assignStorage(p)
	}
	reserved, err := s.reservePorts(2)
	if err != nil {
		return err
	}
	callers, operators := reserved[0], reserved[1]
	if i == 0 && s.opts.CallerPort != 0 {
		callers = fmt.Sprintf("127.0.0.1:%d", s.opts.CallerPort)
	}
	s.nameAddress(callers, p.name)
	s.nameAddress(operators, p.name)
	p.operatorAddr = operators
	p.start = func(ctx context.Context) (kernel.Daemon, error) {
		set := s.entrySettings(p, replica)
		set.Callers, set.Operators, set.Internal = callers, operators, internal
		s.claimSettings(set, p, durable)
		e, err := entry.New(set, s.opts.Log)
		d, err := startDaemon(ctx, e, err)
		if err != nil {
			return nil, err
		}
		s.mu.Lock()
		s.Entries[i] = e
		s.mu.Unlock()
		return d, nil
	}
	return s.addPart(ctx, p)
}

// claimSettings sets the claim round and where an entry stores its claims.
func (s *System) claimSettings(set *entry.Settings, p *part, durable bool) {
	if s.opts.ClaimRound > 0 {
		set.ClaimRoundTimeout = kernel.Duration(s.opts.ClaimRound)
	}
	set.ClaimsDataDir = ""
	switch {
	case durable && p.claimsDisk != nil:
		set.ClaimsFS = p.claimsDisk
	case durable:
		set.ClaimsDataDir = filepath.Join(p.dataDir, entry.ClaimsDirName)
	}
}

func (s *System) entrySettings(p *part, replica bool) *entry.Settings {
	set := entry.DefaultSettings()
	set.ID, set.FailureDomain, set.ClusterSecret = p.name, p.domain, ClusterSecret
	digest := sha256.Sum256([]byte(OperatorKey))
	set.Operator = []operators.Operator{{Name: "quickstart", KeySHA256: hex.EncodeToString(digest[:])}}
	set.Dial, set.Now = s.dialer(p.name), p.clock.Now
	set.ControlReplicas = s.controlAddrs
	if replica {
		ctl := s.controlSettings(p)
		set.Control = &ctl
	}
	if s.opts.EntrySlots > 0 {
		set.Slots = s.opts.EntrySlots
	}
	if s.opts.EntryListTTL > 0 {
		set.EntryListTTL = kernel.Duration(s.opts.EntryListTTL)
	}
	return set
}

func (s *System) startAgent(ctx context.Context, kind, pool, url string, i int, up *fake.Server) error {
	p := &part{
		name: fmt.Sprintf("%s-%d", pool, i+1), domain: s.layout.domain(i),
		role: RoleAgent, upstream: up,
	}
	reserved, err := s.reservePorts(2)
	if err != nil {
		return err
	}
	listen, operators := reserved[0], reserved[1]
	s.nameAddress(listen, p.name)
	s.nameAddress(operators, p.name)
	p.operatorAddr = operators
	index := len(s.Agents)
	s.Agents = append(s.Agents, nil)
	p.start = func(ctx context.Context) (kernel.Daemon, error) {
		set := agent.DefaultSettings()
		set.ID, set.FailureDomain, set.ClusterSecret = p.name, p.domain, ClusterSecret
		set.Kind, set.Pools, set.Upstream = kind, []string{pool}, map[string]any{"url": url}
		set.AnnounceTo, set.Dial, set.Now = s.controlAddrs, s.dialer(p.name), p.clock.Now
		set.Listen, set.Operators = listen, operators
		if kind == "plain" {
			set.Slots = up.Slots
			set.MaxQueue = max(set.MaxQueue, set.Slots)
		}
		if kind == "engine" && s.Group != nil {
			set.Group, set.Rank = s.Group.Name, uint32(i)
		}
		a, err := agent.New(set, s.opts.Log)
		d, err := startDaemon(ctx, a, err)
		if err != nil {
			return nil, err
		}
		s.mu.Lock()
		s.Agents[index] = a
		s.mu.Unlock()
		return d, nil
	}
	return s.addPart(ctx, p)
}
