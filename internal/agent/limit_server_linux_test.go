package agent

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"elderyard/internal/loopback"
)

// sendLimitCommand sends a command to an agent's server of limit commands. It returns the whole reply, or "" if the
// server can't be reached.
func sendLimitCommand(address, line string) string {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return ""
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(testTimeout))
	fmt.Fprintf(conn, "%s\r\nQUIT\r\n", line)
	text, _ := io.ReadAll(conn)
	return string(text)
}

// holdTake sends a take that waits for units, and returns a function that returns the connection's replies once it ends.
func holdTake(t *testing.T, address, plan string) (replies func() string) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	fmt.Fprintf(conn, "LIMIT.TAKE 0000000000000002 20 WAIT 60000 PLAN %s\r\n", plan)
	return func() string {
		conn.SetDeadline(time.Now().Add(testTimeout))
		text, _ := io.ReadAll(conn)
		return string(text)
	}
}

// An agent must serve limit commands with the settings of its instance: from the first
// revision that counts the server, with the plans of each later one, and after a restart. Commands that
// wait when a revision replaces the server, or when the agent stops, must get a reply.
func TestLimitCommandsFollowRevision(t *testing.T) {
	t.Parallel()
	agent := newTestAgent(t, "a1", true, nil, newInstances(t, "g0")...)
	l, err := net.Listen("tcp", loopback.Host()+":0")
	if err != nil {
		t.Fatal(err)
	}
	agent.config.RESP.Listen = l.Addr().String()
	l.Close()
	agent.start()
	address := agent.config.RESP.Listen
	agent.apply("1", 0, revisionFile(healthyGateway, "basic"))
	agent.waitRolloutEnd(1)
	if got := sendLimitCommand(address, "PING"); got != "" {
		t.Fatalf("served although the revision does not count this server: %q", got)
	}
	quotas := "\n[site.quotas]\nfronts = 1\n"
	agent.apply("2", 1, revisionFile(healthyGateway, "basic")+quotas)
	agent.waitRolloutEnd(2)
	waitFor(t, "the plan of the second revision", func() bool {
		return strings.Contains(sendLimitCommand(address, "LIMIT.PLAN 0000000000000001 PLAN basic"), "units_per_s")
	})
	if got := sendLimitCommand(address, "LIMIT.TAKE 0000000000000001 1 PLAN basic"); !strings.Contains(got, "granted\r\n$1\r\n1\r\n") || !strings.Contains(got, "local") {
		t.Errorf("reply without a reachable counter: %q", got)
	}
	held := holdTake(t, address, "basic")
	agent.apply("3", 2, revisionFile(healthyGateway, "gold")+quotas)
	agent.waitRolloutEnd(3)
	waitFor(t, "the plan of the third revision", func() bool {
		return strings.Contains(sendLimitCommand(address, "LIMIT.PLAN 0000000000000001 PLAN basic"), `there is no plan "basic"; there are gold`)
	})
	if got := held(); !strings.Contains(got, "granted") {
		t.Errorf("reply to a take that waits when a revision replaces the server: %q", got)
	}
	held = holdTake(t, address, "gold")
	sendLimitCommand(address, "PING") // the agent has received the take by then
	agent.stop()
	if got := held(); !strings.Contains(got, "granted") {
		t.Errorf("reply to a take that waits when the agent stops: %q", got)
	}
	if got := sendLimitCommand(address, "PING"); got != "" {
		t.Errorf("served after the agent has stopped: %q", got)
	}
	agent.start()
	waitFor(t, "the plan after a restart", func() bool {
		return strings.Contains(sendLimitCommand(address, "LIMIT.PLAN 0000000000000001 PLAN gold"), "units_per_s")
	})
}

// The server must retry while its address is in use, for example by a forked child that holds a copy of the listener.
func TestLimitCommandsRetryAddressInUse(t *testing.T) {
	t.Parallel()
	agent := newTestAgent(t, "a1", true, nil, newInstances(t, "g0")...)
	l, err := net.Listen("tcp", loopback.Host()+":0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	agent.config.RESP.Listen = l.Addr().String()
	agent.start()
	agent.apply("1", 0, revisionFile(healthyGateway, "basic")+"\n[site.quotas]\nfronts = 1\n")
	agent.waitRolloutEnd(1)
	time.Sleep(4 * limitsPollInterval) // until a start has failed
	l.Close()
	waitFor(t, "the server responds", func() bool {
		return strings.Contains(sendLimitCommand(agent.config.RESP.Listen, "LIMIT.PLAN 0000000000000001 PLAN basic"), "units_per_s")
	})
}
