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

// serveFixedReplies replies to each command as to a take, without deciding anything.
func serveFixedReplies(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			r := resp.NewReader(conn, commandLimits)
			var args [][]byte
			var text []byte
			w := resp.Writer{Version: 2}
			for {
				w.Buf = w.Buf[:0]
				for n := 0; n == 0 || n < maxBatch && r.Ready(); n++ {
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

// BenchmarkTakes measures takes in pipelines of 1 and of 64 commands, with client and
// server in one process and so on the same cores (-cpu 1). Servers are this package's, a
// handler on the same reader that decides nothing, and redcon's server loop, which neither
// uses the reader nor decides anything.
func BenchmarkTakes(b *testing.B) {
	set := rules.Settings{Classes: []rules.Class{{LatencyObjective: 1, Timeout: 2, Value: 1}},
		Plans: []rules.Plan{{Price: 1, Rate: 1e9, Burst: 1e9}}, FleetSize: 1, Tick: 0.002}
	servers := map[string]func(b *testing.B) (address string, stop func()){
		"front": func(b *testing.B) (string, func()) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			loop := owner.New(set, 1, nil)
			loop.Start(nil)
			d, err := NewLimiter(loop, set, []string{"p"}, nil, "p")
			if err != nil {
				b.Fatal(err)
			}
			ctx, stop := context.WithCancel(context.Background())
			var wg sync.WaitGroup
			wg.Go(func() { loop.Run(ctx) })
			wg.Go(func() { New(d, Settings{MaxConnections: 10, IdleTimeout: time.Minute}).Serve(ctx, l) })
			return l.Addr().String(), func() { stop(); wg.Wait() }
		},
		"bare": func(b *testing.B) (string, func()) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			go serveFixedReplies(l)
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
				// To cost little, the client only counts lines: each reply has as many as the first one.
				buf := make([]byte, 256<<10)
				var single resp.Writer
				single.Command("LIMIT.TAKE", "0000000000000001", "1")
				conn.Write(single.Buf)
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
					for remaining := lines * depth; remaining > 0; {
						n, err := conn.Read(buf)
						if err != nil {
							b.Fatal(err)
						}
						remaining -= bytes.Count(buf[:n], []byte("\n"))
					}
				}
				b.StopTimer()
				b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "takes/s")
			})
		}
	}
}

// BenchmarkIdleConnections measures the heap and stack memory of an idle connection. About
// half of a figure is the client's side of the connection.
func BenchmarkIdleConnections(b *testing.B) {
	const conns = 2000
	set := rules.Settings{Classes: []rules.Class{{LatencyObjective: 1, Timeout: 2, Value: 1}}, Plans: []rules.Plan{{Price: 1}}, FleetSize: 1, Tick: 0.002}
	memoryInUse := func() float64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return float64(m.HeapInuse + m.StackInuse)
	}
	bytesPerConn := func(serve func(l net.Listener) (stop func())) float64 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		stop := serve(l)
		before := memoryInUse()
		var clients []net.Conn
		for range conns {
			c, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				b.Fatal(err)
			}
			io.WriteString(c, "PING\r\n")
			if _, err := io.ReadFull(c, make([]byte, len("+PONG\r\n"))); err != nil {
				b.Fatal(err)
			}
			clients = append(clients, c)
		}
		perConn := (memoryInUse() - before) / conns
		for _, c := range clients {
			c.Close()
		}
		stop()
		return perConn
	}
	for b.Loop() {
		server := bytesPerConn(func(l net.Listener) func() {
			loop := owner.New(set, 1, nil)
			loop.Start(nil)
			d, err := NewLimiter(loop, set, []string{"p"}, nil, "p")
			if err != nil {
				b.Fatal(err)
			}
			ctx, stop := context.WithCancel(context.Background())
			var wg sync.WaitGroup
			wg.Go(func() { loop.Run(ctx) })
			wg.Go(func() { New(d, Settings{MaxConnections: conns, IdleTimeout: time.Minute}).Serve(ctx, l) })
			return func() { stop(); wg.Wait() }
		})
		redconServer := bytesPerConn(func(l net.Listener) func() {
			go redcon.Serve(l, func(c redcon.Conn, _ redcon.Command) { c.WriteString("PONG") }, nil, nil)
			return func() { l.Close() }
		})
		b.ReportMetric(server, "front-B/conn")
		b.ReportMetric(redconServer, "redcon-B/conn")
	}
}
