package lab

import (
	"os/exec"
	"runtime"
	"syscall"
)

// spawner starts processes from one thread that lives as long as the lab does.
// The kernel kills each of them when that thread ends, so that none outlives a
// lab that was killed, or a test that panicked.
type spawner struct {
	orders chan order
	ended  chan struct{}
}

type order struct {
	cmd *exec.Cmd
	err chan error
}

func newSpawner() *spawner {
	s := &spawner{orders: make(chan order), ended: make(chan struct{})}
	go func() {
		runtime.LockOSThread() // and never unlocked: the thread ends with the goroutine
		defer close(s.ended)
		for o := range s.orders {
			o.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
			o.err <- o.cmd.Start()
		}
	}()
	return s
}

func (s *spawner) start(cmd *exec.Cmd) error {
	o := order{cmd, make(chan error, 1)}
	s.orders <- o
	return <-o.err
}

func (s *spawner) close() {
	close(s.orders)
	<-s.ended
}
