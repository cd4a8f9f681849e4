package lockstep

import (
	"slices"

	"github.com/ansel1/merry/v2"
	"google.golang.org/protobuf/proto"

	"github.com/snipereach/snipereach/wire"
)

// ErrNoBase is returned for a map that is encoded as changes to an unknown map.
var ErrNoBase = merry.Sentinel("unknown base of an expert map")

// baseRoundRobin is the version that stands for the round-robin map.
const baseRoundRobin = 0

// roundRobinMap assigns the experts of each set to the ranks in turn.
func roundRobinMap(ranks, sets, experts int) Map {
	m := make(Map, sets)
	for set := range m {
		m[set] = make([][]uint32, ranks)
		for e := range experts {
			m[set][e%ranks] = append(m[set][e%ranks], uint32(e))
		}
	}
	return m
}

// encode returns the map as orders carry it: in full, or as changes to the round-robin map if
// that is shorter, as for a newly formed group.
func (m Map) encode() []byte {
	out := &wire.ExpertMap{}
	for _, ranks := range m {
		out.Ranks = uint32(len(ranks))
		for _, experts := range ranks {
			out.Counts = append(out.Counts, uint32(len(experts)))
			out.Experts = append(out.Experts, experts...)
		}
	}
	full := marshalMap(out)
	if changes := m.encodeChanges(roundRobinMap(int(out.Ranks), len(m), m.experts()), baseRoundRobin); len(changes) < len(full) {
		return changes
	}
	return full
}

// encodeChanges encodes the lists of experts, by set and rank, that differ from a base with the
// given version. This is much smaller than the full map, as a switch changes few of them.
func (m Map) encodeChanges(base Map, version uint64) []byte {
	changes := &wire.MapChanges{Base: version, Sets: uint32(len(m)), Experts: uint32(m.experts())}
	out := &wire.ExpertMap{Changes: changes}
	for set, ranks := range m {
		out.Ranks = uint32(len(ranks))
		for r, experts := range ranks {
			if slices.Equal(experts, base[set][r]) {
				continue
			}
			changes.Changed = append(changes.Changed, uint32(set*len(ranks)+r))
			out.Counts = append(out.Counts, uint32(len(experts)))
			out.Experts = append(out.Experts, experts...)
		}
	}
	return marshalMap(out)
}

// experts returns the number of experts in a set, which is the highest expert plus one.
func (m Map) experts() int {
	n := 0
	for _, ranks := range m {
		for _, experts := range ranks {
			for _, e := range experts {
				n = max(n, int(e)+1)
			}
		}
	}
	return n
}

func marshalMap(m *wire.ExpertMap) []byte {
	data, err := proto.Marshal(m)
	if err != nil {
		// The message has only integer fields, which always encode.
		panic(err)
	}
	return data
}

// Limits of a decoded map. A cell is the list of experts of one rank in one set.
const (
	maxCells   = 1 << 20
	maxExperts = 1 << 16
)

// DecodeMap decodes the map that an order carries, nil if it carries none. base returns the map
// of a version, nil if it is unknown; ErrNoBase is returned in that case, and an ErrMap error
// for malformed data.
func DecodeMap(data []byte, base func(version uint64) Map) (Map, error) {
	if len(data) == 0 {
		return nil, nil
	}
	in := &wire.ExpertMap{}
	if err := proto.Unmarshal(data, in); err != nil {
		return nil, merry.Prepend(ErrMap, err.Error())
	}
	ranks := int(in.Ranks)
	if ranks == 0 {
		return nil, merry.Prepend(ErrMap, "no ranks")
	}
	if c := in.Changes; c != nil {
		m, err := baseOf(c, ranks, base)
		if err != nil {
			return nil, err
		}
		return m, m.fill(in, c.Changed)
	}
	if len(in.Counts)%ranks != 0 {
		return nil, merry.Prependf(ErrMap, "%d counts for %d ranks", len(in.Counts), ranks)
	}
	m := make(Map, len(in.Counts)/ranks)
	cells := make([]uint32, len(in.Counts))
	for i := range cells {
		cells[i] = uint32(i)
	}
	for set := range m {
		m[set] = make([][]uint32, ranks)
	}
	return m, m.fill(in, cells)
}

// baseOf returns a copy of the map that changes are based on. It shares the lists of experts
// with it.
func baseOf(c *wire.MapChanges, ranks int, base func(version uint64) Map) (Map, error) {
	if uint64(ranks)*uint64(c.Sets) > maxCells || c.Experts > maxExperts {
		return nil, merry.Prependf(ErrMap, "%d ranks, %d sets of %d experts", ranks, c.Sets, c.Experts)
	}
	if c.Base == baseRoundRobin {
		return roundRobinMap(ranks, int(c.Sets), int(c.Experts)), nil
	}
	known := base(c.Base)
	if known == nil {
		return nil, merry.Prependf(ErrNoBase, "version %d", c.Base)
	}
	if len(known) != int(c.Sets) || len(known) == 0 || len(known[0]) != ranks {
		return nil, merry.Prependf(ErrMap, "shape differs from that of base %d", c.Base)
	}
	m := make(Map, len(known))
	for set := range known {
		m[set] = slices.Clone(known[set])
	}
	return m, nil
}

// fill sets the given cells to the lists of a message.
func (m Map) fill(in *wire.ExpertMap, cells []uint32) error {
	ranks, experts := int(in.Ranks), in.Experts
	if len(cells) != len(in.Counts) {
		return merry.Prependf(ErrMap, "%d counts for %d lists", len(in.Counts), len(cells))
	}
	for i, n := range in.Counts {
		if int(n) > len(experts) {
			return merry.Prependf(ErrMap, "list is missing %d experts", int(n)-len(experts))
		}
		set, rank := int(cells[i])/ranks, int(cells[i])%ranks
		if set >= len(m) {
			return merry.Prependf(ErrMap, "set %d out of range, map has %d", set, len(m))
		}
		m[set][rank] = experts[:n:n]
		experts = experts[n:]
	}
	return nil
}
