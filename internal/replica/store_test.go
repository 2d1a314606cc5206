package replica

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"

	"elderyard/fleet"
	"elderyard/internal/testwait"
)

// TestSingleVoterRestoresStateAfterRestart: a restarted voter has the entries of its snapshot and of the log after it.
func TestSingleVoterRestoresStateAfterRestart(t *testing.T) {
	v := newVoter(t, newNetwork(), "v0")
	v.bootstrap = true
	testwait.Must(t, v.start(t))
	testwait.Until(t, testTimeout, "the voter leads", func() bool { return v.store.VerifyLeader() == nil })
	changed := v.store.Changed()
	propose(t, v.store, command("1", 0, "a"))
	<-changed
	propose(t, v.store, rolloutApplied(1))
	testwait.Must(t, v.store.raft.Snapshot().Error())
	propose(t, v.store, command("2", 1, "b")) // only in the log, not in the snapshot
	for range 2 {
		v.stop()
		testwait.Must(t, v.start(t)) // Bootstrap has no effect on a directory with state
		testwait.Until(t, testTimeout, "the voter leads again", func() bool { return v.store.VerifyLeader() == nil })
		if r := head(v.store); r.Number != 2 || r.Content.File != "b" {
			t.Fatalf("%+v", r)
		}
	}
	if _, err := v.store.Remove("v0"); !errors.Is(err, ErrOnlyVoter) {
		t.Fatalf("removal of the only voter: %v", err)
	}
}

// TestFullDiskIsReportedAndLosesNothing: a proposal fails with the error of the disk, and the voter recovers once
// writes succeed.
func TestFullDiskIsReportedAndLosesNothing(t *testing.T) {
	v := newVoter(t, newNetwork(), "v0")
	v.bootstrap = true
	var full atomic.Bool
	v.injectWriteError = func() error {
		if full.Load() {
			return errors.New("no space left on device")
		}
		return nil
	}
	testwait.Must(t, v.start(t))
	testwait.Until(t, testTimeout, "the voter leads", func() bool { return v.store.VerifyLeader() == nil })
	propose(t, v.store, command("1", 0, "a"))
	full.Store(true)
	_, err := v.store.Propose(t.Context(), rolloutApplied(1))
	if err == nil || !strings.Contains(err.Error(), "no space left") || v.store.DiskError() == nil {
		t.Fatalf("%v", err)
	}
	full.Store(false)
	testwait.Until(t, testTimeout, "the voter leads again", func() bool { return v.store.VerifyLeader() == nil })
	if head(v.store).Number != 1 || v.store.DiskError() != nil {
		t.Fatal("the revision is lost, or the disk error remains")
	}
}

// TestSavedStateIsRestoredCompletelyOrNotAtAll: a truncated state is rejected and changes nothing; a complete one
// reaches all voters.
func TestSavedStateIsRestoredCompletelyOrNotAtAll(t *testing.T) {
	_, voters := startThree(t)
	leader := awaitLeader(t, voters)
	propose(t, leader.store, command("1", 0, "a"))
	var saved []byte
	leader.store.View(func(s *fleet.State) { saved, _ = s.Snapshot() })
	propose(t, leader.store, rolloutApplied(1))
	propose(t, leader.store, command("2", 1, "b"))
	if err := leader.store.RestoreState(saved[:len(saved)-3]); err == nil || head(leader.store).Number != 2 {
		t.Fatalf("a truncated state: %v", err)
	}
	testwait.Must(t, leader.store.RestoreState(saved))
	for _, v := range voters {
		testwait.Until(t, testTimeout, v.name+" has the saved state", func() bool { return head(v.store).Number == 1 })
	}
	propose(t, leader.store, rolloutApplied(1))
}

// TestLastVoterRecoversSite: a voter whose site has permanently lost the others becomes the only one, with the
// committed state. An empty directory can't be recovered from.
func TestLastVoterRecoversSite(t *testing.T) {
	_, voters := startThree(t)
	leader := awaitLeader(t, voters)
	propose(t, leader.store, command("1", 0, "a"))
	testwait.Until(t, testTimeout, "the last voter has the revision", func() bool { return head(voters[2].store).Number == 1 })
	for _, v := range voters {
		v.stop()
	}
	survivor := voters[2]
	survivor.recover = true
	testwait.Must(t, survivor.start(t))
	testwait.Until(t, testTimeout, "the voter leads alone", func() bool { return survivor.store.VerifyLeader() == nil })
	if head(survivor.store).Number != 1 {
		t.Fatal("a committed revision is lost")
	}
	propose(t, survivor.store, rolloutApplied(1))
	empty := newVoter(t, newNetwork(), "v8")
	empty.recover = true
	if err := empty.start(t); !errors.Is(err, ErrNothingToRecover) || !strings.Contains(err.Error(), "nothing to recover") {
		t.Fatal(err)
	}
}

// TestDamagedLogIsAnError: Open returns ErrDamaged for log files that are truncated or overwritten. Without the check,
// bbolt would panic, or kill the process by reading beyond the end of its mapping.
func TestDamagedLogIsAnError(t *testing.T) {
	v := newVoter(t, newNetwork(), "v0")
	v.bootstrap = true
	testwait.Must(t, v.start(t))
	testwait.Until(t, testTimeout, "the voter leads", func() bool { return v.store.VerifyLeader() == nil })
	for i := range uint64(20) {
		propose(t, v.store, command(fmt.Sprint(i), i, strings.Repeat("x", 20000)+fmt.Sprint(i)))
		propose(t, v.store, rolloutApplied(i+1))
	}
	v.stop()
	path := filepath.Join(v.dir, LogFileName)
	good, err := os.ReadFile(path)
	testwait.Must(t, err)
	scrambled := append([]byte(nil), good...)
	for i := 2 * os.Getpagesize(); i < len(scrambled); i++ {
		scrambled[i] ^= 0x5a
	}
	for name, text := range map[string][]byte{
		"empty": {}, "one byte": {1}, "half": good[:len(good)/2], "one page": good[:os.Getpagesize()],
		"no meta page": append(make([]byte, 2*os.Getpagesize()), good[2*os.Getpagesize():]...), "scrambled": scrambled,
	} {
		testwait.Must(t, os.WriteFile(path, text, 0o600))
		if err := v.start(t); !errors.Is(err, ErrDamaged) || !strings.Contains(err.Error(), "is damaged") || !strings.Contains(err.Error(), path) {
			t.Errorf("%s: %v", name, err)
			v.stop()
		}
	}
	testwait.Must(t, os.WriteFile(path, good, 0o600))
	testwait.Must(t, v.start(t))
	testwait.Until(t, testTimeout, "the voter leads again", func() bool { return v.store.VerifyLeader() == nil })
	if head(v.store).Number != 20 {
		t.Fatal(head(v.store).Number)
	}
}
