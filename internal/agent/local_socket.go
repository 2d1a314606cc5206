package agent

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"syscall"

	"elderyard/internal/pki"
)

// lockFolder locks the directory so that no second agent can run in it.
func lockFolder(dir string) (unlock func(), err error) {
	path := filepath.Join(dir, "lock")
	f, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, fmt.Errorf("agent's folder: %w", err)
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		f.Close()
		return nil, fmt.Errorf("%s: another agent runs on this folder", dir)
	}
	// Must unlock explicitly: a forked child that has not executed its program yet shares
	// the open file, so closing it here would leave the directory locked.
	return func() {
		syscall.Flock(int(f.Fd()), syscall.LOCK_UN)
		f.Close()
	}, nil
}

// listenLocal listens on the local socket, which is protected by file permissions. The
// directory must be locked: then an existing socket is stale, and is replaced.
func listenLocal(path string) (net.Listener, error) {
	if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("local socket: %w", err)
	}
	l, err := listenPrivate(path)
	if err != nil {
		return nil, fmt.Errorf("local socket: %w (its path may be too long: set socket in the agent's file)", err)
	}
	return l, nil
}

// withCaller returns the context of a connection's calls, with the caller's identity.
func withCaller(ctx context.Context, c net.Conn) context.Context {
	switch c := c.(type) {
	case *identifiedConn:
		return context.WithValue(ctx, callerKey{}, c.caller)
	case *net.UnixConn:
		return context.WithValue(ctx, callerKey{}, caller{localUser(c), pki.Operator})
	}
	return ctx
}

// server returns an HTTP server of the agents' interface.
func (a *Agent) server() *http.Server {
	return &http.Server{Handler: a.routes(), ReadHeaderTimeout: handshakeTimeout, ReadTimeout: callTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: 16 << 10, ConnContext: withCaller}
}
