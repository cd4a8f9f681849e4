//go:build unix

package fake

import (
	"net"
	"strconv"
	"syscall"
)

// HoldPort binds a free loopback port without listening on it and returns its
// address. A part that listens there with SO_REUSEADDR, as package net does, can
// be stopped and started again: until release nobody else gets the port, also
// not as the source of a connection, and a call to it is refused while the part
// is down.
func HoldPort() (address string, release func(), err error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		return "", nil, err
	}
	syscall.CloseOnExec(fd)
	release = func() { _ = syscall.Close(fd) }
	port, err := bindFreePort(fd)
	if err != nil {
		release()
		return "", nil, err
	}
	return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)), release, nil
}

func bindFreePort(fd int) (port int, err error) {
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return 0, err
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return 0, err
	}
	at, err := syscall.Getsockname(fd)
	if err != nil {
		return 0, err
	}
	return at.(*syscall.SockaddrInet4).Port, nil
}
