package respfront

import (
	"crypto/tls"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"elderyard/internal/resp"
	"elderyard/internal/testpeer"
)

// stopAfterClose stops the server and waits until it has closed its listener: commands after that cross its end.
func (r *rig) stopAfterClose(t *testing.T) {
	t.Helper()
	r.stop()
	r.waitFor(t, "the listener is closed", func() bool {
		conn, err := net.Dial("tcp", r.address)
		if err == nil {
			conn.Close()
		}
		return err != nil
	})
}

// expectReplies reads one reply for each prefix, which it must have, and then the end of the connection.
func expectReplies(t *testing.T, conn net.Conn, prefixes ...string) {
	t.Helper()
	conn.SetDeadline(time.Now().Add(testpeer.Timeout))
	reader := resp.NewReader(conn, resp.Limits{Args: 1000, Bulk: 1 << 16, Total: 1 << 18, Depth: 5})
	for i, prefix := range prefixes {
		if v, err := reader.Reply(); err != nil || !strings.HasPrefix(text(v), prefix) {
			t.Fatalf("reply %d: %s, %v, want %s", i, text(v), err, prefix)
		}
	}
	if v, err := reader.Reply(); err != io.EOF {
		t.Errorf("after the last reply: %s, %v, want the end of the connection", text(v), err)
	}
}

// Guards against commands that get no reply because the server stops: takes that wait for units, the
// rest of their pipeline, and a command that has been received in part. Idle connections end.
func TestStopRepliesToReceivedCommands(t *testing.T) {
	cert, pool := testpeer.SelfSignedCertificate(t)
	for name, set := range map[string]Settings{"plain": {}, "TLS": {TLS: &tls.Config{Certificates: []tls.Certificate{cert}}}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			set.Stop = StopTimeouts{Wait: testpeer.Timeout, Reply: testpeer.Timeout}
			r := newRig(t, set)
			dial := func(first string) net.Conn {
				var conn net.Conn = r.dial(t)
				if set.TLS != nil {
					conn = tls.Client(conn, &tls.Config{RootCAs: pool, ServerName: "127.0.0.1"})
				}
				io.WriteString(conn, first)
				return conn
			}
			r.counter.setSilent(true)
			take := "LIMIT.TAKE " + basic + " 5 WAIT 60000 ID "
			waiting, pipeline, leaving := dial(take+"a\r\n"), dial(take+"a\r\n"+strings.Repeat("PING\r\n", 2*maxBatch)), dial(take+"b\r\n")
			idle, partial := dial("PING\r\n"), dial("PING\r\nPI")
			io.ReadFull(idle, make([]byte, len("+PONG\r\n")))
			io.ReadFull(partial, make([]byte, len("+PONG\r\n")))
			r.waitFor(t, "the takes wait", func() bool { return r.rememberedTakes() == 2 && r.waitingRepeats() == 1 })
			r.stopAfterClose(t)
			expectReplies(t, idle)
			io.WriteString(partial, "NG\r\n")
			expectReplies(t, partial, "PONG")
			leaving.Close()
			r.waitFor(t, "the take of a client that has left is cancelled", func() bool { return r.rememberedTakes() == 1 })
			r.counter.setSilent(false)
			expectReplies(t, waiting, "[granted 5")
			expectReplies(t, pipeline, append([]string{"[granted 5"}, strings.Split(strings.Repeat("PONG ", 2*maxBatch-1)+"PONG", " ")...)...)
			<-r.stopped
			if units := r.limiter.stats.units.Load(); units != 5 {
				t.Errorf("%d units were taken, want 5", units)
			}
		})
	}
}

// Guards against a server whose end waits for takes that get no units, or for clients that don't
// read: the takes, also those of one pipeline that run one after the other, are refused when the time
// to stop is over, and such clients are cut off.
func TestStopTimeout(t *testing.T) {
	r := newRig(t, Settings{Stop: StopTimeouts{Wait: 100 * time.Millisecond, Reply: time.Second}})
	r.counter.setSilent(true)
	take, give := "LIMIT.TAKE "+basic+" 5 WAIT 60000 ID ", "LIMIT.GIVE "+basic+" 1 ID none\r\n"
	repeated, pipeline := r.dial(t), r.dial(t)
	io.WriteString(pipeline, strings.Repeat(take+"a\r\n"+give, 5))
	r.waitFor(t, "the take waits", func() bool { return r.rememberedTakes() == 1 })
	io.WriteString(repeated, take+"a\r\n")
	r.waitFor(t, "its repeat waits", func() bool { return r.waitingRepeats() == 1 })
	nonReader := testpeer.DialWithReceiveBuffer(t, r.address, 4<<10)
	go func() { // ends with its connection
		for err := error(nil); err == nil; {
			_, err = io.WriteString(nonReader, strings.Repeat("ECHO "+strings.Repeat("x", 1000)+"\r\n", 100))
		}
	}()
	r.waitFor(t, "the client that doesn't read is connected", func() bool { return r.server.connections.Load() == 3 })
	start := time.Now()
	r.stop()
	expectReplies(t, repeated, "[granted 0")
	expectReplies(t, pipeline, strings.Split(strings.Repeat("[granted 0|-ERR no take|", 4)+"[granted 0|-ERR no take", "|")...)
	<-r.stopped
	if took := time.Since(start); took > writeTimeout {
		t.Errorf("the server ended after %v", took)
	}
}

// holdLoop is a message to the event loop, which then does nothing else until release is closed.
type holdLoop struct{ release <-chan struct{} }

func (m holdLoop) Process() { <-m.release }

// Guards against a server that drops the reply of a take because its machine is late when the last takes are decided.
func TestStopRepliesWhenMachineIsLate(t *testing.T) {
	const late = 300 * time.Millisecond
	r := newRig(t, Settings{Stop: StopTimeouts{Wait: time.Millisecond, Reply: testpeer.Timeout}})
	r.counter.setSilent(true)
	waiting := r.dial(t)
	io.WriteString(waiting, "LIMIT.TAKE "+basic+" 5 WAIT 60000 ID a\r\n")
	r.waitFor(t, "the take waits", func() bool { return r.rememberedTakes() == 1 })
	release := make(chan struct{})
	r.limiter.loop.Post(holdLoop{release})
	r.stop()
	time.AfterFunc(late, func() { close(release) })
	expectReplies(t, waiting, "[granted 0")
}

// Guards against replies that are lost because commands behind the last one reset the connection.
func TestEndOfConnectionKeepsReplies(t *testing.T) {
	c := newRig(t, Settings{}).dial(t)
	io.WriteString(c, "ECHO x\r\nQUIT\r\n"+strings.Repeat("PING\r\n", 1<<13))
	expectReplies(t, c, "x", "OK")
}
