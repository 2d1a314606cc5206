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

// asExitingProgram makes the test's program one whose first thread has ended while others run.
const asExitingProgram = "PROCESS_TEST_AS_EXITING"

func init() {
	if os.Getenv(asExitingProgram) != "" {
		runtime.LockOSThread() // TestMain then runs on the first thread
	}
}

func TestMain(m *testing.M) {
	if os.Getenv(asExitingProgram) == "" {
		os.Exit(m.Run())
	}
	go func() {
		fmt.Println("running")
		io.Copy(io.Discard, os.Stdin) // until the test closes it
		os.Exit(0)
	}()
	syscall.Syscall(syscall.SYS_EXIT, 0, 0, 0) // of the thread alone
}

// processState returns the state of a process's first thread as /proc shows it; "": there is no such process.
func processState(pid int) string {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return ""
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	return rest[:1]
}

// TestStartTimeOfProcessThatIsExiting: the threads of a process that ends do so one by one, and until the last has, the
// process holds its sockets. A gateway that is started in its place before finds its address in use.
func TestStartTimeOfProcessThatIsExiting(t *testing.T) {
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), asExitingProgram+"=1")
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
	until := func(what string, is func() bool) {
		t.Helper()
		for end := time.Now().Add(10 * time.Second); !is(); time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("not within 10 s: %s", what)
			}
		}
	}
	until("the first thread has ended", func() bool { return processState(pid) == "Z" })
	if StartTime(pid) == "" {
		t.Error("a process whose threads run counts as ended")
	}
	input.Close()
	until("the process counts as ended before it is waited for", func() bool { return StartTime(pid) == "" })
	if state := processState(pid); state != "Z" {
		t.Errorf("the state of the ended process is %q, want Z", state)
	}
}
