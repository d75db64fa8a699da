package graceful

import (
	"net"
	"os"
	"sync"
	"syscall"

	"github.com/pkg/errors"
)

// This file defines a listener that loses no connection when it closes. The
// kernel opens connections before they are accepted, and resets those that
// still wait when their listener closes. Their callers cannot tell whether
// what they have sent was received.

// Listener accepts what the kernel holds when it is closed. Accept
// returns those connections before it fails.
type Listener struct {
	*net.TCPListener
	mu   sync.Mutex
	held []net.Conn
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.TCPListener.Accept()
	if err == nil {
		return c, nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.held) == 0 {
		return nil, err
	}
	c = l.held[0]
	l.held = l.held[1:]
	return c, nil
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	raw, err := l.SyscallConn()
	if err != nil {
		return errors.WithStack(err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var fds []int
	err = raw.Control(func(fd uintptr) { fds = acceptAll(int(fd)) })
	for _, fd := range fds {
		if c, err := connOf(fd); err == nil {
			l.held = append(l.held, c)
		}
	}
	if err != nil {
		return errors.WithStack(err)
	}
	return l.TCPListener.Close()
}

// acceptAll accepts the connections that wait at a listening socket, and has
// the kernel open no more as soon as none is left.
func acceptAll(listener int) []int {
	var fds []int
	for {
		fd, _, err := syscall.Accept4(listener, syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
		switch err {
		case nil:
			fds = append(fds, fd)
		case syscall.EINTR, syscall.ECONNABORTED:
		default:
			_ = syscall.Shutdown(listener, syscall.SHUT_RD)
			return fds
		}
	}
}

// connOf returns the connection of a socket, which it takes over.
func connOf(fd int) (net.Conn, error) {
	f := os.NewFile(uintptr(fd), "accepted")
	defer func() { _ = f.Close() }()
	c, err := net.FileConn(f)
	return c, errors.WithStack(err)
}
