package trace

// TuningSeeds returns the seeds on which the settings of planners are tuned.
func TuningSeeds(k Kind) []uint64 { return seeds(k, 0, 3) }

// HeldOutSeeds returns the seeds on which planners are evaluated. They are never used for
// tuning.
func HeldOutSeeds(k Kind) []uint64 { return seeds(k, 101, 3) }

// seeds returns n seeds of a kind in steps of 2. An even and an odd first seed give disjoint
// sets.
func seeds(k Kind, first uint64, n int) []uint64 {
	out := make([]uint64, n)
	for i := range out {
		out[i] = kindHash(k)>>32<<8 + uint64(2*i) + first
	}
	return out
}
