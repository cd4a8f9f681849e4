package gateway

import "sync"

// versionReport is what a control replica has last said of the routing configuration.
type versionReport struct {
	version uint64
	// current says that the replica's state was confirmed by a leader lately.
	current bool
}

// versionReports holds the reports of the replicas that are connected.
type versionReports struct {
	mu        sync.Mutex
	byReplica map[string]versionReport
}

func (r *versionReports) record(replica string, report versionReport) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byReplica == nil {
		r.byReplica = map[string]versionReport{}
	}
	r.byReplica[replica] = report
}

func (r *versionReports) remove(replica string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.byReplica, replica)
}

// latestWithoutLeader returns the highest version reported, if more than half of the replicas are
// connected and none of them is current. ok is false otherwise.
//
// All replicas have then lost their leader, as after the loss of all processes, and the next one is
// elected about a second later. Any version that is in force is on most of their disks. The highest that
// they have applied may lack one that was accepted just before; the leader brings it.
func (r *versionReports) latestWithoutLeader(replicas []string) (latest uint64, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	connected := 0
	for _, addr := range replicas {
		report, found := r.byReplica[addr]
		if !found {
			continue
		}
		if report.current {
			return 0, false
		}
		connected++
		latest = max(latest, report.version)
	}
	return latest, 2*connected > len(replicas)
}

// current returns the connected replicas whose state is current, and the number of all connected ones.
func (r *versionReports) current() (current map[string]bool, connected int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	current = map[string]bool{}
	for addr, report := range r.byReplica {
		if report.current {
			current[addr] = true
		}
	}
	return current, len(r.byReplica)
}
