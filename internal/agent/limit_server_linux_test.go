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

// sendLimitCommand says a line to an agent's limit commands and returns the whole reply, "" for none.
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

// An agent's limit commands go by what its instance runs with: they come with the
// first revision that counts them, change with the next, and outlive the agent's restart.
func TestLimitCommandsFollowRevision(t *testing.T) {
	t.Parallel()
	m := newTestAgent(t, "a1", true, nil, newInstances(t, "g0")...)
	l, err := net.Listen("tcp", loopback.Host()+":0")
	if err != nil {
		t.Fatal(err)
	}
	m.config.RESP.Listen = l.Addr().String()
	l.Close()
	m.start()
	at := m.config.RESP.Listen
	m.apply("1", 0, revisionFile(healthyGateway, "basic"))
	m.waitRolloutEnd(1)
	if got := sendLimitCommand(at, "PING"); got != "" {
		t.Fatalf("served although the gateways don't count this front: %q", got)
	}
	counted := "\n[site.quotas]\nfronts = 1\n"
	m.apply("2", 1, revisionFile(healthyGateway, "basic")+counted)
	m.waitRolloutEnd(2)
	waitFor(t, "the plan of the second revision", func() bool {
		return strings.Contains(sendLimitCommand(at, "LIMIT.PLAN 0000000000000001 PLAN basic"), "units_per_s")
	})
	if got := sendLimitCommand(at, "LIMIT.TAKE 0000000000000001 1 PLAN basic"); !strings.Contains(got, "granted\r\n$1\r\n1\r\n") || !strings.Contains(got, "local") {
		t.Errorf("with no counter there: %q", got)
	}
	m.apply("3", 2, revisionFile(healthyGateway, "gold")+counted)
	m.waitRolloutEnd(3)
	waitFor(t, "the plan of the third", func() bool {
		return strings.Contains(sendLimitCommand(at, "LIMIT.PLAN 0000000000000001 PLAN basic"), `there is no plan "basic"; there are gold`)
	})
	m.stop()
	if got := sendLimitCommand(at, "PING"); got != "" {
		t.Errorf("served by an agent that has ended: %q", got)
	}
	m.start()
	waitFor(t, "the plan after a restart", func() bool {
		return strings.Contains(sendLimitCommand(at, "LIMIT.PLAN 0000000000000001 PLAN gold"), "units_per_s")
	})
}

// The front's address may be in use for a moment, by a program that is just being started or by somebody else.
func TestLimitCommandsRetryAddressInUse(t *testing.T) {
	t.Parallel()
	m := newTestAgent(t, "a1", true, nil, newInstances(t, "g0")...)
	l, err := net.Listen("tcp", loopback.Host()+":0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	m.config.RESP.Listen = l.Addr().String()
	m.start()
	m.apply("1", 0, revisionFile(healthyGateway, "basic")+"\n[site.quotas]\nfronts = 1\n")
	m.waitRolloutEnd(1)
	time.Sleep(4 * limitsPollInterval) // the front has been started and has failed
	l.Close()
	waitFor(t, "the front serves", func() bool {
		return strings.Contains(sendLimitCommand(m.config.RESP.Listen, "LIMIT.PLAN 0000000000000001 PLAN basic"), "units_per_s")
	})
}
