package control

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/snipereach/snipereach/wire"
)

const (
	modelTick = 50 * time.Millisecond
	// modelReplaceAfter, modelCatchUp: a silent voter is presumed dead after the former, and a host
	// counts as lost for the latter after it is back.
	modelReplaceAfter = 2 * time.Second
	modelCatchUp      = 4 * time.Second
	// modelReplication is how long a learner needs to catch up.
	modelReplication = 600 * time.Millisecond
	modelTarget      = 3
)

// membershipModel runs nextMembershipChange in virtual time over hosts that are lost, stopped and
// replaced within what the voters must bear: one lost host at a time.
type membershipModel struct {
	t       *rapid.T
	now     time.Duration
	members []member
	hosts   []*modelHost
	trace   []string
}

// modelHost is a host with its replica, if one runs.
type modelHost struct {
	name        string
	incarnation int
	up          bool
	// gone: it never returns. stopping: it stops as planned at stopBy at the latest.
	gone, stopping bool
	stopBy         time.Duration
	// restarts: it starts again after its planned stop.
	restarts bool
	startAt  time.Duration
	// silentSince is when it ended, lostUntil is until when it counts as lost.
	silentSince, lostUntil time.Duration
	// heldLog is whether its disk holds the log that the replica has acknowledged.
	heldLog bool
}

func (h *modelHost) id() string { return fmt.Sprintf("%s/%d", h.name, h.incarnation) }

func newMembershipModel(t *rapid.T) *membershipModel {
	m := &membershipModel{t: t}
	for i := range modelTarget {
		h := m.addHost(true)
		h.lostUntil, h.startAt = 0, -modelReplication
		m.members = append(m.members, member{Peer: &wire.Peer{Id: h.id(), FailureDomain: fmt.Sprint(i)}})
	}
	return m
}

func (m *membershipModel) addHost(heldLog bool) *modelHost {
	h := &modelHost{name: fmt.Sprintf("h%d", len(m.hosts)), incarnation: 1, up: true, heldLog: heldLog, startAt: m.now, lostUntil: m.now + modelCatchUp}
	m.hosts = append(m.hosts, h)
	return h
}

func (m *membershipModel) tracef(format string, args ...any) {
	m.trace = append(m.trace, fmt.Sprintf("%7v ", m.now)+fmt.Sprintf(format, args...))
}

// lost returns the hosts that count as lost: those that are down but not gone, or back for less
// than modelCatchUp.
func (m *membershipModel) lost() []*modelHost {
	var list []*modelHost
	for _, h := range m.hosts {
		if !h.gone && (!h.up || m.now < h.lostUntil) {
			list = append(list, h)
		}
	}
	return list
}

func (m *membershipModel) hostOf(id string) *modelHost {
	for _, h := range m.hosts {
		if h.name == ReplicaName(id) {
			return h
		}
	}
	return nil
}

// holdsLog reports whether a replica's folder can still count towards a majority.
func (m *membershipModel) holdsLog(id string) bool {
	h := m.hostOf(id)
	return h != nil && h.id() == id && h.heldLog && (h.up || !h.gone)
}

// checkSurvives fails if the log ends once all disks of a host are lost.
func (m *membershipModel) checkSurvives(h *modelHost) {
	voters, holding := 0, 0
	for _, p := range m.members {
		if p.Learner {
			continue
		}
		voters++
		if ReplicaName(p.Id) != h.name && m.holdsLog(p.Id) {
			holding++
		}
	}
	if holding <= voters/2 {
		m.t.Fatalf("the loss of %s would end the log: %d of %d voters\n%s", h.name, holding, voters, join(m.trace))
	}
}

func join(lines []string) string {
	text := ""
	for _, l := range lines {
		text += l + "\n"
	}
	return text
}

// check asks whether the log survives each loss that may come now: of any host, or only of the
// lost one if one is lost already.
func (m *membershipModel) check() {
	next := m.lost()
	switch {
	case len(next) > 1:
		return
	case len(next) == 0:
		next = m.hosts
	}
	for _, h := range next {
		m.checkSurvives(h)
	}
}

func (m *membershipModel) view() []member {
	list := make([]member, len(m.members))
	for i, p := range m.members {
		h := m.hostOf(p.Id)
		current := h.id() == p.Id
		live := current && (h.up || !h.stopping && m.now-h.silentSince < modelReplaceAfter)
		caughtUp := current && h.up && h.heldLog
		list[i] = member{Peer: p.Peer, live: live, caughtUp: caughtUp, leaving: current && h.stopping}
	}
	return list
}

// committable reports whether a majority of the voters of a membership runs.
func (m *membershipModel) committable(members []member) bool {
	voters, up := 0, 0
	for _, p := range members {
		if p.Learner {
			continue
		}
		voters++
		if h := m.hostOf(p.Id); h.id() == p.Id && h.up && h.heldLog {
			up++
		}
	}
	return up > voters/2
}

// changeMembership makes the leader's next change, if it can be committed.
func (m *membershipModel) changeMembership() {
	s := nextMembershipChange(m.view(), modelTarget)
	if s == (membershipChange{}) {
		return
	}
	var next []member
	for _, p := range m.members {
		if p.Id == s.remove {
			continue
		}
		if p.Id == s.promote {
			p.Peer = &wire.Peer{Id: p.Id, FailureDomain: p.FailureDomain}
		}
		next = append(next, p)
	}
	if !m.committable(m.members) || !m.committable(next) {
		return
	}
	m.members = next
	m.tracef("%+v", s)
}

// joinLearners adds the running replicas that the membership lacks.
func (m *membershipModel) joinLearners() {
	for _, h := range m.hosts {
		known := false
		for _, p := range m.members {
			known = known || p.Id == h.id()
		}
		if !known && h.up && !h.stopping && m.committable(m.members) {
			m.members = append(m.members, member{Peer: &wire.Peer{Id: h.id(), FailureDomain: h.name, Learner: true}})
			m.tracef("%s joins", h.id())
		}
		if h.up && m.now-h.startAt >= modelReplication {
			h.heldLog = true
		}
	}
}

// runHosts ends hosts that have handed over their votes and starts those that return.
func (m *membershipModel) runHosts() {
	for _, h := range m.hosts {
		if h.up && h.stopping && (m.now >= h.stopBy || !vacates(m.view(), h.id(), modelTarget)) {
			m.tracef("%s stops as planned", h.id())
			h.up, h.gone, h.silentSince = false, !h.restarts, m.now
			h.stopping = !h.restarts
		}
		if !h.up && !h.gone && m.now >= h.startAt {
			m.tracef("%s starts", h.id())
			h.up, h.stopping, h.lostUntil = true, false, m.now+modelCatchUp
		}
	}
}

func (m *membershipModel) tick() {
	m.now += modelTick
	m.runHosts()
	m.joinLearners()
	m.check()
	m.changeMembership()
	m.check()
}

// lose ends a host without warning, with or without its disk, for up to 3 s.
func (m *membershipModel) lose(h *modelHost) {
	wiped := rapid.Bool().Draw(m.t, "wiped")
	m.tracef("%s is lost, wiped %v", h.id(), wiped)
	h.up, h.silentSince = false, m.now
	if wiped {
		h.incarnation++
		h.heldLog = false
	}
	h.startAt = m.now + time.Duration(rapid.IntRange(1, 60).Draw(m.t, "down"))*modelTick
}

// voterHosts returns the running hosts whose replicas vote.
func (m *membershipModel) voterHosts() []*modelHost {
	var list []*modelHost
	for _, p := range m.members {
		if h := m.hostOf(p.Id); !p.Learner && h.up && h.id() == p.Id && !h.stopping {
			list = append(list, h)
		}
	}
	return list
}

// spares counts the running hosts beyond the voters that have had modelCatchUp.
func (m *membershipModel) spares() int {
	n := -modelTarget
	for _, h := range m.hosts {
		if h.up && !h.stopping && m.now >= h.lostUntil {
			n++
		}
	}
	return n
}

// act draws one event that may come now.
func (m *membershipModel) act() {
	lost := m.lost()
	var stopping int
	for _, h := range m.hosts {
		if h.up && h.stopping {
			stopping++
		}
	}
	switch rapid.SampledFrom([]string{"wait", "wait", "lose", "lose", "replace", "restart", "add"}).Draw(m.t, "event") {
	case "lose":
		// The lost host may be lost again; another one only if none is.
		targets := lost
		if len(lost) == 0 && stopping == 0 {
			targets = m.voterHosts()
		}
		if len(targets) == 1 && !targets[0].up || len(targets) == 0 || len(lost) > 1 {
			return
		}
		m.lose(rapid.SampledFrom(targets).Draw(m.t, "host"))
	case "replace":
		if voters := m.voterHosts(); m.spares() > 0 && len(lost) == 0 && len(voters) > 0 {
			m.stop(rapid.SampledFrom(voters).Draw(m.t, "host"), false)
		}
	case "restart":
		if voters := m.voterHosts(); len(lost) == 0 && stopping == 0 && len(voters) > 0 {
			m.stop(rapid.SampledFrom(voters).Draw(m.t, "host"), true)
		}
	case "add":
		if len(lost) == 0 && len(m.hosts) < 9 {
			for range rapid.IntRange(1, 2).Draw(m.t, "added") {
				m.tracef("%s starts, new", m.addHost(false).id())
			}
		}
	}
}

// stop tells a host to stop as planned. A host that starts again counts as lost while it is down.
func (m *membershipModel) stop(h *modelHost, restarts bool) {
	m.tracef("%s is told to stop, restarts %v", h.id(), restarts)
	h.stopping, h.restarts, h.stopBy = true, restarts, m.now+voteHandoverTimeout
	h.startAt = m.now + voteHandoverTimeout + time.Duration(rapid.IntRange(1, 40).Draw(m.t, "down"))*modelTick
}

// From the moment at which no host counts as lost, the log must survive the next loss, in every
// order of starts, planned stops, restarts and losses with and without the disk; and that of the
// lost host once more before.
func TestLogSurvivesNextLoss(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMembershipModel(t)
		for range rapid.IntRange(1, 25).Draw(t, "events") {
			m.act()
			for range rapid.IntRange(1, 100).Draw(t, "ticks") {
				m.tick()
			}
		}
	})
}
