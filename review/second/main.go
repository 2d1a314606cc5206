// Second plays the cases of the second review, one a run: it starts the gateways as processes, plays
// clients, backends, discovery and the counter on loopback, and rules on what crossed the sockets.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit statuses.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2 // the case could not run
)

// longest is how long a case may take.
const longest = 112 * time.Second

// errBroken is returned by a case in which the rule was broken.
var errBroken = errors.New("the rule was broken")

var cases = map[string]func(*rig) error{
	"ceiling-counter": playCeilingCounter,
	"ceiling-open":    playCeilingOpen,
	"drain-restart":   playDrainRestart,
	"hidden-request":  playHiddenRequest,
	"limit-shutdown":  playLimitShutdown,
	"silent-backend":  playSilentBackend,
	"limit-token":     playLimitToken,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: second CASE FOLDER")
		os.Exit(exitFailed)
	}
	os.Exit(run(cases[os.Args[1]], filepath.Join(os.Args[2], "record.txt")))
}

// run plays a case and returns the exit status.
func run(play func(*rig) error, path string) int {
	r, err := newRig(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer r.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	go func() { // ends with the program
		select {
		case <-interrupted:
		case <-time.After(longest):
		}
		r.say("verdict: interrupted")
		r.close()
		os.Exit(exitFailed)
	}()
	err = play(r)
	switch {
	case errors.Is(err, errBroken):
		r.say("verdict: broken")
		return exitBroken
	case err != nil:
		r.say("verdict: the case could not run: %v", err)
		return exitFailed
	}
	r.say("verdict: held")
	return exitHeld
}
