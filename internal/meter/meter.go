// Package meter measures bytes on connections and the processor time and live heap of
// the process, for the benchmark programs.
package meter

import (
	"net"
	"runtime"
	"sync/atomic"
	"syscall"
	"time"
)

// Listener counts the payload bytes of the connections that it accepts.
type Listener struct {
	net.Listener
	sent, received atomic.Int64
}

// Listen returns a listener on a free loopback port.
func Listen() (*Listener, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	return &Listener{Listener: lis}, err
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return &countingConn{c, l}, err
}

// Sent returns the number of bytes that the accepting side has written.
func (l *Listener) Sent() int64 { return l.sent.Load() }

// Received returns the number of bytes that the accepting side has read.
func (l *Listener) Received() int64 { return l.received.Load() }

type countingConn struct {
	net.Conn
	lis *Listener
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.lis.received.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.lis.sent.Add(int64(n))
	return n, err
}

// ProcessorTime returns the user and system time that this process has used.
func ProcessorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// LiveHeap returns the size of the live heap in bytes, after a garbage collection.
func LiveHeap() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// MB converts bytes to mebibytes.
func MB(n int64) float64 { return float64(n) / (1 << 20) }

// Micros converts a duration to microseconds.
func Micros(d time.Duration) float64 { return float64(d.Nanoseconds()) / 1000 }

// Usage holds the bytes of a listener, processor time and elapsed time of an interval.
type Usage struct {
	Sent, Received int64
	CPU, Elapsed   time.Duration
}

// Measure runs f and returns the resources used meanwhile.
func Measure(lis *Listener, f func()) Usage {
	sent, received, cpu, start := lis.Sent(), lis.Received(), ProcessorTime(), time.Now()
	f()
	return Usage{lis.Sent() - sent, lis.Received() - received, ProcessorTime() - cpu, time.Since(start)}
}
