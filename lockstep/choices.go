package lockstep

import "sync"

// maxReaders bounds the readers whose last reading is kept: the current leader, a former one
// that hasn't noticed its replacement, and a new one.
const maxReaders = 3

// ChoiceCounter turns the cumulative counters of one rank, how often its requests chose each
// expert, into the increase since the last reading of each reader. It runs on the rank's host,
// so that a relay that sums up many ranks needs no state. It is safe for concurrent use.
type ChoiceCounter struct {
	mu      sync.Mutex
	readers []readerCounts
}

// readerCounts is the last reading of a reader.
type readerCounts struct {
	reader      uint64
	incarnation uint64
	counts      []uint64
}

// Delta returns the increase of each counter since the reader's last reading. It returns nil
// for the first reading of an incarnation of the rank, because the counters then cover the
// whole time since its start, and if a counter has decreased.
func (c *ChoiceCounter) Delta(reader, incarnation uint64, counts []uint64) []uint32 {
	c.mu.Lock()
	defer c.mu.Unlock()
	last := c.takeLast(reader)
	now := readerCounts{reader: reader, incarnation: incarnation, counts: counts}
	c.readers = append(c.readers, now)
	if last.incarnation != incarnation || len(last.counts) != len(counts) {
		return nil
	}
	return increase(last.counts, counts)
}

// takeLast removes and returns a reader's last reading. If the reader is unknown it makes room
// for it by dropping the oldest reading, and returns the zero value.
func (c *ChoiceCounter) takeLast(reader uint64) readerCounts {
	for i, r := range c.readers {
		if r.reader == reader {
			c.readers = append(c.readers[:i], c.readers[i+1:]...)
			return r
		}
	}
	if len(c.readers) >= maxReaders {
		c.readers = append(c.readers[:0], c.readers[1:]...)
	}
	return readerCounts{}
}

// increase returns the growth of each counter, or nil if one has decreased, as after an
// unreported restart of the rank.
func increase(before, now []uint64) []uint32 {
	out := make([]uint32, len(now))
	for i, n := range now {
		if n < before[i] {
			return nil
		}
		out[i] = uint32(min(n-before[i], 1<<32-1))
	}
	return out
}

// AddChoices adds the choices of one rank to a sum, which may be nil, and returns the sum.
// Choices of another length are ignored.
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
