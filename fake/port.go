//go:build unix

package fake

import (
	"net"
	"strconv"
	"syscall"
)

// ReservePort reserves a free loopback port by binding it without listening, and
// returns its address. A server that sets SO_REUSEADDR, as package net does, can
// listen there repeatedly. Until release is called the kernel does not assign the
// port to anyone else, not even as the source of a connection, and connections to
// it are refused while no server listens.
func ReservePort() (address string, release func(), err error) {
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
