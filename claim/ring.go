package claim

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/snipereach/snipereach/wire"
)

// Copies is how many registers a key has.
const Copies = 3

// Majority of a key's registers.
const Majority = Copies/2 + 1

// keyText is a key as text that no other key shares: its parts have lengths.
func keyText(k *wire.ClaimKey) string {
	b := make([]byte, 0, 64)
	b = strconv.AppendInt(b, int64(len(k.GetTeam())), 10)
	b = append(append(b, ':'), k.GetTeam()...)
	b = strconv.AppendInt(b, int64(len(k.GetService())), 10)
	b = append(append(b, ':'), k.GetService()...)
	return string(append(b, k.GetKey()...))
}

// Registers returns the members that hold a key's registers: the highest by
// rendezvous hash (Thaler and Ravishankar, 1998), each in another failure domain
// while there are enough of them.
func Registers(members []*wire.RingMember, key *wire.ClaimKey) []*wire.RingMember {
	text := keyText(key)
	scores := make([]uint64, len(members))
	var d xxhash.Digest
	for i, m := range members {
		d.Reset()
		_, _ = d.WriteString(m.Id)
		_, _ = d.WriteString("\x00")
		_, _ = d.WriteString(text)
		scores[i] = d.Sum64()
	}
	chosen := make([]*wire.RingMember, 0, Copies)
	for _, distinct := range []bool{true, false} {
		for len(chosen) < Copies {
			best := -1
			for i, m := range members {
				if Contains(chosen, m.Id) || distinct && hasDomain(chosen, m.FailureDomain) {
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

func hasDomain(list []*wire.RingMember, domain string) bool {
	for _, m := range list {
		if m.FailureDomain == domain {
			return true
		}
	}
	return false
}

// sets returns a key's registers by the ring and by the one before it.
func sets(ring *wire.Ring, key *wire.ClaimKey) [][]*wire.RingMember {
	list := [][]*wire.RingMember{Registers(ring.GetMembers(), key)}
	if len(ring.GetPrevious()) > 0 {
		list = append(list, Registers(ring.GetPrevious(), key))
	}
	return list
}

// Contains says whether a list of members has one with this ID.
func Contains(list []*wire.RingMember, id string) bool {
	for _, m := range list {
		if m.Id == id {
			return true
		}
	}
	return false
}
