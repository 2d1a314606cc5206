package respfront

import (
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"math"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/redis/go-redis/v9"
	"github.com/redis/rueidis"
	"go.uber.org/goleak"

	"elderyard/internal/counter"
	"elderyard/internal/owner"
	"elderyard/internal/resp"
	"elderyard/internal/testpeer"
	"elderyard/rules"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeCounter is a counter in memory. It answers calls in order, unless it is silent.
type fakeCounter struct {
	calls  chan *counter.Call
	mu     sync.Mutex
	totals map[uint64]float64
	silent bool
}

func (c *fakeCounter) Add(call *counter.Call) bool {
	select {
	case c.calls <- call:
		return true
	default:
		return false
	}
}

func (c *fakeCounter) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case call := <-c.calls:
			c.mu.Lock()
			silent := c.silent
			if !silent {
				c.totals[call.Key] += call.Amount
			}
			total := c.totals[call.Key]
			c.mu.Unlock()
			if !silent {
				call.Report(call, rules.Served, total)
			}
		}
	}
}

func (c *fakeCounter) setSilent(silent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent = silent
}

const (
	gold    = "0000000000000001" // an account with a burst of 100 units, which doesn't refill during a test
	basic   = "0000000000000002" // a burst of 5
	unknown = "0000000000000003" // no configured plan
	free    = "0000000000000004" // no quota
)

// rig is a running server with its event loop and counter.
type rig struct {
	address string
	limiter *Limiter
	server  *Server
	counter *fakeCounter
	stop    context.CancelFunc // stops the server
	stopped chan struct{}      // closed when the server has stopped
}

func newRig(t *testing.T, set Settings) *rig {
	t.Helper()
	r := &rig{counter: &fakeCounter{calls: make(chan *counter.Call, 1024), totals: map[uint64]float64{}}, stopped: make(chan struct{})}
	s := rules.Settings{Classes: []rules.Class{{LatencyObjective: 1, Timeout: 2, Value: 1}},
		Plans:     []rules.Plan{{Price: 1, Rate: 1e-3, Burst: 100}, {Price: 1, Rate: 1e-3, Burst: 5}, {Price: 1}},
		FleetSize: 3, Tick: 0.002, HasCounter: true, CounterTimeout: 0.5}
	loop := owner.New(s, 1, r.counter)
	loop.Start(nil)
	var err error
	if r.limiter, err = NewLimiter(loop, s, []string{"gold", "basic", "free"}, map[uint64]string{1: "gold", 2: "basic", 4: "free"}, ""); err != nil {
		t.Fatal(err)
	}
	if set.MaxConnections == 0 {
		set.MaxConnections = 64
	}
	if set.IdleTimeout == 0 {
		set.IdleTimeout = time.Minute
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r.address = l.Addr().String()
	ctx, stop := context.WithCancel(context.Background())
	serverCtx, stopServer := context.WithCancel(ctx)
	r.stop = stopServer
	var wg sync.WaitGroup
	wg.Go(func() { loop.Run(ctx) })
	wg.Go(func() { r.counter.run(ctx) })
	r.server = New(r.limiter, set)
	wg.Go(func() { defer close(r.stopped); r.server.Serve(serverCtx, l) })
	t.Cleanup(func() {
		stopServer()
		<-r.stopped // the server must stop before the event loop
		stop()
		wg.Wait()
	})
	return r
}

// rawClient is a connection that writes text without encoding it.
type rawClient struct {
	net.Conn
	t *testing.T
	r *resp.Reader
}

func (r *rig) dial(t *testing.T) *rawClient {
	t.Helper()
	c, err := net.Dial("tcp", r.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(testpeer.Timeout))
	return &rawClient{c, t, resp.NewReader(c, resp.Limits{Args: 1000, Bulk: 1 << 16, Total: 1 << 18, Depth: 5})}
}

// do writes commands, one per line, and returns their replies as text.
func (c *rawClient) do(lines ...string) []string {
	c.t.Helper()
	io.WriteString(c, strings.Join(lines, "\r\n")+"\r\n")
	var replies []string
	for range lines {
		v, err := c.r.Reply()
		if err != nil {
			c.t.Fatalf("%q: %v after the replies %q", lines, err, replies)
		}
		replies = append(replies, text(v))
	}
	return replies
}

// text formats a reply.
func text(v resp.Value) string {
	switch v.Kind {
	case resp.Int:
		return fmt.Sprint(v.Int)
	case resp.Double:
		return fmt.Sprint(v.Float)
	case resp.Bool:
		return fmt.Sprint(v.Int == 1)
	case resp.Null:
		return "nil"
	case resp.Error:
		return "-" + v.Str
	case resp.Array, resp.Map, resp.Set, resp.Push:
		var parts []string
		for _, element := range v.Elements {
			parts = append(parts, text(element))
		}
		return "[" + strings.Join(parts, " ") + "]"
	}
	return v.Str
}

// Each command, with valid and invalid arguments, has the expected reply.
func TestCommands(t *testing.T) {
	r := newRig(t, Settings{})
	c := r.dial(t)
	for _, step := range [][2]string{
		{"PING", "PONG"}, {"PING a", "a"}, {"PING a b", "-ERR wrong number of arguments for 'ping' command"},
		{"echo 'a b'", "a b"}, {"SELECT 0", "OK"}, {"SELECT 1", "-ERR DB index is out of range"}, {"SELECT x", "-ERR value is not"},
		{"CLIENT GETNAME", "nil"}, {"CLIENT SETNAME app", "OK"}, {"CLIENT GETNAME", "app"}, {"CLIENT SETNAME 'a b'", "-ERR Client names"},
		{"CLIENT ID", "1"}, {"CLIENT SETINFO LIB-NAME x", "OK"}, {"CLIENT SETINFO OTHER x", "-ERR lib-name"}, {"CLIENT NO-EVICT on", "OK"},
		{"CLIENT NO-TOUCH maybe", "-ERR syntax"}, {"CLIENT KILL x", "-ERR unknown subcommand"}, {"COMMAND COUNT", "16"},
		{"COMMAND INFO ping nothing", "[[ping -1 [fast] 0 0 0 [] [] [] []] nil]"}, {"COMMAND DOCS limit.stats", "[limit.stats [summary Counts takes"},
		{"COMMAND FLUSH", "-ERR unknown subcommand"}, {"GET a", "-ERR unknown command 'GET'"}, {"AUTH x", "-ERR AUTH called without"},
		{"HELLO 4", "-NOPROTO"}, {"HELLO x", "-ERR Protocol version"}, {"HELLO 3 SETNAME", "-ERR syntax"},
		{"HELLO 3 SETNAME other", "[server elderyard version 7.0.0 proto 3 id 1 mode standalone role master modules []]"}, {"CLIENT GETNAME", "other"},
		{"RESET", "RESET"}, {"CLIENT GETNAME", "nil"},
		{"LIMIT.PLAN " + gold, "[plan gold units_per_s 0.001 burst 100 ceiling_per_s 0 ceiling_burst 0]"},
		{"LIMIT.PLAN " + gold + " PLAN basic", "-ERR the plan of this account is gold"},
		{"LIMIT.PLAN " + unknown, "-ERR the plan of this account is not known here"}, {"LIMIT.PLAN " + unknown + " PLAN basic", "[plan basic"},
		{"LIMIT.PLAN " + unknown + " PLAN none", "-ERR there is no plan \"none\"; there are gold, basic, free"},
		{"LIMIT.PEEK " + free, "[remaining inf exact 1 reset_after_ms 0]"},
		{"LIMIT.TAKE " + free + " 1000000", "[granted 1000000 remaining inf exact 1 source local"},
		{"LIMIT.TAKE " + basic + " 2", "[granted 2 remaining 3 exact 1 source shared retry_after_ms 0 reset_after_ms"},
		{"LIMIT.PEEK " + basic, "[remaining 3 exact 1 reset_after_ms"},
		{"LIMIT.TAKE " + basic + " 6", "-ERR 6 units are more than plan basic ever has at once, which is 5"},
		{"LIMIT.TAKE " + basic + " 4", "[granted 0 remaining 3 exact 1 source none retry_after_ms"},
		{"LIMIT.TAKE " + basic + " 4 PARTIAL", "[granted 3 remaining 0 exact 1 source shared"},
		{"LIMIT.TAKE " + basic + " 0", "-ERR units '0'"}, {"LIMIT.TAKE " + basic + " nan", "-ERR units 'nan'"}, {"LIMIT.TAKE " + basic + " -1", "-ERR units"},
		{"LIMIT.TAKE " + basic + " 1e300", "-ERR units"}, {"LIMIT.TAKE x 1", "-ERR account 'x' is not"}, {"LIMIT.TAKE ffffffffffffffff 1", "-ERR account"},
		{"LIMIT.TAKE " + basic + " 1 WAIT", "-ERR syntax error: WAIT needs a value"}, {"LIMIT.TAKE " + basic + " 1 WAIT -1", "-ERR WAIT '-1'"},
		{"LIMIT.TAKE " + basic + " 1 WAIT 1 WAIT 2", "-ERR syntax error: WAIT stands twice"}, {"LIMIT.TAKE " + basic + " 1 FOO", "-ERR syntax error: 'FOO'"},
		{"LIMIT.TAKE " + basic + " 1 SPREAD 2", "-ERR syntax error: SPREAD and FIRST"}, {"LIMIT.TAKE " + basic + " 1 SPREAD 4 FIRST 0", "-ERR SPREAD '4'"},
		{"LIMIT.TAKE " + basic + " 1 ID ''", "-ERR a token has"},
		{"LIMIT.GIVE " + basic + " 1 ID none", "-ERR no take under this token"}, {"LIMIT.GIVE " + basic + " 1 SPREAD 1", "-ERR syntax error: SPREAD and"},
		{"LIMIT.GIVE " + basic + " 1 PARTIAL x", "-ERR syntax error: 'PARTIAL'"},
		{"CL.THROTTLE " + gold + " 99 1 1000", "[0 100 99 -1 1000]"}, {"CL.THROTTLE " + gold + " 99 1 1000 0", "[0 100 99 -1 1000]"},
		{"CL.THROTTLE " + gold + " 99 1 1000 101", "-ERR 101 units are more"}, {"CL.THROTTLE " + gold + " 99 1 60", "-ERR the plan of this account is gold: a burst of 100 units and 0.001 a second; max_burst would be 99"},
		{"CL.THROTTLE " + gold + " 98 1 1000", "-ERR the plan of this account is gold"}, {"CL.THROTTLE " + unknown + " 4 1 1000 5", "[0 5 0 -1 5000]"},
		{"CL.THROTTLE " + unknown + " 4 1 1000", "[1 5 0 2000 5000]"}, {"CL.THROTTLE " + unknown + " 7 1 1000", "-ERR no plan of this site"},
		{"CL.THROTTLE " + gold + " 99 1 0", "-ERR '0' is not"}, {"CL.THROTTLE " + gold + " 99 x 1000", "-ERR 'x'"}, {"CL.THROTTLE " + gold + " 99 1", "-ERR wrong number"},
		{"LIMIT.STATS", "[takes 7 units 1000011 refused 2 local 1 repeats 0 gives 0 peeks 3]"},
		{"QUIT", "OK"},
	} {
		if got := c.do(step[0])[0]; !strings.HasPrefix(got, step[1]) {
			t.Errorf("%s: got %s, want prefix %s", step[0], got, step[1])
		}
	}
	if _, err := c.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("read after QUIT: %v, want io.EOF", err)
	}
}

// A take with a token counts once, also from another connection, and its units can be
// returned once.
func TestTokens(t *testing.T) {
	r := newRig(t, Settings{})
	one, two := r.dial(t), r.dial(t)
	// In a pipeline, a take is decided before a give of its token runs.
	got := one.do("LIMIT.TAKE "+basic+" 4 ID a", "LIMIT.GIVE "+basic+" 4 ID a", "LIMIT.TAKE "+basic+" 5 ID b")
	if !strings.HasPrefix(got[0], "[granted 4 remaining 1") || !strings.HasPrefix(got[1], "[given 4 remaining 5") || !strings.HasPrefix(got[2], "[granted 5") {
		t.Fatalf("%q", got)
	}
	for i, step := range [][2]string{
		{"LIMIT.TAKE " + basic + " 5 ID b", "[granted 5 remaining nil exact 0 source shared retry_after_ms 0 reset_after_ms 0 repeated 1]"},
		{"LIMIT.TAKE " + basic + " 4 ID b", "-ERR the token stands for a take of another number"},
		{"LIMIT.GIVE " + basic + " 1 ID a", "-ERR what this token took has been given back"},
		{"LIMIT.GIVE " + basic + " 6 ID b", "-ERR more than the token took"},
		{"LIMIT.GIVE " + gold + " 1 ID b", "-ERR no take under this token"},
		{"LIMIT.TAKE " + basic + " 1", "[granted 0"},
		{"LIMIT.GIVE " + basic + " 2 ID b", "[given 2"},
		{"LIMIT.TAKE " + basic + " 3", "[granted 0"},
		{"LIMIT.TAKE " + basic + " 2", "[granted 2"},
	} {
		if got := two.do(step[0])[0]; !strings.HasPrefix(got, step[1]) {
			t.Errorf("step %d, %s: got %s, want prefix %s", i, step[0], got, step[1])
		}
	}
}

// A repeat of a pending take receives its result, also if the client of the first one has
// disconnected. A pending take without a repeat whose client disconnects takes no units.
func TestRepeatOfPendingTake(t *testing.T) {
	r := newRig(t, Settings{})
	r.counter.setSilent(true)
	first, repeat, lone := r.dial(t), r.dial(t), r.dial(t)
	io.WriteString(first, "LIMIT.TAKE "+basic+" 5 ID a WAIT 20000\r\n")
	io.WriteString(lone, "LIMIT.TAKE "+basic+" 2 ID c WAIT 20000\r\n")
	r.waitFor(t, "both takes are pending", func() bool { return r.rememberedTakes() == 2 })
	io.WriteString(repeat, "LIMIT.TAKE "+basic+" 5 ID a WAIT 20000\r\n")
	r.waitFor(t, "the repeat waits", func() bool { return r.waitingRepeats() == 1 })
	first.Close()
	lone.Close()
	r.waitFor(t, "the lone take is cancelled", func() bool { return r.rememberedTakes() == 1 })
	r.counter.setSilent(false)
	v, err := repeat.r.Reply()
	if got := text(v); err != nil || !strings.HasPrefix(got, "[granted 5") || !strings.HasSuffix(got, "repeated 1]") {
		t.Errorf("reply of the repeat: %s, %v", got, err)
	}
}

// rememberedTakes returns the number of takes with a token that are remembered.
func (r *rig) rememberedTakes() (n int) {
	r.runInLoop(func() { n = r.limiter.tokens.Len() })
	return n
}

// waitingRepeats returns the number of pending takes that have repeats.
func (r *rig) waitingRepeats() (n int) {
	r.runInLoop(func() { n = len(r.limiter.repeats) })
	return n
}

// call is a message to the event loop.
type call struct {
	f    func()
	done chan struct{}
}

func (c call) Process() { c.f(); close(c.done) }

// runInLoop runs f in the event loop's goroutine.
func (r *rig) runInLoop(f func()) {
	c := call{f, make(chan struct{})}
	if r.limiter.loop.Post(c) {
		<-c.done
	}
}

func (r *rig) waitFor(t *testing.T, condition string, satisfied func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testpeer.Timeout); !satisfied(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting until %s", condition)
		}
	}
}

// A client pipelines 1000 takes and disconnects before, during or after the replies. Each
// take counts at most once, and a command that was received incompletely doesn't count.
func TestDisconnectWithPipelinedTakes(t *testing.T) {
	for name, read := range map[string]int{"before the replies": 0, "during the replies": 300, "after the replies": math.MaxInt} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, Settings{})
			c := r.dial(t)
			var w resp.Writer
			for range 1000 {
				w.Command("LIMIT.TAKE", free, "1")
			}
			complete := len(w.Buf)
			w.Command("LIMIT.TAKE", free, "1")
			c.Write(w.Buf[:complete+(len(w.Buf)-complete)/2]) // the last command ends within a bulk string
			if read > 0 {
				for range min(read, 1000) {
					if _, err := c.r.Reply(); err != nil {
						t.Fatal(err)
					}
				}
			}
			if read == 0 {
				r.waitFor(t, "the first takes are decided", func() bool { return r.limiter.stats.takes.Load() > 0 })
			}
			c.Close()
			r.stop()
			<-r.stopped
			takes, units := r.limiter.stats.takes.Load(), r.limiter.stats.units.Load()
			if takes > 1000 || takes != units || read == math.MaxInt && takes != 1000 {
				t.Errorf("%d takes of %d units in all", takes, units)
			}
		})
	}
}

// Malformed input closes the connection with an error, after the replies to the commands
// before it.
func TestProtocolErrors(t *testing.T) {
	r := newRig(t, Settings{})
	for _, malformed := range []string{"*1000000000\r\n", "*1\r\n$-5\r\n", "*1\r\n$99999\r\n", "*1\r\n:1\r\n", "echo \"a\r\n", strings.Repeat("x", 1<<16)} {
		c := r.dial(t)
		io.WriteString(c, "PING\r\n"+malformed)
		pong, err := c.r.Reply()
		failure, err2 := c.r.Reply()
		if text(pong) != "PONG" || err != nil || !strings.HasPrefix(text(failure), "-ERR Protocol error") || err2 != nil {
			t.Errorf("%.20q: replies %s %v, %s %v", malformed, text(pong), err, text(failure), err2)
		}
		if _, err := c.r.Reply(); err == nil {
			t.Errorf("%.20q: the connection stays open", malformed)
		}
	}
}

// Users can run only their commands for their accounts, and clients that haven't logged in
// can run none.
func TestPermissions(t *testing.T) {
	r := newRig(t, Settings{Users: []User{
		{Name: "default", Password: sha256.Sum256([]byte("open")), Accounts: []uint64{1, 2}},
		{Name: "reader", Password: sha256.Sum256([]byte("sesame")), Accounts: []uint64{2}, Commands: []string{"LIMIT.PEEK"}}}})
	c := r.dial(t)
	for _, step := range [][2]string{
		{"PING", "-NOAUTH"}, {"LIMIT.PEEK " + basic, "-NOAUTH"}, {"INFO", "-NOAUTH"}, {"HELLO 3", "-NOAUTH HELLO"},
		{"AUTH wrong", "-WRONGPASS"}, {"AUTH reader open", "-WRONGPASS"}, {"AUTH nobody open", "-WRONGPASS"},
		{"HELLO 3 AUTH reader wrong", "-WRONGPASS"}, {"PING", "-NOAUTH"},
		{"HELLO 2 AUTH reader sesame", "[server"}, {"LIMIT.PEEK " + basic, "[remaining"}, {"LIMIT.PEEK " + gold, "-NOPERM"},
		{"LIMIT.TAKE " + basic + " 1", "-NOPERM"}, {"RESET", "RESET"}, {"PING", "-NOAUTH"},
		{"AUTH open", "OK"}, {"LIMIT.TAKE " + gold + " 1", "[granted 1"}, {"LIMIT.TAKE " + free + " 1", "-NOPERM"},
		{"HELLO 3 AUTH reader sesame SETNAME 'a b'", "-ERR Client names"}, {"LIMIT.TAKE " + gold + " 1", "[granted 1"},
	} {
		if got := c.do(step[0])[0]; !strings.HasPrefix(got, step[1]) {
			t.Errorf("%s: got %s, want prefix %s", step[0], got, step[1])
		}
	}
	// In a pipeline, RESET, HELLO and AUTH apply to the commands after them.
	got := c.do("HELLO 3", "LIMIT.PEEK "+gold, "RESET", "LIMIT.PEEK "+gold, "AUTH open", "LIMIT.PEEK "+gold)
	if !strings.Contains(got[1], "exact true") || got[2] != "RESET" || !strings.HasPrefix(got[3], "-NOAUTH") || got[4] != "OK" || !strings.Contains(got[5], "exact 1") {
		t.Errorf("%q", got)
	}
}

// A client that never reads its replies is disconnected while others are served, and the
// maximum number of connections is enforced.
func TestSlowReaderAndMaxConnections(t *testing.T) {
	r := newRig(t, Settings{MaxConnections: 2})
	nonReader := testpeer.DialWithReceiveBuffer(t, r.address, 4<<10)
	var w resp.Writer
	for range 200 {
		w.Command("ECHO", strings.Repeat("x", 4000))
	}
	written := make(chan struct{})
	go func() {
		defer close(written)
		for {
			if _, err := nonReader.Write(w.Buf); err != nil {
				return
			}
		}
	}()
	other := r.dial(t)
	if got := other.do("PING")[0]; got != "PONG" {
		t.Errorf("reply beside a client that never reads: %s", got)
	}
	third := r.dial(t)
	if v, err := third.r.Reply(); err != nil || !strings.HasPrefix(text(v), "-ERR max number of clients") {
		t.Errorf("reply beyond the maximum of connections: %s, %v", text(v), err)
	}
	// Observed at the server: the client's kernel may notice the end much later.
	r.waitFor(t, "the client that never reads is disconnected", func() bool { return r.server.connections.Load() == 1 })
	nonReader.Close()
	<-written
}

// An idle connection is closed after the idle timeout.
func TestIdleTimeout(t *testing.T) {
	r := newRig(t, Settings{IdleTimeout: 50 * time.Millisecond})
	c := r.dial(t)
	if c.do("PING")[0] != "PONG" {
		t.Error("no reply to PING")
	}
	if _, err := c.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("read from an idle connection: %v, want io.EOF", err)
	}
}

// While the counter doesn't answer, the local share of the quota grants units, and the
// reply says that.
func TestSilentCounter(t *testing.T) {
	r := newRig(t, Settings{})
	r.counter.setSilent(true)
	c := r.dial(t)
	got := c.do("LIMIT.TAKE "+basic+" 1", "LIMIT.TAKE "+basic+" 5")
	if !strings.HasPrefix(got[0], "[granted 1 remaining 0.6") || !strings.Contains(got[0], "exact 0 source local") || !strings.HasPrefix(got[1], "[granted 0") {
		t.Errorf("%q", got)
	}
}

// The unmodified go-redis client can run all commands, in both versions of the protocol, with its
// connection pool, pipelines and reconnects.
func TestGoRedis(t *testing.T) {
	r := newRig(t, Settings{Users: []User{{Name: "app", Password: sha256.Sum256([]byte("secret"))}}})
	ctx := context.Background()
	for _, version := range []int{2, 3} {
		c := redis.NewClient(&redis.Options{Addr: r.address, Protocol: version, Username: "app", Password: "secret", ClientName: "test", PoolSize: 4})
		if got, err := c.Ping(ctx).Result(); got != "PONG" || err != nil {
			t.Fatalf("version %d: %s, %v", version, got, err)
		}
		if got, err := c.Echo(ctx, "x").Result(); got != "x" || err != nil {
			t.Errorf("echo: %s, %v", got, err)
		}
		if _, err := c.ClientID(ctx).Result(); err != nil {
			t.Errorf("client id: %v", err)
		}
		if got, err := c.ClientGetName(ctx).Result(); got != "test" || err != nil {
			t.Errorf("client name: %s, %v", got, err)
		}
		if got, err := c.Command(ctx).Result(); len(got) != 16 || err != nil {
			t.Errorf("command: %d, %v", len(got), err)
		}
		if got, err := c.Info(ctx).Result(); !strings.Contains(got, "server_name:elderyard") || err != nil {
			t.Errorf("info: %s, %v", got, err)
		}
		for _, args := range [][]any{{"LIMIT.PLAN", gold}, {"LIMIT.PEEK", gold}, {"LIMIT.STATS"}, {"CL.THROTTLE", gold, 99, 1, 1000},
			{"LIMIT.TAKE", gold, 1, "ID", fmt.Sprint("t", version)}, {"LIMIT.GIVE", gold, 1, "ID", fmt.Sprint("t", version)},
			{"COMMAND", "COUNT"}, {"COMMAND", "DOCS"}, {"COMMAND", "INFO"}, {"CLIENT", "NO-EVICT", "on"}, {"CLIENT", "NO-TOUCH", "on"}, {"SELECT", 0}} {
			if _, err := c.Do(ctx, args...).Result(); err != nil {
				t.Errorf("version %d, %v: %v", version, args, err)
			}
		}
		pipe := c.Pipeline()
		for range 200 {
			pipe.Do(ctx, "LIMIT.TAKE", free, 1)
		}
		if cmds, err := pipe.Exec(ctx); err != nil || len(cmds) != 200 {
			t.Errorf("pipeline: %d, %v", len(cmds), err)
		}
		var wg sync.WaitGroup
		for range 16 {
			wg.Go(func() {
				for range 20 {
					if err := c.Do(ctx, "LIMIT.TAKE", free, 1).Err(); err != nil {
						t.Error(err)
					}
				}
			})
		}
		wg.Wait()
		if err := c.Do(ctx, "QUIT").Err(); err != nil {
			t.Errorf("quit: %v", err)
		}
		if err := c.Ping(ctx).Err(); err != nil {
			t.Errorf("ping after the connection was closed: %v", err)
		}
		c.Close()
	}
	denied := redis.NewClient(&redis.Options{Addr: r.address, Username: "app", Password: "wrong", MaxRetries: -1})
	defer denied.Close()
	if err := denied.Ping(ctx).Err(); err == nil || !strings.Contains(err.Error(), "WRONGPASS") {
		t.Errorf("wrong password: %v", err)
	}
}

// The unmodified rueidis client can run all commands, in both versions of the protocol.
func TestRueidis(t *testing.T) {
	r := newRig(t, Settings{Users: []User{{Name: "app", Password: sha256.Sum256([]byte("secret"))}}})
	ctx := context.Background()
	for _, version2 := range []bool{true, false} {
		c, err := rueidis.NewClient(rueidis.ClientOption{InitAddress: []string{r.address}, Username: "app", Password: "secret", ClientName: "test",
			AlwaysRESP2: version2, DisableCache: true, ForceSingleClient: true})
		if err != nil {
			t.Fatalf("version 2 %t: %v", version2, err)
		}
		do := func(args ...string) (rueidis.RedisMessage, error) {
			return c.Do(ctx, c.B().Arbitrary(args...).Build()).ToMessage()
		}
		m, err := do("LIMIT.TAKE", gold, "2", "ID", fmt.Sprint(version2))
		if err != nil {
			t.Fatal(err)
		}
		reply, err := m.AsMap()
		if granted := reply["granted"]; err != nil {
			t.Errorf("take: %v", err)
		} else if n, err := granted.AsFloat64(); n != 2 || err != nil {
			t.Errorf("granted %g, %v", n, err)
		}
		for _, args := range [][]string{{"LIMIT.GIVE", gold, "2", "ID", fmt.Sprint(version2)}, {"LIMIT.PEEK", gold}, {"LIMIT.PLAN", gold}, {"LIMIT.STATS"},
			{"CL.THROTTLE", gold, "99", "1", "1000"}, {"PING"}, {"ECHO", "x"}, {"INFO"}, {"COMMAND"}, {"CLIENT", "ID"}, {"CLIENT", "GETNAME"}} {
			if _, err := do(args...); err != nil {
				t.Errorf("%v: %v", args, err)
			}
		}
		var takes []rueidis.Completed
		for range 300 {
			takes = append(takes, c.B().Arbitrary("LIMIT.TAKE", free, "1").Build())
		}
		for _, res := range c.DoMulti(ctx, takes...) {
			if err := res.Error(); err != nil {
				t.Fatal(err)
			}
		}
		if m, err := do("LIMIT.TAKE", basic, "6"); err == nil {
			t.Errorf("a take of more than the burst succeeded: %v", m)
		}
		c.Close()
	}
}
