package process

import (
	"context"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"

	"elderyard/internal/files"
	"elderyard/internal/output"
	"elderyard/supervise"
)

// Files of a gateway in its instance's directory.
const (
	ConfigFile = "config.json" // the platform's configuration
	SiteFile   = "site.toml"   // the operators' settings

	logFile      = "log"   // standard output and error
	maxLogBytes  = 1 << 20 // a larger log is rotated at the next start
	maxTailBytes = 4 << 10 // end of the log that is searched for the reason of an exit
)

// writeFiles writes the files of the desired state.
func (p *Process) writeFiles() error {
	if p.rendered == nil {
		return nil // the files of the last run are kept
	}
	if err := files.Replace(filepath.Join(p.options.Dir, ConfigFile), p.rendered.Config, 0o600); err != nil {
		return err
	}
	return files.Replace(filepath.Join(p.options.Dir, SiteFile), p.rendered.Site, 0o600)
}

// openLog opens the gateway's log for appending and rotates it if it is too large.
func openLog(path string) (*os.File, error) {
	if info, err := os.Stat(path); err == nil && info.Size() > maxLogBytes {
		if err := os.Rename(path, path+".1"); err != nil {
			return nil, err
		}
	}
	return os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
}

// spawn starts the gateway. A goroutine waits for its exit and sends that as an event. The
// goroutine ends with the gateway, which may be after the end of Run.
func (p *Process) spawn(ctx context.Context) error {
	if err := p.writeFiles(); err != nil {
		return err
	}
	path := filepath.Join(p.options.Dir, logFile)
	out, err := openLog(path)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(p.options.Program)
	cmd.Dir = p.options.Dir
	cmd.Env = append(os.Environ(), "EDGE_CONFIG="+filepath.Join(p.options.Dir, ConfigFile), "ELDERYARD_SITE="+filepath.Join(p.options.Dir, SiteFile))
	cmd.Env = append(cmd.Env, p.options.Env...)
	// The gateway must outlive the agent: it has its own process group, and its output goes
	// to a file, because a pipe would break when the agent ends.
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := cmd.Start(); err != nil {
		return err
	}
	p.pid = cmd.Process.Pid
	p.checking = false
	go func() {
		reason := "it ended"
		if err := cmd.Wait(); err != nil {
			reason = err.Error()
		}
		p.send(ctx, supervise.Exited{Reason: reason + exitReasonFromLog(path)})
	}()
	return nil
}

// exitReasonFromLog returns the line of a gateway's log that explains its exit, after ": ",
// or "" if there is none.
func exitReasonFromLog(path string) string {
	f, err := os.Open(path)
	if err != nil {
		return ""
	}
	defer f.Close()
	if info, err := f.Stat(); err == nil && info.Size() > maxTailBytes {
		f.Seek(-maxTailBytes, 2)
	}
	text := make([]byte, maxTailBytes)
	n, _ := f.Read(text)
	if line := output.FailureLine(string(text[:n])); line != "" {
		return ": " + line
	}
	return ""
}

// signal sends a signal to the gateway. It is no error if the gateway has just ended.
func (p *Process) signal(s syscall.Signal) {
	if p.pid == 0 {
		return
	}
	if err := syscall.Kill(p.pid, s); err != nil && !errors.Is(err, syscall.ESRCH) {
		p.log.Error("failed to signal gateway", "signal", s, "error", err)
	}
}
