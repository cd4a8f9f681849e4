package admit

// sums are what some accounts of a subject have and want together.
type sums struct {
	// used is what their entries may be using.
	used Amounts
	// wanted is what those of them want that ask, and asking how many do.
	wanted Amounts
	asking int
}

func (s sums) add(o sums) sums {
	return sums{s.used.add(o.used), s.wanted.add(o.wanted), s.asking + o.asking}
}

// sumTree keeps sums over numbered slots in a binary tree whose inner nodes are the
// sums of their halves: a change, and the sums before and after a slot, take time
// with the logarithm of the slots.
//
// One running total would be cheaper and wrong: sums of floating-point numbers
// drift with each amount that is added and taken away again, until the home grants
// more than there is, and no limit (+Inf) can't be taken away from a total at all.
// Here each sum is made of the amounts that stand now.
type sumTree struct {
	// nodes has the root at 1, the halves of node i at 2i and 2i+1, and slots in
	// its upper half.
	nodes []sums
	// used is how many slots were ever given out; free are those given back.
	used int
	free []int
}

func (t *sumTree) slots() int { return len(t.nodes) / 2 }

// take gives out a slot; its sums are nothing.
func (t *sumTree) take() int {
	if n := len(t.free); n > 0 {
		slot := t.free[n-1]
		t.free = t.free[:n-1]
		return slot
	}
	if t.used == t.slots() {
		t.grow()
	}
	t.used++
	return t.used - 1
}

// give takes a slot back.
func (t *sumTree) give(slot int) {
	t.set(slot, sums{})
	t.free = append(t.free, slot)
}

func (t *sumTree) grow() {
	old, n := t.nodes, t.slots()
	t.nodes = make([]sums, max(4*n, 2))
	copy(t.nodes[t.slots():], old[n:])
	for i := t.slots() - 1; i > 0; i-- {
		t.nodes[i] = t.nodes[2*i].add(t.nodes[2*i+1])
	}
}

func (t *sumTree) set(slot int, s sums) {
	i := t.slots() + slot
	t.nodes[i] = s
	for i /= 2; i > 0; i /= 2 {
		t.nodes[i] = t.nodes[2*i].add(t.nodes[2*i+1])
	}
}

// total is the sum of all slots.
func (t *sumTree) total() sums {
	if len(t.nodes) == 0 {
		return sums{}
	}
	return t.nodes[1]
}

// around returns the sums of the slots before and after one.
func (t *sumTree) around(slot int) (before, after sums) {
	for i := t.slots() + slot; i > 1; i /= 2 {
		if i%2 == 1 {
			before = t.nodes[i-1].add(before)
		} else {
			after = after.add(t.nodes[i+1])
		}
	}
	return before, after
}
