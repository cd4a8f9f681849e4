package claim

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/snipereach/snipereach/wire"
)

// RegistersPerKey is the number of registers per key.
const RegistersPerKey = 3

// Majority is the number of a key's registers that a request must hold to run.
const Majority = RegistersPerKey/2 + 1

// encodeKey returns a key as a string that is unique among keys: the lengths of
// the team and of the service precede them.
func encodeKey(k *wire.ClaimKey) string {
	b := make([]byte, 0, 64)
	b = strconv.AppendInt(b, int64(len(k.GetTeam())), 10)
	b = append(append(b, ':'), k.GetTeam()...)
	b = strconv.AppendInt(b, int64(len(k.GetService())), 10)
	b = append(append(b, ':'), k.GetService()...)
	return string(append(b, k.GetKey()...))
}

// SelectRegisters returns the members that hold a key's registers: those with the
// highest rendezvous hashes (Thaler and Ravishankar, 1998), each in a different
// failure domain as long as there are enough domains.
func SelectRegisters(members []*wire.RingMember, key *wire.ClaimKey) []*wire.RingMember {
	encKey := encodeKey(key)
	scores := make([]uint64, len(members))
	var d xxhash.Digest
	for i, m := range members {
		d.Reset()
		_, _ = d.WriteString(m.Id)
		_, _ = d.WriteString("\x00")
		_, _ = d.WriteString(encKey)
		scores[i] = d.Sum64()
	}
	chosen := make([]*wire.RingMember, 0, RegistersPerKey)
	for _, distinct := range []bool{true, false} {
		for len(chosen) < RegistersPerKey {
			best := -1
			for i, m := range members {
				if ContainsMember(chosen, m.Id) || distinct && hasFailureDomain(chosen, m.FailureDomain) {
					continue
				}
				if best < 0 || scores[i] > scores[best] {
					best = i
				}
			}
			if best < 0 {
				break
			}
			chosen = append(chosen, members[best])
		}
	}
	return chosen
}

func hasFailureDomain(list []*wire.RingMember, domain string) bool {
	for _, m := range list {
		if m.FailureDomain == domain {
			return true
		}
	}
	return false
}

// registerSets returns the members that hold a key's registers in the ring and, if
// the ring has a predecessor, in that one.
func registerSets(ring *wire.Ring, key *wire.ClaimKey) [][]*wire.RingMember {
	list := [][]*wire.RingMember{SelectRegisters(ring.GetMembers(), key)}
	if len(ring.GetPrevious()) > 0 {
		list = append(list, SelectRegisters(ring.GetPrevious(), key))
	}
	return list
}

// ContainsMember reports whether a list of members has one with this ID.
func ContainsMember(list []*wire.RingMember, id string) bool {
	for _, m := range list {
		if m.Id == id {
			return true
		}
	}
	return false
}
