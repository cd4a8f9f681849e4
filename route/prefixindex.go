package route

// prefixIndex maps prompt blocks to the mask of the upstreams that probably hold them.
// Its size is bounded by two generations: when the young one is full it becomes the old
// one, and blocks of the former old generation that were not added again are dropped.
type prefixIndex struct {
	maxBlocks  int
	young, old map[uint64]uint64
}

// newPrefixIndex creates an index that holds between maxBlocks/2 and maxBlocks blocks
// once it is full.
func newPrefixIndex(maxBlocks int) prefixIndex {
	return prefixIndex{maxBlocks: maxBlocks, young: map[uint64]uint64{}, old: map[uint64]uint64{}}
}

// holders returns the mask of the upstreams that probably hold a block.
func (x *prefixIndex) holders(block uint64) uint64 {
	if mask, ok := x.young[block]; ok {
		return mask
	}
	return x.old[block]
}

// add records that the upstreams in the mask hold a block.
func (x *prefixIndex) add(block, mask uint64) {
	if young, ok := x.young[block]; ok {
		if young|mask != young {
			x.young[block] = young | mask
		}
		return
	}
	if len(x.young) >= x.maxBlocks/2 {
		x.old, x.young = x.young, make(map[uint64]uint64, x.maxBlocks/2)
	}
	x.young[block] = x.old[block] | mask
	delete(x.old, block)
}

// remove records that the upstreams in the mask no longer hold a block.
func (x *prefixIndex) remove(block, mask uint64) {
	if young, ok := x.young[block]; ok {
		x.young[block] = young &^ mask
		return
	}
	if old, ok := x.old[block]; ok {
		x.old[block] = old &^ mask
	}
}

// removeUpstreams removes the upstreams in the mask from all blocks.
func (x *prefixIndex) removeUpstreams(mask uint64) {
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
