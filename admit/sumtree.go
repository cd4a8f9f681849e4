package admit

// totals is the combined use and demand of some accounts of a subject.
type totals struct {
	// used is what their entries may be using.
	used Amounts
	// wanted is the demand of the entries that currently ask for a share, askers their
	// number.
	wanted Amounts
	askers int
}

func (s totals) add(o totals) totals {
	return totals{s.used.add(o.used), s.wanted.add(o.wanted), s.askers + o.askers}
}

// sumTree keeps totals over numbered slots in a binary tree whose inner nodes are the sums
// of their children. Changing a slot and summing the slots before and after one take time
// logarithmic in the number of slots.
//
// A running total would not do: floating-point errors accumulate as amounts are added and
// subtracted, until the allocator grants more than the limit, and an unlimited amount (+Inf)
// can't be subtracted from it.
type sumTree struct {
	// nodes has the root at index 1, the children of node i at 2i and 2i+1, and the slots
	// in its upper half.
	nodes []totals
	// allocated is how many slots were ever allocated; freeSlots are those given back.
	allocated int
	freeSlots []int
}

func (t *sumTree) slots() int { return len(t.nodes) / 2 }

// allocate returns an unused slot, whose totals are zero.
func (t *sumTree) allocate() int {
	if n := len(t.freeSlots); n > 0 {
		slot := t.freeSlots[n-1]
		t.freeSlots = t.freeSlots[:n-1]
		return slot
	}
	if t.allocated == t.slots() {
		t.grow()
	}
	t.allocated++
	return t.allocated - 1
}

// release makes a slot available again.
func (t *sumTree) release(slot int) {
	t.set(slot, totals{})
	t.freeSlots = append(t.freeSlots, slot)
}

func (t *sumTree) grow() {
	old, n := t.nodes, t.slots()
	t.nodes = make([]totals, max(4*n, 2))
	copy(t.nodes[t.slots():], old[n:])
	for i := t.slots() - 1; i > 0; i-- {
		t.nodes[i] = t.nodes[2*i].add(t.nodes[2*i+1])
	}
}

func (t *sumTree) set(slot int, s totals) {
	i := t.slots() + slot
	t.nodes[i] = s
	for i /= 2; i > 0; i /= 2 {
		t.nodes[i] = t.nodes[2*i].add(t.nodes[2*i+1])
	}
}

// total returns the sum of all slots.
func (t *sumTree) total() totals {
	if len(t.nodes) == 0 {
		return totals{}
	}
	return t.nodes[1]
}

// around returns the sums of the slots before and after one.
func (t *sumTree) around(slot int) (before, after totals) {
	for i := t.slots() + slot; i > 1; i /= 2 {
		if i%2 == 1 {
			before = t.nodes[i-1].add(before)
		} else {
			after = after.add(t.nodes[i+1])
		}
	}
	return before, after
}
