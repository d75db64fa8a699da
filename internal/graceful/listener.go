package graceful

import (
	"net"
	"os"
	"sync"
	"syscall"

	"github.com/pkg/errors"
)

// This file defines a listener that loses no connection when it closes. The
// kernel establishes connections before they are accepted, and resets those
// still in the accept queue when the listener closes. Their callers cannot tell
// whether their data was received.

// Listener accepts the connections in the kernel's accept queue when it is
// closed. Accept returns them before it fails.
type Listener struct {
	*net.TCPListener
	mu      sync.Mutex
	pending []net.Conn
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.TCPListener.Accept()
	if err == nil {
		return c, nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.pending) == 0 {
		return nil, err
	}
	c = l.pending[0]
	l.pending = l.pending[1:]
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
		if c, err := newConn(fd); err == nil {
			l.pending = append(l.pending, c)
		}
	}
	if err != nil {
		return errors.WithStack(err)
	}
	return l.TCPListener.Close()
}

// acceptAll accepts the connections in the accept queue of a listening socket.
// As soon as the queue is empty, it shuts the socket down, so that the kernel
// establishes no more.
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

// newConn returns the connection of a socket and takes ownership of fd.
func newConn(fd int) (net.Conn, error) {
	f := os.NewFile(uintptr(fd), "accepted")
	defer func() { _ = f.Close() }()
	c, err := net.FileConn(f)
	return c, errors.WithStack(err)
}
