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

// numbers is a counter in memory: calls are answered in order, unless it is silent.
type numbers struct {
	calls chan *counter.Call
	mu    sync.Mutex
	total map[uint64]float64
	quiet bool
}

func (n *numbers) Add(k *counter.Call) bool {
	select {
	case n.calls <- k:
		return true
	default:
		return false
	}
}

func (n *numbers) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case k := <-n.calls:
			n.mu.Lock()
			quiet := n.quiet
			if !quiet {
				n.total[k.Name] += k.Amount
			}
			total := n.total[k.Name]
			n.mu.Unlock()
			if !quiet {
				k.Report(k, rules.Served, total)
			}
		}
	}
}

func (n *numbers) silence(on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.quiet = on
}

const (
	gold    = "0000000000000001" // a burst of 100 units that does not refill while a test runs
	basic   = "0000000000000002" // 5
	unknown = "0000000000000003"
	free    = "0000000000000004" // no quota
)

type rig struct {
	address string
	desk    *Desk
	front   *Front
	counter *numbers
	stop    context.CancelFunc
	ended   chan struct{}
}

func newRig(t *testing.T, set Settings) *rig {
	t.Helper()
	r := &rig{counter: &numbers{calls: make(chan *counter.Call, 1024), total: map[uint64]float64{}}, ended: make(chan struct{})}
	s := rules.Settings{Classes: []rules.Class{{LatencyObjective: 1, Timeout: 2, Value: 1}},
		Plans:     []rules.Plan{{Price: 1, Rate: 1e-3, Burst: 100}, {Price: 1, Rate: 1e-3, Burst: 5}, {Price: 1}},
		FleetSize: 3, Tick: 0.002, HasCounter: true, CounterTimeout: 0.5}
	o := owner.New(s, 1, r.counter)
	o.Start(nil)
	var err error
	if r.desk, err = NewDesk(o, s, []string{"gold", "basic", "free"}, map[uint64]string{1: "gold", 2: "basic", 4: "free"}, ""); err != nil {
		t.Fatal(err)
	}
	if set.Most == 0 {
		set.Most = 64
	}
	if set.Idle == 0 {
		set.Idle = time.Minute
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r.address = l.Addr().String()
	ctx, stop := context.WithCancel(context.Background())
	front, end := context.WithCancel(ctx)
	r.stop = end
	var wg sync.WaitGroup
	wg.Go(func() { o.Run(ctx) })
	wg.Go(func() { r.counter.run(ctx) })
	r.front = New(r.desk, set)
	wg.Go(func() { defer close(r.ended); r.front.Serve(front, l) })
	t.Cleanup(func() {
		end()
		<-r.ended // the front ends before the owner
		stop()
		wg.Wait()
	})
	return r
}

// talk is a connection that writes text as it stands.
type talk struct {
	net.Conn
	t *testing.T
	r *resp.Reader
}

func (r *rig) talk(t *testing.T) *talk {
	t.Helper()
	c, err := net.Dial("tcp", r.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(testpeer.Patience))
	return &talk{c, t, resp.NewReader(c, resp.Limits{Args: 1000, Bulk: 1 << 16, Total: 1 << 18, Depth: 5})}
}

// say writes commands, a line each, and returns their replies as text.
func (c *talk) say(lines ...string) []string {
	c.t.Helper()
	io.WriteString(c, strings.Join(lines, "\r\n")+"\r\n")
	var out []string
	for range lines {
		v, err := c.r.Reply()
		if err != nil {
			c.t.Fatalf("%q: %v after %q", lines, err, out)
		}
		out = append(out, text(v))
	}
	return out
}

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
		for _, e := range v.Elements {
			parts = append(parts, text(e))
		}
		return "[" + strings.Join(parts, " ") + "]"
	}
	return v.Str
}

// Every command has its answers, right and wrong.
func TestCommands(t *testing.T) {
	r := newRig(t, Settings{})
	c := r.talk(t)
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
		if got := c.say(step[0])[0]; !strings.HasPrefix(got, step[1]) {
			t.Errorf("%s: %s, want %s", step[0], got, step[1])
		}
	}
	if _, err := c.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("after QUIT: %v", err)
	}
}

// A token counts once, on whatever connection; what it took comes back once.
func TestTokens(t *testing.T) {
	r := newRig(t, Settings{})
	one, two := r.talk(t), r.talk(t)
	// Take and give in one pipeline: the take is decided before the give is looked at.
	got := one.say("LIMIT.TAKE "+basic+" 4 ID a", "LIMIT.GIVE "+basic+" 4 ID a", "LIMIT.TAKE "+basic+" 5 ID b")
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
		if got := two.say(step[0])[0]; !strings.HasPrefix(got, step[1]) {
			t.Errorf("step %d, %s: %s, want %s", i, step[0], got, step[1])
		}
	}
}

// A repeat that comes while the first is being decided has its answer, also when
// the first one's client has gone; without a repeat that one spends nothing.
func TestRepeatWhileDecided(t *testing.T) {
	r := newRig(t, Settings{})
	r.counter.silence(true)
	one, two, three := r.talk(t), r.talk(t), r.talk(t)
	io.WriteString(one, "LIMIT.TAKE "+basic+" 5 ID a WAIT 20000\r\n")
	io.WriteString(three, "LIMIT.TAKE "+basic+" 2 ID c WAIT 20000\r\n")
	r.until(t, "both are taken", func() bool { return r.open() == 2 })
	io.WriteString(two, "LIMIT.TAKE "+basic+" 5 ID a WAIT 20000\r\n")
	r.until(t, "the repeat waits", func() bool { return r.waits() == 1 })
	one.Close()
	three.Close()
	r.until(t, "the lone one is forgotten", func() bool { return r.open() == 1 })
	r.counter.silence(false)
	v, err := two.r.Reply()
	if got := text(v); err != nil || !strings.HasPrefix(got, "[granted 5") || !strings.HasSuffix(got, "repeated 1]") {
		t.Errorf("%s, %v", got, err)
	}
}

// open counts the takes with a token that are remembered, in the owner's goroutine.
func (r *rig) open() (n int) { r.inside(func() { n = r.desk.ledger.Len() }); return n }

func (r *rig) waits() (n int) { r.inside(func() { n = len(r.desk.waiting) }); return n }

type do struct {
	f    func()
	done chan struct{}
}

func (d do) Process() { d.f(); close(d.done) }

func (r *rig) inside(f func()) {
	d := do{f, make(chan struct{})}
	if r.desk.owner.Post(d) {
		<-d.done
	}
}

func (r *rig) until(t *testing.T, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(testpeer.Patience); !is(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("never: %s", what)
		}
	}
}

// A thousand pipelined takes whose client leaves before, in the midst of or after
// the replies are spent once each; what did not come whole is not counted.
func TestPipelineThatLeaves(t *testing.T) {
	for name, read := range map[string]int{"before the reply": 0, "in the midst": 300, "after": math.MaxInt} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, Settings{})
			c := r.talk(t)
			var w resp.Writer
			for range 1000 {
				w.Command("LIMIT.TAKE", free, "1")
			}
			whole := len(w.Buf)
			w.Command("LIMIT.TAKE", free, "1")
			c.Write(w.Buf[:whole+(len(w.Buf)-whole)/2]) // the last one is cut in a bulk
			if read > 0 {
				for range min(read, 1000) {
					if _, err := c.r.Reply(); err != nil {
						t.Fatal(err)
					}
				}
			}
			if read == 0 {
				r.until(t, "the first are decided", func() bool { return r.desk.stats.takes.Load() > 0 })
			}
			c.Close()
			r.stop()
			<-r.ended
			takes, units := r.desk.stats.takes.Load(), r.desk.stats.units.Load()
			if takes > 1000 || takes != units || read == math.MaxInt && takes != 1000 {
				t.Errorf("%d takes, %d units", takes, units)
			}
		})
	}
}

// What can't be read ends the connection with an error, after the replies that
// are owed.
func TestProtocolErrors(t *testing.T) {
	r := newRig(t, Settings{})
	for _, bad := range []string{"*1000000000\r\n", "*1\r\n$-5\r\n", "*1\r\n$99999\r\n", "*1\r\n:1\r\n", "echo \"a\r\n", strings.Repeat("x", 1<<16)} {
		c := r.talk(t)
		io.WriteString(c, "PING\r\n"+bad)
		first, err := c.r.Reply()
		second, err2 := c.r.Reply()
		if text(first) != "PONG" || err != nil || !strings.HasPrefix(text(second), "-ERR Protocol error") || err2 != nil {
			t.Errorf("%.20q: %s %v, %s %v", bad, text(first), err, text(second), err2)
		}
		if _, err := c.r.Reply(); err == nil {
			t.Errorf("%.20q: the connection stays", bad)
		}
	}
}

// Users run what they may for whom they may; nobody else runs anything.
func TestRights(t *testing.T) {
	r := newRig(t, Settings{Users: []User{
		{Name: "default", Password: sha256.Sum256([]byte("open")), Accounts: []uint64{1, 2}},
		{Name: "reader", Password: sha256.Sum256([]byte("sesame")), Accounts: []uint64{2}, Commands: []string{"LIMIT.PEEK"}}}})
	c := r.talk(t)
	for _, step := range [][2]string{
		{"PING", "-NOAUTH"}, {"LIMIT.PEEK " + basic, "-NOAUTH"}, {"INFO", "-NOAUTH"}, {"HELLO 3", "-NOAUTH HELLO"},
		{"AUTH wrong", "-WRONGPASS"}, {"AUTH reader open", "-WRONGPASS"}, {"AUTH nobody open", "-WRONGPASS"},
		{"HELLO 3 AUTH reader wrong", "-WRONGPASS"}, {"PING", "-NOAUTH"},
		{"HELLO 2 AUTH reader sesame", "[server"}, {"LIMIT.PEEK " + basic, "[remaining"}, {"LIMIT.PEEK " + gold, "-NOPERM"},
		{"LIMIT.TAKE " + basic + " 1", "-NOPERM"}, {"RESET", "RESET"}, {"PING", "-NOAUTH"},
		{"AUTH open", "OK"}, {"LIMIT.TAKE " + gold + " 1", "[granted 1"}, {"LIMIT.TAKE " + free + " 1", "-NOPERM"},
		{"HELLO 3 AUTH reader sesame SETNAME 'a b'", "-ERR Client names"}, {"LIMIT.TAKE " + gold + " 1", "[granted 1"},
	} {
		if got := c.say(step[0])[0]; !strings.HasPrefix(got, step[1]) {
			t.Errorf("%s: %s, want %s", step[0], got, step[1])
		}
	}
	// RESET in mid-pipeline binds for what follows it, and version and user change where they stand.
	got := c.say("HELLO 3", "LIMIT.PEEK "+gold, "RESET", "LIMIT.PEEK "+gold, "AUTH open", "LIMIT.PEEK "+gold)
	if !strings.Contains(got[1], "exact true") || got[2] != "RESET" || !strings.HasPrefix(got[3], "-NOAUTH") || got[4] != "OK" || !strings.Contains(got[5], "exact 1") {
		t.Errorf("%q", got)
	}
}

// A client that never reads is cut off, others are served, and the bound of
// connections holds.
func TestBounds(t *testing.T) {
	r := newRig(t, Settings{Most: 2})
	deaf := testpeer.DialNarrow(t, r.address, 4<<10)
	var w resp.Writer
	for range 200 {
		w.Command("ECHO", strings.Repeat("x", 4000))
	}
	written := make(chan struct{})
	go func() {
		defer close(written)
		for {
			if _, err := deaf.Write(w.Buf); err != nil {
				return
			}
		}
	}()
	other := r.talk(t)
	if got := other.say("PING")[0]; got != "PONG" {
		t.Errorf("beside a client that never reads: %s", got)
	}
	third := r.talk(t)
	if v, err := third.r.Reply(); err != nil || !strings.HasPrefix(text(v), "-ERR max number of clients") {
		t.Errorf("one too many: %s, %v", text(v), err)
	}
	// As the front has it: the client's own system may learn of the end much later.
	r.until(t, "a client that never reads is cut off", func() bool { return r.front.open.Load() == 1 })
	deaf.Close()
	<-written
}

// An idle connection ends in time.
func TestIdle(t *testing.T) {
	r := newRig(t, Settings{Idle: 50 * time.Millisecond})
	c := r.talk(t)
	if c.say("PING")[0] != "PONG" {
		t.Error("no answer")
	}
	if _, err := c.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("an idle connection: %v", err)
	}
}

// With a silent counter the local share grants, and says so.
func TestSilentCounter(t *testing.T) {
	r := newRig(t, Settings{})
	r.counter.silence(true)
	c := r.talk(t)
	got := c.say("LIMIT.TAKE "+basic+" 1", "LIMIT.TAKE "+basic+" 5")
	if !strings.HasPrefix(got[0], "[granted 1 remaining 0.6") || !strings.Contains(got[0], "exact 0 source local") || !strings.HasPrefix(got[1], "[granted 0") {
		t.Errorf("%q", got)
	}
}

// Ordinary clients drive every command unmodified, in both versions, with their
// pools, pipelines and reconnects.
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
			t.Errorf("after a connection ended: %v", err)
		}
		c.Close()
	}
	wrong := redis.NewClient(&redis.Options{Addr: r.address, Username: "app", Password: "wrong", MaxRetries: -1})
	defer wrong.Close()
	if err := wrong.Ping(ctx).Err(); err == nil || !strings.Contains(err.Error(), "WRONGPASS") {
		t.Errorf("a wrong password: %v", err)
	}
}

func TestRueidis(t *testing.T) {
	r := newRig(t, Settings{Users: []User{{Name: "app", Password: sha256.Sum256([]byte("secret"))}}})
	ctx := context.Background()
	for _, version2 := range []bool{true, false} {
		c, err := rueidis.NewClient(rueidis.ClientOption{InitAddress: []string{r.address}, Username: "app", Password: "secret", ClientName: "test",
			AlwaysRESP2: version2, DisableCache: true, ForceSingleClient: true})
		if err != nil {
			t.Fatalf("version 2 %t: %v", version2, err)
		}
		do := func(words ...string) (rueidis.RedisMessage, error) {
			return c.Do(ctx, c.B().Arbitrary(words...).Build()).ToMessage()
		}
		m, err := do("LIMIT.TAKE", gold, "2", "ID", fmt.Sprint(version2))
		if err != nil {
			t.Fatal(err)
		}
		answer, err := m.AsMap()
		if granted := answer["granted"]; err != nil {
			t.Errorf("take: %v", err)
		} else if n, err := granted.AsFloat64(); n != 2 || err != nil {
			t.Errorf("granted %g, %v", n, err)
		}
		for _, words := range [][]string{{"LIMIT.GIVE", gold, "2", "ID", fmt.Sprint(version2)}, {"LIMIT.PEEK", gold}, {"LIMIT.PLAN", gold}, {"LIMIT.STATS"},
			{"CL.THROTTLE", gold, "99", "1", "1000"}, {"PING"}, {"ECHO", "x"}, {"INFO"}, {"COMMAND"}, {"CLIENT", "ID"}, {"CLIENT", "GETNAME"}} {
			if _, err := do(words...); err != nil {
				t.Errorf("%v: %v", words, err)
			}
		}
		var many []rueidis.Completed
		for range 300 {
			many = append(many, c.B().Arbitrary("LIMIT.TAKE", free, "1").Build())
		}
		for _, res := range c.DoMulti(ctx, many...) {
			if err := res.Error(); err != nil {
				t.Fatal(err)
			}
		}
		if m, err := do("LIMIT.TAKE", basic, "6"); err == nil {
			t.Errorf("more than the burst: %v", m)
		}
		c.Close()
	}
}
