package directory

import "github.com/snipereach/snipereach/wire"

// Expired returns the instances of a role whose lease expired without an announcement of
// their end. Such an instance may still run behind a network partition, with outdated
// configuration.
func (n *Node) Expired(role wire.Role) []*Instance {
	n.mu.Lock()
	defer n.mu.Unlock()
	var list []*Instance
	for _, i := range n.state.All() {
		if i.Role == role && i.Phase == wire.Phase_PHASE_GONE && i.beforeExpiry != nil {
			list = append(list, i)
		}
	}
	return list
}
