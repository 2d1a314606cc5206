package respfront

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/tidwall/redcon"

	"elderyard/internal/owner"
	"elderyard/internal/resp"
	"elderyard/rules"
)

// bare answers each command with a take's reply, and decides nothing.
func bare(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			r := resp.NewReader(conn, bounds)
			var args [][]byte
			var text []byte
			w := resp.Writer{Version: 2}
			for {
				w.Buf = w.Buf[:0]
				for n := 0; n == 0 || n < mostBatch && r.Ready(); n++ {
					var err error
					if args, text, err = r.Command(args[:0], text[:0]); err != nil {
						return
					}
					fixedReply(&w)
				}
				if _, err := conn.Write(w.Buf); err != nil {
					return
				}
			}
		}()
	}
}

func fixedReply(w *resp.Writer) {
	w.Map(7)
	for _, name := range []string{"granted", "remaining", "exact", "source", "retry_after_ms", "reset_after_ms", "repeated"} {
		w.Bulk(name)
		w.Double(1)
	}
}

// BenchmarkTakes measures takes, client and server in one process and so on the
// same cores (-cpu 1), pipelined by 1 and by 64: of the front, of a handler on the same reader that
// decides nothing, and of a well-known library's server loop that does neither.
func BenchmarkTakes(b *testing.B) {
	set := rules.Settings{Classes: []rules.Class{{LatencyObjective: 1, Timeout: 2, Value: 1}},
		Plans: []rules.Plan{{Price: 1, Rate: 1e9, Burst: 1e9}}, FleetSize: 1, Tick: 0.002}
	servers := map[string]func(b *testing.B) (address string, stop func()){
		"front": func(b *testing.B) (string, func()) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			o := owner.New(set, 1, nil)
			o.Start(nil)
			d, err := NewDesk(o, set, []string{"p"}, nil, "p")
			if err != nil {
				b.Fatal(err)
			}
			ctx, stop := context.WithCancel(context.Background())
			var wg sync.WaitGroup
			wg.Go(func() { o.Run(ctx) })
			wg.Go(func() { New(d, Settings{Most: 10, Idle: time.Minute}).Serve(ctx, l) })
			return l.Addr().String(), func() { stop(); wg.Wait() }
		},
		"bare": func(b *testing.B) (string, func()) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			go bare(l)
			return l.Addr().String(), func() { l.Close() }
		},
		"redcon": func(b *testing.B) (string, func()) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			go redcon.Serve(l, func(c redcon.Conn, _ redcon.Command) {
				w := resp.Writer{Version: 2}
				fixedReply(&w)
				c.WriteRaw(w.Buf)
			}, nil, nil)
			return l.Addr().String(), func() { l.Close() }
		},
	}
	for _, depth := range []int{1, 64} {
		for _, name := range []string{"front", "bare", "redcon"} {
			b.Run(fmt.Sprintf("%s/%d", name, depth), func(b *testing.B) {
				address, stop := servers[name](b)
				defer stop()
				conn, err := net.Dial("tcp", address)
				if err != nil {
					b.Fatal(err)
				}
				defer conn.Close()
				var w resp.Writer
				for range depth {
					w.Command("LIMIT.TAKE", "0000000000000001", "1")
				}
				// The client is to cost little: it counts lines, of which each reply has as many as the first one.
				buf := make([]byte, 256<<10)
				var one resp.Writer
				one.Command("LIMIT.TAKE", "0000000000000001", "1")
				conn.Write(one.Buf)
				conn.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
				lines := 0
				for n, err := 0, error(nil); err == nil; lines += bytes.Count(buf[:n], []byte("\n")) {
					n, err = conn.Read(buf)
				}
				conn.SetReadDeadline(time.Time{})
				b.ReportAllocs()
				b.ResetTimer()
				for n := 0; n < b.N; n += depth {
					if _, err := conn.Write(w.Buf); err != nil {
						b.Fatal(err)
					}
					for left := lines * depth; left > 0; {
						k, err := conn.Read(buf)
						if err != nil {
							b.Fatal(err)
						}
						left -= bytes.Count(buf[:k], []byte("\n"))
					}
				}
				b.StopTimer()
				b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "takes/s")
			})
		}
	}
}

// BenchmarkIdleConnections measures what an idle connection costs the server's
// heap and stacks; half of it is the client's side, measured alone and taken off.
func BenchmarkIdleConnections(b *testing.B) {
	const conns = 2000
	set := rules.Settings{Classes: []rules.Class{{LatencyObjective: 1, Timeout: 2, Value: 1}}, Plans: []rules.Plan{{Price: 1}}, FleetSize: 1, Tick: 0.002}
	memory := func() float64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return float64(m.HeapInuse + m.StackInuse)
	}
	cost := func(serve func(l net.Listener) (stop func())) float64 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		stop := serve(l)
		before := memory()
		var list []net.Conn
		for range conns {
			c, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				b.Fatal(err)
			}
			io.WriteString(c, "PING\r\n")
			if _, err := io.ReadFull(c, make([]byte, len("+PONG\r\n"))); err != nil {
				b.Fatal(err)
			}
			list = append(list, c)
		}
		each := (memory() - before) / conns
		for _, c := range list {
			c.Close()
		}
		stop()
		return each
	}
	for b.Loop() {
		front := cost(func(l net.Listener) func() {
			o := owner.New(set, 1, nil)
			o.Start(nil)
			d, err := NewDesk(o, set, []string{"p"}, nil, "p")
			if err != nil {
				b.Fatal(err)
			}
			ctx, stop := context.WithCancel(context.Background())
			var wg sync.WaitGroup
			wg.Go(func() { o.Run(ctx) })
			wg.Go(func() { New(d, Settings{Most: conns, Idle: time.Minute}).Serve(ctx, l) })
			return func() { stop(); wg.Wait() }
		})
		library := cost(func(l net.Listener) func() {
			go redcon.Serve(l, func(c redcon.Conn, _ redcon.Command) { c.WriteString("PONG") }, nil, nil)
			return func() { l.Close() }
		})
		b.ReportMetric(front, "front-B/conn")
		b.ReportMetric(library, "redcon-B/conn")
	}
}
