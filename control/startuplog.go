package control

import (
	"time"

	"github.com/snipereach/snipereach/kernel"
)

// startupLog is what a replica logs of its start: a cluster that has lost all replicas has no
// leader until most of them have read their logs and take part.
type startupLog struct {
	// applied is how many entries were applied at once first, and applyTook how long that took.
	applied   int
	applyTook time.Duration
	done      bool
}

// recordApplied records the first entries that are applied.
func (s *startupLog) recordApplied(entries int, took time.Duration) {
	if s.applied == 0 {
		s.applied, s.applyTook = entries, took
	}
}

// logStartup writes a line once the replica takes part in the cluster.
func (r *Replica) logStartup() {
	if r.startup.done {
		return
	}
	st := r.node.Status()
	if !st.Verified {
		return
	}
	r.startup.done = true
	kernel.Info(r.log, "Replica takes part.", "after_ms", r.now().Milliseconds(), "term", st.Term, "commit", st.Commit, "last", st.Last, "first", st.First,
		"applied", r.startup.applied, "apply_ms", r.startup.applyTook.Milliseconds(), "routing_version", r.routingVersion.Load())
}
