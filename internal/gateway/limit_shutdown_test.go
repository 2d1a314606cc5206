package gateway

import (
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"elderyard/internal/site"
)

// withQuota gives the plan basic a local share of 5 units that refills in a second, since there is no counter.
func withQuota(config string) string {
	return strings.Replace(withOperator(config), `"name": "basic", "pays": 1`, `"name": "basic", "pays": 1, "unitsPerS": 10, "depth": 10`, 1)
}

// Guards against limit commands that get no reply because the gateway ends while they wait, also if no request over
// HTTP is open then. A reload or an operator's drain does not end them either.
func TestLimitCommandsAtShutdown(t *testing.T) {
	t.Parallel()
	for name, disrupt := range map[string]func(*testGateway){
		"stop": func(gw *testGateway) { gw.stop() },
		"reload and drain before the stop": func(gw *testGateway) {
			gw.reload <- os.Interrupt
			if got := gw.callOperator(t, "POST", "/_lameduck/on", ""); got != 200 {
				t.Errorf("drain: %d", got)
			}
			gw.stop()
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			address := l.Addr().String()
			l.Close()
			gw := startGatewayOn(t, net.Listen, nil, withQuota, func(s *site.Settings) { s.RESP.Listen, s.RESP.Plan = address, "basic" })
			conn, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			conn.SetDeadline(time.Now().Add(testTimeout))
			// The second take gets its units after a second, the third none before the kill.
			io.WriteString(conn, "LIMIT.TAKE 0000000000000001 5 PARTIAL\r\n")
			first := make([]byte, 1)
			if _, err := io.ReadFull(conn, first); err != nil {
				t.Fatal(err)
			}
			io.WriteString(conn, "LIMIT.TAKE 0000000000000001 4 WAIT 60000\r\nLIMIT.TAKE 0000000000000001 10 WAIT 60000\r\n")
			time.Sleep(2 * shutdownPollInterval) // until they wait
			disrupt(gw)
			replies, err := io.ReadAll(conn)
			granted := strings.Split(string(replies), "granted\r\n")
			if err != nil || len(granted) != 4 || !strings.HasPrefix(granted[2], "$1\r\n4\r\n") || !strings.HasPrefix(granted[3], "$1\r\n0\r\n") {
				t.Errorf("replies %q, %v, want grants of 4 and 0 units", replies, err)
			}
			if err := wait(t, gw.runErr, "end"); err != nil {
				t.Errorf("ended with %v", err)
			}
		})
	}
}
