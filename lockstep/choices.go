package lockstep

import "sync"

// mostReaders is how many leaders' last readings are kept: one that leads, one that
// doesn't know yet that it was replaced, and one that has just begun.
const mostReaders = 3

// Choices tells each reader how often the requests of one rank chose each expert since
// its last reading. A rank's counters only grow while it runs, and are many: 3,840 of
// them take 9 kB, what has been added in a fifth of a second takes less than half.
//
// It is kept beside the rank, so that whoever sums up many ranks keeps nothing for them.
type Choices struct {
	mu      sync.Mutex
	readers []readerCounts
}

// readerCounts is what a reader was told last.
type readerCounts struct {
	reader      uint64
	incarnation uint64
	counts      []uint64
}

// Since returns what was chosen since a reader's last reading; nil at its first one of a
// run, because the counters count since the start of the rank.
func (c *Choices) Since(reader, incarnation uint64, counts []uint64) []uint32 {
	c.mu.Lock()
	defer c.mu.Unlock()
	last := c.take(reader)
	now := readerCounts{reader: reader, incarnation: incarnation, counts: counts}
	c.readers = append(c.readers, now)
	if last.incarnation != incarnation || len(last.counts) != len(counts) {
		return nil
	}
	return added(last.counts, counts)
}

// take removes a reader's last reading, or else the oldest one if there are too many.
func (c *Choices) take(reader uint64) readerCounts {
	for i, r := range c.readers {
		if r.reader == reader {
			c.readers = append(c.readers[:i], c.readers[i+1:]...)
			return r
		}
	}
	if len(c.readers) >= mostReaders {
		c.readers = append(c.readers[:0], c.readers[1:]...)
	}
	return readerCounts{}
}

// added is the growth of each counter; nil if one has become less, as after a start of the
// rank that nothing else tells.
func added(before, now []uint64) []uint32 {
	out := make([]uint32, len(now))
	for i, n := range now {
		if n < before[i] {
			return nil
		}
		out[i] = uint32(min(n-before[i], 1<<32-1))
	}
	return out
}

// AddChoices adds what was chosen at one rank to a sum, which may be nil.
func AddChoices(sum, chosen []uint32) []uint32 {
	if len(sum) == 0 {
		return append(sum, chosen...)
	}
	if len(sum) != len(chosen) {
		return sum
	}
	for i, n := range chosen {
		sum[i] += n
	}
	return sum
}
