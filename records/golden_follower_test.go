package records

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"elderyard/internal/golden"
)

// Timeouts, limits and sizes must be equal in all versions of the program that work together.
func TestGoldenConstants(t *testing.T) {
	var text strings.Builder
	for _, each := range []struct {
		name  string
		value any
	}{
		{"records of a state", MaxRecords}, {"bytes of a state", MaxStateBytes}, {"operations of a change", MaxOperations},
		{"name bytes", MaxNameBytes}, {"value bytes", MaxValueBytes}, {"text bytes", MaxTextBytes},
		{"log changes", MaxLogChanges}, {"log bytes", MaxLogBytes}, {"remembered results", MaxCachedResults},
		{"delta bytes", MaxDeltaBytes}, {"chunk bytes", MaxChunkBytes}, {"message bytes", MaxMessageBytes},
		{"journal bytes", MaxJournalBytes}, {"snapshot bytes", maxSnapshotBytes}, {"ranges", RangeCount},
		{"problem bytes", maxProblemBytes}, {"record overhead", recordOverhead}, {"log entry overhead", entryOverhead},
		{"list element bytes", minElementBytes}, {"compressed from", minCompressBytes}, {"encoder window", encoderWindow},
		{"timeout_ms", MaxTimeoutMillis}, {"retries", MaxRetries}, {"requests_per_second", MaxRequestsPerSecond},
		{"burst", MaxBurst}, {"price_weight", MaxPriceWeight}, {"zones", MaxZones}, {"path bytes", maxPathBytes}, {"host bytes", maxHostBytes},
		{"longest wait of a server", MaxWait}, {"wait of a follower", LongPollWait}, {"request timeout", requestTimeout}, {"head grace", headGracePeriod},
		{"poll interval", minPollInterval}, {"poll interval in a repair", repairPollInterval}, {"start spread", maxStartDelay},
		{"first retry", initialBackoff}, {"longest retry", maxBackoff}, {"cut off", DisconnectTimeout}, {"chunk requested", chunkRequestBytes},
		{"bytes per second", DefaultBytesPerSecond}, {"burst bytes", DefaultBurstBytes}, {"budget debt", maxBudgetDebt},
		{"behind server avoided", behindEjectionTime}, {"failed server avoided", failedEjectionTime}, {"damaged server avoided", corruptEjectionTime},
	} {
		fmt.Fprintf(&text, "%s: %v\n", each.name, each.value)
	}
	golden.Text(t, "constants.txt", text.String())
}

// traceServer is a simulated server of a traced follower.
type traceServer struct {
	name    string
	store   *Store
	silent  bool
	failing bool
	damaged bool
	behind  bool // receives no changes
}

// followerTrace runs one follower against simulated servers on a simulated clock, and records its decisions with their
// times.
type followerTrace struct {
	t        *testing.T
	text     strings.Builder
	now      time.Time
	servers  []*traceServer
	replica  *Replica
	follower *Follower
	inFlight *Send
	arrival  time.Time // of the response; zero if none is in transit
	response Event
	last     FollowerStatus
}

// referenceServer returns the last server, which fails only when all servers fail.
func (f *followerTrace) referenceServer() *traceServer { return f.servers[len(f.servers)-1] }

func (f *followerTrace) printf(format string, arguments ...any) {
	fmt.Fprintf(&f.text, "%9.3f ", f.now.Sub(testTime).Seconds())
	fmt.Fprintf(&f.text, format+"\n", arguments...)
}

func (f *followerTrace) start(replica *Replica, config FollowerConfig) {
	f.inFlight, f.arrival = nil, time.Time{}
	for _, server := range f.servers {
		config.Servers = append(config.Servers, server.name)
	}
	f.replica = replica
	f.follower = NewFollower(config, replica, f.now)
	f.printf("start %s at version %d", config.Name, replica.Version())
}

// run advances the clock and delivers all events that become due.
func (f *followerTrace) run(duration time.Duration) {
	for end := f.now.Add(duration); ; {
		wake := f.follower.NextTick()
		arriving := !f.arrival.IsZero() && f.arrival.Before(wake)
		if arriving {
			wake = f.arrival
		}
		if wake.After(end) {
			f.now = end
			return
		}
		if wake.After(f.now) {
			f.now = wake
		}
		event := Event(Tick{})
		if arriving {
			event = f.response
			f.inFlight, f.arrival = nil, time.Time{}
		}
		f.handle(event)
	}
}

func (f *followerTrace) handle(event Event) {
	f.t.Helper()
	for _, action := range f.follower.Handle(f.now, event) {
		switch action := action.(type) {
		case Send:
			f.printf("request %d to %s: %s, timeout %v", action.ID, action.Server, describeRequest(action.Request), action.Timeout)
			f.inFlight = &action
			f.serve()
		case Cancel:
			f.printf("cancel %d", action.ID)
			f.inFlight, f.arrival = nil, time.Time{}
		case Persist:
			changes := "whole"
			if action.Delta != nil {
				changes = fmt.Sprintf("%d-%d, %d puts, %d deletes", action.Delta.From, action.Delta.To, len(action.Delta.Puts), len(action.Delta.Deletes))
			}
			f.printf("persist %d: %s", action.Version, changes)
		}
	}
	status := f.follower.Status(f.now)
	shown := status
	shown.LastContact, shown.ConfirmedAt, shown.Server = f.last.LastContact, f.last.ConfirmedAt, f.last.Server
	if shown != f.last {
		f.printf("status %s, version %d, head %d, %d records, ranges %d of %d, confirmed %v, reason %q", status.State, status.Version, status.Head,
			status.Records, status.RangesFetched, status.RangesFetched+status.RangesPending, status.ConfirmedAt.Sub(testTime).Round(time.Millisecond), status.Reason)
	}
	f.last = status
}

func describeRequest(request Request) string {
	switch request := request.(type) {
	case ChangesRequest:
		return fmt.Sprintf("changes since %d, digest %t, wait %v", request.Since, request.Digest != nil, request.Wait)
	case ContentRequest:
		return fmt.Sprintf("content of %d ranges from %d, %d bytes", len(request.Ranges), request.Ranges[0], request.MaxBytes)
	}
	return "digests"
}

// serve schedules the response to the request in flight: after the latency, or at the end of a long poll.
func (f *followerTrace) serve() {
	var server *traceServer
	for _, each := range f.servers {
		if each.name == f.inFlight.Server {
			server = each
		}
	}
	f.arrival = f.now.Add(latency)
	if server.failing {
		f.response = RequestFailed{ID: f.inFlight.ID, Reason: "connection refused", Bytes: 60}
		return
	}
	var message any
	switch request := f.inFlight.Request.(type) {
	case ChangesRequest:
		response := server.store.HandleChanges(request)
		if response.UpToDate() && request.Wait > 0 {
			f.arrival = f.now.Add(request.Wait)
		}
		message = response
	case DigestsRequest:
		message = server.store.RangeDigests()
	case ContentRequest:
		message = server.store.Chunk(request)
	}
	if server.silent {
		f.arrival = time.Time{}
	}
	body, err := encode(message)
	if err != nil {
		f.t.Fatal(err)
	}
	text, err := decompress(body, MaxMessageBytes) // its length does not depend on the version of the compression library
	if err != nil {
		f.t.Fatal(err)
	}
	if server.damaged {
		body = []byte("{")
	}
	f.response = ResponseReceived{ID: f.inFlight.ID, Body: body, Bytes: len(text)/3 + 100}
}

// change applies a change to all servers that are not behind, and ends a long poll.
func (f *followerTrace) change(operations ...Operation) {
	f.t.Helper()
	for _, server := range f.servers {
		if !server.behind {
			apply(f.t, server.store, server.store.Applied()+1, change(operations...), Accepted)
		}
	}
	f.printf("change %d", f.referenceServer().store.Version())
	if f.inFlight != nil && !f.arrival.IsZero() {
		f.serve()
	}
}

func (f *followerTrace) reportHead() {
	f.t.Helper()
	f.handle(HeadReceived{Version: f.referenceServer().store.Version()})
}

// A follower's decisions, their order, times and servers, are the same as in released versions of the program, pseudo-
// random values included.
func TestGoldenFollowerDecisions(t *testing.T) {
	f := &followerTrace{t: t, now: testTime}
	for i := range 3 {
		f.servers = append(f.servers, &traceServer{name: fmt.Sprintf("control-%d", i), store: largeStore(t, 2000)})
	}
	f.start(&Replica{}, FollowerConfig{Name: "gateway-1", ConfirmedAt: testTime.Add(-time.Hour)})
	f.run(90 * time.Second)
	f.change(urgentOperation(1), remove("plan/free"))
	f.run(5 * time.Second)
	for i, set := range []func(*traceServer){
		func(s *traceServer) { s.failing = true },
		func(s *traceServer) { s.silent = true },
		func(s *traceServer) { s.damaged = true },
		func(s *traceServer) { s.behind = true },
	} {
		for _, faulty := range [][]*traceServer{f.servers[:2], f.servers[:1], f.servers[1:2]} {
			f.printf("fault %d on %d servers", i, len(faulty))
			for _, server := range faulty {
				set(server)
			}
			f.change(urgentOperation(10 + i))
			f.reportHead()
			f.run(4 * time.Second)
			f.change(urgentOperation(100 + i))
			f.run(20 * time.Second)
			for _, server := range faulty {
				*server = traceServer{name: server.name, store: copyStore(t, f.referenceServer().store)}
			}
		}
	}
	f.printf("all servers fail")
	for _, server := range f.servers {
		server.failing = true
	}
	f.change(urgentOperation(1000), put("service/new", serviceValue))
	f.run(40 * time.Second)
	f.printf("all servers are back, with compacted logs")
	for _, server := range f.servers {
		server.failing = false
		server.store.log.compact(len(server.store.log.entries))
	}
	f.run(30 * time.Second)
	f.printf("a narrow budget and a copy with other content")
	other := &Replica{}
	if err := other.ApplyDelta(Difference(&Store{}, largeStore(t, 1500))); err != nil {
		t.Fatal(err)
	}
	f.start(other, FollowerConfig{Name: "gateway-2", BytesPerSecond: 1500, BurstBytes: 3000})
	for i := range 8 {
		f.run(15 * time.Second)
		f.change(urgentOperation(2000 + i))
		f.reportHead()
	}
	f.run(2 * time.Minute)
	if f.replica.Version() != f.referenceServer().store.Version() || f.replica.Digest() != f.referenceServer().store.Digest() {
		t.Errorf("at version %d of %d", f.replica.Version(), f.referenceServer().store.Version())
	}
	golden.Text(t, "follower_decisions.txt", f.text.String())
}
