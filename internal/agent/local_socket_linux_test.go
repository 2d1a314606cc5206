package agent

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
)

// The socket must have mode 0600 as soon as it exists. Setting the umask for that would change the permissions of files
// that other goroutines create at the same time, so the test creates directories meanwhile.
func TestLocalSocketModeIsPrivate(t *testing.T) {
	t.Parallel()
	dir, err := os.MkdirTemp("", "socket") // short: a socket's path is bounded
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(dir) })
	done := make(chan error)
	go func() { // ends after its directories
		for i := range 2000 {
			path := filepath.Join(dir, fmt.Sprint("folder", i))
			if err := os.Mkdir(path, 0o700); err != nil {
				done <- err
				return
			}
			if info, err := os.Stat(path); err != nil || info.Mode().Perm() != 0o700 {
				done <- fmt.Errorf("%s: %v, %v", path, info.Mode(), err)
				return
			}
		}
		done <- nil
	}()
	path := filepath.Join(dir, "agent.sock")
	for {
		select {
		case err := <-done:
			if err != nil {
				t.Error(err)
			}
			return
		default:
		}
		listener, err := listenLocal(path)
		if err != nil {
			t.Fatal(err)
		}
		info, err := os.Stat(path)
		listener.Close()
		if err != nil || info.Mode().Perm() != 0o600 {
			t.Fatalf("the socket has mode %v, %v", info.Mode(), err)
		}
	}
}
