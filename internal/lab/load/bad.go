package load

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"elderyard/internal/lab/audit"
	"elderyard/internal/wait"
)

// Bad plays clients that send invalid requests, which a gateway has to reject.
type Bad struct {
	Seed  uint64
	Count int           // concurrent clients
	Gap   time.Duration // between the requests of one client
	Owed  time.Duration // each request must get an error or a close within this time
	Front *Front
	Sink  Sink
	Class Class
	Plan  Plan
}

// invalidKind is one kind of invalid request.
type invalidKind struct {
	name string
	text func(b *Bad, id string) string
	// drip is sent repeatedly after the text, with short pauses.
	drip string
	// leaves: the client closes right behind the text, and is owed nothing.
	closesEarly bool
	// hides: the text holds another request inside, with the id's inner form.
	smuggles bool
}

const innerIDSuffix = "-in" // ends the ID of a smuggled request

var invalidKinds = []invalidKind{
	{name: "noise", text: func(*Bad, string) string { return "\x16\x03\x01\x02\x00 noise\r\n\r\n" }},
	{name: "endless head", text: func(b *Bad, id string) string { return "GET /" + b.Class.Name + " HTTP/1.1\r\nHost: lab\r\n" }, drip: "X-More: " + strings.Repeat("m", 100) + "\r\n"},
	{name: "negative length", text: func(b *Bad, id string) string { return b.request(id, "Content-Length: -4") }},
	{name: "huge length", text: func(b *Bad, id string) string { return b.request(id, "Content-Length: 62914560") }, drip: strings.Repeat("b", 1000)},
	{name: "two lengths", smuggles: true, text: func(b *Bad, id string) string {
		inner := b.request(id+innerIDSuffix, "Content-Length: 0")
		return b.request(id, fmt.Sprintf("Content-Length: %d\r\nTransfer-Encoding: chunked", 5+len(inner))) + "0\r\n\r\n" + inner
	}},
	{name: "unknown class", text: func(b *Bad, id string) string {
		return strings.ReplaceAll(b.request(id, "Content-Length: 0"), b.Class.Name, "nothing")
	}},
	{name: "unknown plan", text: func(b *Bad, id string) string {
		return strings.Replace(b.request(id, "Content-Length: 0"), "X-Tier: "+b.Plan.Name, "X-Tier: nobody", 1)
	}},
	{name: "units out of range", text: func(b *Bad, id string) string {
		return strings.Replace(b.request(id, "Content-Length: 0"), "units=1", "units=1e99", 1)
	}},
	{name: "set out of range", text: func(b *Bad, id string) string {
		return strings.Replace(b.request(id, "Content-Length: 0"), "spread=1", "spread=77", 1)
	}},
	{name: "customer is no number", text: func(b *Bad, id string) string {
		return strings.Replace(b.request(id, "Content-Length: 0"), "X-Api-Key: 0", "X-Api-Key: z", 1)
	}},
	{name: "no time left", text: func(b *Bad, id string) string {
		return strings.Replace(b.request(id, "Content-Length: 0"), "X-Time-Left-Ms: 900", "X-Time-Left-Ms: -1", 1)
	}},
	{name: "no id", text: func(b *Bad, id string) string {
		return strings.Replace(b.request(id, "Content-Length: 0"), "X-Correlation-Id", "X-Other-Id", 1)
	}},
	{name: "half a request", closesEarly: true, text: func(b *Bad, id string) string {
		return b.request(id, "Content-Length: 50") + "half"
	}},
	{name: "silent", text: func(*Bad, string) string { return "" }},
}

// request returns a request that is valid except for its length headers.
func (b *Bad) request(id, length string) string {
	return fmt.Sprintf("POST /%s HTTP/1.1\r\nHost: lab\r\nX-Correlation-Id: %s\r\nX-Service-Class: %s\r\nX-Tier: %s\r\n"+
		"X-Api-Key: 0000000000000001\r\nX-Time-Left-Ms: 900\r\nX-Call-Terms: units=1,spread=1,first=0\r\nIdempotency-Key: %s\r\n%s\r\n\r\n",
		b.Class.Name, id, b.Class.Name, b.Plan.Name, id, length)
}

// Play sends invalid requests until ctx ends.
func (b *Bad) Play(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for i := range b.Count {
		r := rand.New(rand.NewPCG(b.Seed^0xbad, uint64(i)))
		wg.Go(func() {
			for n := i; ctx.Err() == nil; n++ {
				b.sendOne(ctx, r, &invalidKinds[n%len(invalidKinds)])
				wait.For(ctx, b.Gap)
			}
		})
	}
}

// sendOne sends one invalid request on a connection of its own and reports its outcome to the sink.
func (b *Bad) sendOne(ctx context.Context, r *rand.Rand, k *invalidKind) {
	g := r.IntN(len(b.Front.endpoints))
	t := audit.Try{ID: fmt.Sprintf("bad%013x", r.Uint64()>>12), First: -1, Gateway: b.Front.name(g), Bad: k.name, Outcome: audit.Turned}
	b.Front.mu.Lock()
	address, up := b.Front.endpoints[g].address, b.Front.endpoints[g].up
	b.Front.mu.Unlock()
	if !up {
		return
	}
	d := net.Dialer{Timeout: dialTimeout}
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return
	}
	defer c.Close()
	defer context.AfterFunc(ctx, func() { c.Close() })()
	t.Sent = time.Now()
	until := t.Sent.Add(b.Owed)
	c.SetDeadline(until)
	io.WriteString(c, k.text(b, t.ID)) // error ignored: a gateway may close the connection at any byte
	if k.smuggles {
		inner := t
		inner.ID += innerIDSuffix
		inner.Over = t.Sent
		b.Sink.Try(inner)
	}
	if !k.closesEarly {
		dripped := make(chan struct{})
		go func() {
			defer close(dripped)
			for k.drip != "" && time.Now().Before(until) {
				if _, err := io.WriteString(c, k.drip); err != nil || !wait.For(ctx, 20*time.Millisecond) {
					return
				}
			}
		}()
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		switch {
		case ctx.Err() != nil:
			t.Outcome = audit.Unfinished
		case err == nil:
			if t.Status = resp.StatusCode; t.Status == http.StatusOK {
				t.Outcome = audit.Served
			}
		case timedOut(err):
			t.Outcome = audit.NoAnswer
		}
		c.Close()
		<-dripped
	}
	t.Over = time.Now()
	b.Sink.Try(t)
}
