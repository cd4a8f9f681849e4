//go:build review

package harness

import "time"

// HeartbeatInterval is the heartbeatIntervalMs of the sites.
const HeartbeatInterval = 1200 * time.Millisecond

// KeepRegistered sends heartbeats of a server until the process ends.
func (s *System) KeepRegistered(id string, registration func() string) {
	go func() {
		for {
			if !s.Heartbeat(id, registration()) {
				s.Record.Add("heartbeat of %s not acknowledged", id)
			}
			time.Sleep(HeartbeatInterval)
		}
	}()
}
