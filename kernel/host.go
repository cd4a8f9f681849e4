package kernel

import (
	"runtime/debug"
	"syscall"
)

// HostSettings is the [host] section: what the host gives to the process. The bounds of what clients may use are
// parts of it.
type HostSettings struct {
	// MemoryMB is the memory of the process in MB, beyond which the host ends it; 0 if it isn't known.
	MemoryMB int `toml:"memory_mb"`
	// FileDescriptors is the number of descriptors of the process; 0 stands for its limit at the start.
	FileDescriptors int `toml:"file_descriptors"`
}

const (
	// defaultMemoryMB stands for an unknown memory.
	defaultMemoryMB = 256
	// reservedDescriptors are kept for files, ownDescriptors for listeners and connections to control replicas.
	reservedDescriptors = 200
	ownDescriptors      = 100
	// connectionBytes is what a client's connection holds beside large heads and bodies: the stacks and buffers
	// of net/http, a small request, and what waits in its socket.
	connectionBytes = 64 << 10
	// minConnections is the least number of connections that clients may keep.
	minConnections = 16
	// maxOperatorConnections is how many connections a listener for operators or health checks keeps, whose
	// few clients call once a second or less.
	maxOperatorConnections = 64

	// The parts of the memory, in percent. What remains is for the process itself and for garbage.
	requestPercent    = 20
	responsePercent   = 12
	connectionPercent = 40
	// runtimePercent is the part beyond which the runtime collects garbage at once.
	runtimePercent = 85
)

// Check returns an error that names the first invalid key.
func (h HostSettings) Check() error {
	switch {
	case h.MemoryMB != 0 && h.MemoryMB < 64:
		return InvalidKey("host.memory_mb", "must be at least 64")
	case h.FileDescriptors != 0 && h.FileDescriptors < 2*reservedDescriptors:
		return InvalidKey("host.file_descriptors", "must be at least 400")
	}
	return nil
}

func (h HostSettings) memory() int64 {
	if h.MemoryMB == 0 {
		return defaultMemoryMB << 20
	}
	return int64(h.MemoryMB) << 20
}

// descriptors returns how many descriptors are there for connections of clients and to upstreams.
func (h HostSettings) descriptors() int {
	n := h.FileDescriptors
	if n == 0 {
		var limit syscall.Rlimit
		// Without the limit, the bound follows from the memory.
		if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) == nil {
			n = int(min(limit.Cur, 1<<20))
		}
	}
	return max(n-reservedDescriptors-ownDescriptors, 2*minConnections)
}

// RequestBytes is the budget of all heads and bodies of requests, in bytes.
func (h HostSettings) RequestBytes() int64 { return h.memory() * requestPercent / 100 }

// ResponseBytes is the budget of all buffered answers of upstreams, in bytes.
func (h HostSettings) ResponseBytes() int64 { return h.memory() * responsePercent / 100 }

// ClientConnections is how many connections clients may keep open at all listeners together. Each may need
// another one, to an upstream, so that they get half of the descriptors.
func (h HostSettings) ClientConnections() int {
	byMemory := int(h.memory() * connectionPercent / 100 / connectionBytes)
	return max(min(h.descriptors()/2, byMemory), minConnections)
}

// OperatorConnections is how many connections a listener for operators or health checks keeps open.
func (h HostSettings) OperatorConnections() int {
	return min(h.ClientConnections(), maxOperatorConnections)
}

// Strangers is how many connections of other processes may be open that haven't proved yet that they belong to
// the cluster.
func (h HostSettings) Strangers() int { return h.descriptors() / 4 }

// LimitRuntime tells the runtime of the host's memory, if it is known: garbage is collected early enough that
// it doesn't take the process over it. It can refuse nobody, so the bounds above come first.
func (h HostSettings) LimitRuntime() {
	if h.MemoryMB > 0 {
		debug.SetMemoryLimit(h.memory() * runtimePercent / 100)
	}
}
