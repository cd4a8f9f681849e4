// Package meter takes what the measuring programs count: bytes on connections,
// processor time and live heap of the process.
package meter

import (
	"net"
	"runtime"
	"sync/atomic"
	"syscall"
	"time"
)

// Listener counts the bytes of the connections that it accepts, above TCP.
type Listener struct {
	net.Listener
	sent, received atomic.Int64
}

// Listen opens a counting listener on a free loopback port.
func Listen() (*Listener, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	return &Listener{Listener: lis}, err
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return &conn{c, l}, err
}

// Sent is how many bytes the accepting side has written.
func (l *Listener) Sent() int64 { return l.sent.Load() }

// Received is how many bytes the accepting side has read.
func (l *Listener) Received() int64 { return l.received.Load() }

type conn struct {
	net.Conn
	lis *Listener
}

func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.lis.received.Add(int64(n))
	return n, err
}

func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.lis.sent.Add(int64(n))
	return n, err
}

// ProcessorTime is the user and system time of this process so far.
func ProcessorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// Heap is the live heap in bytes, after a collection.
func Heap() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// MB is bytes as mebibytes.
func MB(n int64) float64 { return float64(n) / (1 << 20) }

// Micros is a duration in microseconds.
func Micros(d time.Duration) float64 { return float64(d.Nanoseconds()) / 1000 }

// Spent is what passed in a stretch of time.
type Spent struct {
	Sent, Received int64
	CPU, Took      time.Duration
}

// Spend measures a listener's bytes and the process's time while f runs.
func Spend(lis *Listener, f func()) Spent {
	sent, received, cpu, began := lis.Sent(), lis.Received(), ProcessorTime(), time.Now()
	f()
	return Spent{lis.Sent() - sent, lis.Received() - received, ProcessorTime() - cpu, time.Since(began)}
}
