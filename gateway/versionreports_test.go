package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/directory"
	"github.com/snipereach/snipereach/wire"
)

// startedGateway returns a gateway without a configuration that knows three replicas.
func startedGateway() *Gateway {
	g := &Gateway{now: func() time.Time { return start }, targets: directory.NewTargets("e", "x", []string{"a", "b", "c"})}
	g.targets.UpdateReplicas([]*wire.DirectoryReplica{{Address: "a", FailureDomain: "x"}})
	return g
}

func unconfirmed(version uint64) *wire.RoutingVersion {
	return &wire.RoutingVersion{Version: version, ConfirmedAgeMs: uint32(time.Hour.Milliseconds())}
}

// Guards against gateways that refuse everything after the loss of all processes until a leader has been
// elected, though the replicas have the configuration on their disks.
func TestConfigurationIsTakenWhileAllReplicasLackALeader(t *testing.T) {
	g := startedGateway()
	g.reports.record("a", versionReport{version: 7})
	assert.Assert(t, !g.wantsVersion(unconfirmed(7), start), "one of three replicas may be cut off")
	g.reports.record("b", versionReport{version: 8})
	assert.Assert(t, !g.wantsVersion(unconfirmed(7), start), "another replica has a later one")
	assert.Assert(t, g.wantsVersion(unconfirmed(8), start))
}

// Guards against a configuration that has been replaced, from replicas that are cut off from the leader.
func TestConfigurationWaitsForACurrentReplica(t *testing.T) {
	g := startedGateway()
	g.reports.record("a", versionReport{version: 7})
	g.reports.record("b", versionReport{version: 7})
	g.reports.record("c", versionReport{version: 9, current: true})
	assert.Assert(t, !g.wantsVersion(unconfirmed(7), start))
	assert.Assert(t, g.wantsVersion(&wire.RoutingVersion{Version: 9, ConfirmedAgeMs: 20}, start))
	g.reports.remove("c")
	assert.Assert(t, g.wantsVersion(unconfirmed(7), start))
}

// Guards against a decision by the few replicas that settings name, before the others are known.
func TestConfigurationWaitsUntilTheReplicasAreKnown(t *testing.T) {
	g := startedGateway()
	g.targets = directory.NewTargets("e", "x", []string{"a"})
	g.reports.record("a", versionReport{version: 7})
	assert.Assert(t, !g.wantsVersion(unconfirmed(7), start))
}
