package directory

import "github.com/snipereach/snipereach/wire"

// Silent returns the instances of a role whose lease ran out without a word that
// they are gone. One may live on behind a partition, with what it knew last.
func (n *Node) Silent(role wire.Role) []*Instance {
	n.mu.Lock()
	defer n.mu.Unlock()
	var list []*Instance
	for _, i := range n.state.All() {
		if i.Role == role && i.Phase == wire.Phase_PHASE_GONE && i.before != nil {
			list = append(list, i)
		}
	}
	return list
}
