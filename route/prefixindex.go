package route

// prefixIndex remembers which upstreams are thought to hold a block of prompts:
// a mask of bits per block. Its memory is bounded by two generations: when the
// young one is full it becomes the old one, and what was in the old one and not
// used since is forgotten.
type prefixIndex struct {
	limit      int
	young, old map[uint64]uint64
}

// newPrefixIndex holds between limit/2 and limit blocks once it is full.
func newPrefixIndex(limit int) prefixIndex {
	return prefixIndex{limit: limit, young: map[uint64]uint64{}, old: map[uint64]uint64{}}
}

// holders returns the upstreams thought to hold a block.
func (x *prefixIndex) holders(block uint64) uint64 {
	if mask, ok := x.young[block]; ok {
		return mask
	}
	return x.old[block]
}

// add notes that upstreams hold a block.
func (x *prefixIndex) add(block, mask uint64) {
	if young, ok := x.young[block]; ok {
		if young|mask != young {
			x.young[block] = young | mask
		}
		return
	}
	if len(x.young) >= x.limit/2 {
		x.old, x.young = x.young, make(map[uint64]uint64, x.limit/2)
	}
	x.young[block] = x.old[block] | mask
	delete(x.old, block)
}

// remove notes that upstreams no longer hold a block.
func (x *prefixIndex) remove(block, mask uint64) {
	if young, ok := x.young[block]; ok {
		x.young[block] = young &^ mask
		return
	}
	if old, ok := x.old[block]; ok {
		x.old[block] = old &^ mask
	}
}

// forget drops all that is known of upstreams.
func (x *prefixIndex) forget(mask uint64) {
	for _, m := range []map[uint64]uint64{x.young, x.old} {
		for block, holders := range m {
			if holders&^mask == 0 {
				delete(m, block)
			} else if holders&mask != 0 {
				m[block] = holders &^ mask
			}
		}
	}
}

func (x *prefixIndex) size() int { return len(x.young) + len(x.old) }
