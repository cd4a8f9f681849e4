package transport

import (
	"net"
	"slices"
)

// defaultMaxStrangers is the bound of servers that are given no other.
const defaultMaxStrangers = 256

// strangers are the connections whose peers haven't proved yet that they belong to the cluster, the oldest
// first. Without a bound, connections that never prove it take all descriptors of the process before their
// handshake times out. Peers prove it within a few round trips, so the oldest is the least likely one.
type strangers struct {
	most int
	list []net.Conn
}

// add adds a connection. If there are too many, it returns the oldest one, which is to be closed.
func (s *strangers) add(conn net.Conn) (oldest net.Conn) {
	if len(s.list) >= s.most {
		oldest = s.list[0]
		s.list = slices.Delete(s.list, 0, 1)
	}
	s.list = append(s.list, conn)
	return oldest
}

// remove removes a connection, if it is there.
func (s *strangers) remove(conn net.Conn) {
	if i := slices.Index(s.list, conn); i >= 0 {
		s.list = slices.Delete(s.list, i, i+1)
	}
}
