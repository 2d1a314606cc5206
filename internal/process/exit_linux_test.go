package process

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"os/exec"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"
)

// exitingProgramEnv is set for a run of the test binary whose first thread ends while others run.
const exitingProgramEnv = "PROCESS_TEST_AS_EXITING"

func init() {
	if os.Getenv(exitingProgramEnv) != "" {
		runtime.LockOSThread() // TestMain then runs on the first thread
	}
}

func TestMain(m *testing.M) {
	if os.Getenv(exitingProgramEnv) == "" {
		os.Exit(m.Run())
	}
	go func() {
		fmt.Println("running")
		io.Copy(io.Discard, os.Stdin) // until the test closes it
		os.Exit(0)
	}()
	syscall.Syscall(syscall.SYS_EXIT, 0, 0, 0) // ends this thread only
}

// processState returns the state of a process's first thread from /proc, or "" if there is no such process.
func processState(pid int) string {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return ""
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	return rest[:1]
}

// The threads of an exiting process end one by one, and the process holds its sockets until the last one has ended. If
// it counted as ended earlier, a gateway started in its place would find its address in use.
func TestStartTimeOfExitingProcess(t *testing.T) {
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), exitingProgramEnv+"=1")
	input, err := command.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	output, err := command.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	defer command.Wait()
	defer input.Close()
	if line, err := bufio.NewReader(output).ReadString('\n'); err != nil || line != "running\n" {
		t.Fatalf("%q, %v", line, err)
	}
	pid := command.Process.Pid
	waitFor := func(what string, condition func() bool) {
		t.Helper()
		for deadline := time.Now().Add(10 * time.Second); !condition(); time.Sleep(time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("not within 10 s: %s", what)
			}
		}
	}
	waitFor("the first thread has ended", func() bool { return processState(pid) == "Z" })
	if StartTime(pid) == "" {
		t.Error("a process with running threads counts as ended")
	}
	input.Close()
	waitFor("the process counts as ended before its parent has waited for it", func() bool { return StartTime(pid) == "" })
	if state := processState(pid); state != "Z" {
		t.Errorf("the state of the ended process is %q, want Z", state)
	}
}
