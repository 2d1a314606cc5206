//go:build !linux

package lab

import (
	"os/exec"
	"syscall"
)

// spawner starts processes. Elsewhere than on Linux a lab that is killed
// outright leaves its gateways behind; one that ends or panics does not.
type spawner struct{}

func newSpawner() *spawner { return &spawner{} }

func (s *spawner) start(cmd *exec.Cmd) error {
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	return cmd.Start()
}

func (s *spawner) close() {}
