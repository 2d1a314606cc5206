package lab

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

const (
	gatewayName = "elderyard"
	peersName   = "elderyard-peers" // the gateway that knows the others of its site
	buildLimit  = 5 * time.Minute
)

var built struct {
	sync.Mutex
	dir string // of the programs that were built for this process
}

// FindGateway returns the gateway's program: the one at path, else the one
// beside this program, else one built from the checkout that the working folder
// is in.
func FindGateway(path string) (found string, err error) { return findProgram(path, gatewayName) }

// FindPeers returns the program of a gateway that knows the others of its site, as
// FindGateway does.
func FindPeers(path string) (found string, err error) { return findProgram(path, peersName) }

func findProgram(path, name string) (found string, err error) {
	if path != "" {
		if info, err := os.Stat(path); err != nil || info.IsDir() {
			return "", fmt.Errorf("gateway: %s is no program", path)
		}
		return filepath.Abs(path)
	}
	if self, err := os.Executable(); err == nil {
		beside := filepath.Join(filepath.Dir(self), name)
		if info, err := os.Stat(beside); err == nil && !info.IsDir() {
			return beside, nil
		}
	}
	return build(name)
}

func build(name string) (string, error) {
	built.Lock()
	defer built.Unlock()
	if built.dir != "" {
		out := filepath.Join(built.dir, name)
		if _, err := os.Stat(out); err == nil {
			return out, nil
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), buildLimit)
	defer cancel()
	mod, err := exec.CommandContext(ctx, "go", "env", "GOMOD").Output()
	root := filepath.Dir(strings.TrimSpace(string(mod)))
	if _, missing := os.Stat(filepath.Join(root, "cmd", name)); err != nil || missing != nil {
		return "", errors.New("gateway: none beside this program, and the working folder is in no checkout to build it from; name one with --gateway")
	}
	if _, err := os.Stat(built.dir); built.dir == "" || err != nil {
		if built.dir, err = makeDir(); err != nil {
			return "", err
		}
	}
	out := filepath.Join(built.dir, name)
	cmd := exec.CommandContext(ctx, "go", "build", "-o", out, "./cmd/"+name)
	cmd.Dir = root
	if text, err := cmd.CombinedOutput(); err != nil {
		return "", fmt.Errorf("gateway: go build: %w: %s", err, text)
	}
	return out, nil
}

// RemoveBuilt deletes the programs that were built for this process, if any. It
// belongs at the end of main, or of TestMain.
func RemoveBuilt() {
	built.Lock()
	defer built.Unlock()
	if built.dir != "" {
		os.RemoveAll(built.dir)
		built.dir = ""
	}
}
