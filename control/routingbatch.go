package control

import (
	"google.golang.org/protobuf/proto"

	"github.com/snipereach/snipereach/wire"
)

// routingBatch tells which routing configurations of the entries that are applied together need not be
// decoded, since another one of them has a higher version.
//
// A replica that starts applies all of its log at once. Decoding hundreds of configurations, each with
// hundreds of routes, kept replicas with a small part of a core from taking part for seconds, and all
// replicas that were lost together from having a leader.
type routingBatch struct {
	// versions has the versions by log index, latest is the highest of them and latestIndex the first
	// entry that has it.
	versions            map[uint64]uint64
	latest, latestIndex uint64
}

func newRoutingBatch(entries []*wire.LogEntry) *routingBatch {
	b := &routingBatch{}
	if len(entries) < 2 {
		return b
	}
	b.versions = make(map[uint64]uint64)
	for _, e := range entries {
		version := compressedRoutingVersion(e)
		if version == 0 {
			continue
		}
		b.versions[e.Index] = version
		if version > b.latest {
			b.latest, b.latestIndex = version, e.Index
		}
	}
	return b
}

// compressedRoutingVersion returns the version of the routing configuration that an entry holds in
// compressed form, or 0.
func compressedRoutingVersion(e *wire.LogEntry) uint64 {
	if e.Type != wire.EntryType_ENTRY_TYPE_COMMAND || len(e.Data) == 0 {
		return 0
	}
	c := &wire.Command{}
	if err := proto.Unmarshal(e.Data, c); err != nil || c.Rules > commandVersion {
		// The error is found again where the entry is applied.
		return 0
	}
	return c.RoutingVersion
}

// supersedes reports whether an entry holds a routing configuration that need not be decoded, and its
// version.
func (b *routingBatch) supersedes(e *wire.LogEntry) (version uint64, ok bool) {
	version, ok = b.versions[e.Index]
	return version, ok && e.Index != b.latestIndex
}

// applyInBatch applies an entry of a batch. The result is as of apply, nil for an entry without a command.
func (m *machine) applyInBatch(e *wire.LogEntry, b *routingBatch) (any, error) {
	if e.Type != wire.EntryType_ENTRY_TYPE_COMMAND {
		return nil, nil
	}
	version, ok := b.supersedes(e)
	if !ok {
		return m.apply(e.Index, e.Data)
	}
	accepted := m.routing.Supersede(version)
	return routingResult{accepted: accepted, version: m.routing.Version()}, nil
}
