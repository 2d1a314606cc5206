package recordsync

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"elderyard/internal/testwait"
	"elderyard/records"
)

// runningFollower is a follower that runs until stop is called.
type runningFollower struct {
	*Follower
	t    testing.TB
	stop func()
}

// options returns options with a budget that the tests do not reach.
func options(dir string, servers ...string) Options {
	return Options{Name: "g1", Servers: servers, Dir: dir, Dial: (&net.Dialer{}).DialContext, Log: discard(),
		BytesPerSecond: 1 << 20, BurstBytes: 1 << 20,
		BaseURL: func(server string) string { return "http://" + server }}
}

// start opens a follower, and runs it until the end of the test.
func start(t testing.TB, o Options) *runningFollower {
	t.Helper()
	f, err := Open(o)
	testwait.Must(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); f.Run(ctx) }()
	stop := func() { cancel(); <-done }
	t.Cleanup(stop)
	return &runningFollower{f, t, stop}
}

// awaitVersionOf waits until the follower is at the source's version.
func (r *runningFollower) awaitVersionOf(source *memorySource) records.FollowerStatus {
	r.t.Helper()
	var status records.FollowerStatus
	testwait.Until(r.t, testTimeout, fmt.Sprintf("the follower has version %d", source.version()), func() bool {
		status = r.Status()
		return status.Version == source.version() && status.Digest == source.digest()
	})
	return status
}

// addressOf returns the address of a server.
func addressOf(server *httptest.Server) string { return server.Listener.Addr().String() }

// A follower applies changes as they come, and a restart continues with the persisted replica.
func TestFollowerAppliesChanges(t *testing.T) {
	t.Parallel()
	source := newMemorySource()
	source.apply(t, manyPlans(100)...)
	var servers []string
	for range 3 {
		servers = append(servers, addressOf(serve(t, NewHandler(source))))
	}
	dir := t.TempDir()
	first := start(t, options(dir, servers...))
	first.awaitVersionOf(source)
	for i := range 5 {
		changed := first.Changed()
		source.apply(t, plan(fmt.Sprint("later", i), 1))
		<-changed
		first.awaitVersionOf(source)
	}
	var count int
	testwait.Must(t, first.View(t.Context(), func(replica *records.Replica) { count = replica.Len() }))
	status := first.Status()
	if age, known := status.Age(time.Now()); count != 105 || !known || age < 0 || status.Reason != "" {
		t.Fatalf("%d records, %+v", count, status)
	}
	if first.Traffic().Received() == 0 || first.Traffic().Sent() == 0 {
		t.Fatal("no traffic was counted")
	}
	first.stop()

	// After a restart, the replica and its age are there at once.
	source.apply(t, plan("during-the-restart", 1), plan("another", 1))
	reopened, err := Open(options(dir, servers...))
	testwait.Must(t, err)
	if now := reopened.Status(); now.Version != status.Version || now.Digest != status.Digest || now.ConfirmedAt.IsZero() {
		t.Fatalf("%+v after the restart, %+v before", now, status)
	}
	reopened.store.closeJournal()
	second := start(t, options(dir, servers...))
	second.awaitVersionOf(source)
	if second.Status().Version <= status.Version {
		t.Fatal("the version did not increase after the restart")
	}
}

// Without Run, View ends with its context, and NotifyHead does not block and retains the newest
// version.
func TestFollowerWithoutRun(t *testing.T) {
	t.Parallel()
	if _, err := Open(options(t.TempDir())); err == nil {
		t.Fatal("opened without a server")
	}
	f, err := Open(options(t.TempDir(), "127.0.0.1:1"))
	testwait.Must(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := f.View(ctx, func(*records.Replica) {}); err == nil {
		t.Fatal("a view without Run succeeded")
	}
	for v := range uint64(5) {
		f.NotifyHead(v)
	}
	if head := <-f.heads; head != 4 {
		t.Fatalf("head %d", head)
	}
}

// faultyServers returns the handlers of servers with one fault each, by the name of the fault. All
// serve the source, except the one that is behind.
func faultyServers(t testing.TB) map[string]func(source *memorySource) http.Handler {
	t.Helper()
	stale := newMemorySource()
	stale.apply(t, plan("old", 1))
	return map[string]func(source *memorySource) http.Handler{
		"damaged": func(source *memorySource) http.Handler {
			inner := NewHandler(source)
			return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				recorded := httptest.NewRecorder()
				inner.ServeHTTP(recorded, r)
				body := recorded.Body.Bytes()
				body[len(body)/2] ^= 1
				w.Write(body)
			})
		},
		"truncated": func(source *memorySource) http.Handler {
			inner := NewHandler(source)
			return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				recorded := httptest.NewRecorder()
				inner.ServeHTTP(recorded, r)
				w.Write(recorded.Body.Bytes()[:recorded.Body.Len()/2])
			})
		},
		"stalled": func(*memorySource) http.Handler {
			return http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
		},
		"behind": func(*memorySource) http.Handler { return NewHandler(stale) },
		"failing": func(*memorySource) http.Handler {
			return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				http.Error(w, "no", http.StatusServiceUnavailable)
			})
		},
	}
}

// Followers eject the faulty one of two servers and reach the newest version at the other. The names
// of the followers distribute their first requests over both.
func TestFollowerEjectsFaultyServer(t *testing.T) {
	t.Parallel()
	const followers = 24 // a hash of name and address selects the first server: one run in 2^24 sends no request to the faulty one
	for name, handler := range faultyServers(t) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			source := newMemorySource()
			source.apply(t, plan("old", 1))
			source.apply(t, manyPlans(50)...)
			var requests atomic.Int64
			inner := handler(source)
			faulty := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				requests.Add(1)
				inner.ServeHTTP(w, r)
			}))
			healthy := serve(t, NewHandler(source))
			var list []*runningFollower
			for i := range followers {
				o := options(t.TempDir(), addressOf(faulty), addressOf(healthy))
				o.Name = fmt.Sprint("g", i)
				f := start(t, o)
				f.NotifyHead(source.version())
				list = append(list, f)
			}
			for _, f := range list {
				f.awaitVersionOf(source)
			}
			source.apply(t, plan("later", 1))
			for _, f := range list {
				f.NotifyHead(source.version())
				f.awaitVersionOf(source)
			}
			if requests.Load() == 0 {
				t.Fatal("no follower sent a request to the faulty server")
			}
		})
	}
}

// A follower whose servers are down retains its version and reports its age, and resumes when a
// server is back.
func TestFollowerResumesAfterServerOutage(t *testing.T) {
	t.Parallel()
	source := newMemorySource()
	source.apply(t, manyPlans(10)...)
	var down atomic.Bool
	inner := NewHandler(source)
	server := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if down.Load() {
			panic(http.ErrAbortHandler)
		}
		inner.ServeHTTP(w, r)
	}))
	f := start(t, options(t.TempDir(), addressOf(server)))
	before := f.awaitVersionOf(source)
	down.Store(true)
	server.CloseClientConnections()
	source.apply(t, plan("later", 1))
	f.NotifyHead(source.version())
	var status records.FollowerStatus
	testwait.Until(t, testTimeout, "the status has a reason", func() bool {
		status = f.Status()
		return status.Reason != "" && status.Head == source.version()
	})
	if strings.Contains(status.Reason, ChangesPath) || !strings.Contains(status.Reason, addressOf(server)) {
		t.Fatalf("the reason is not limited to the server and the cause: %s", status.Reason)
	}
	if status.Version != before.Version || status.Digest != before.Digest || status.Head != before.Version+1 {
		t.Fatalf("%+v, %+v before", status, before)
	}
	confirmedAt := status.ConfirmedAt
	testwait.Until(t, testTimeout, "more failures", func() bool {
		return f.Status().LastContact.Equal(status.LastContact) && time.Since(confirmedAt) > time.Second
	})
	if now := f.Status(); !now.ConfirmedAt.Equal(confirmedAt) {
		t.Fatalf("confirmed at %v without a server, at %v before", now.ConfirmedAt, confirmedAt)
	}
	down.Store(false)
	if status = f.awaitVersionOf(source); !status.ConfirmedAt.After(confirmedAt) {
		t.Fatalf("still confirmed at %v", status.ConfirmedAt)
	}
}

// A follower that has missed more changes than the server's log retains fetches only the ranges
// that differ.
func TestFollowerRepairsAcrossACompactedLog(t *testing.T) {
	t.Parallel()
	source := newMemorySource()
	source.apply(t, incompressiblePlans(5000)...)
	server := addressOf(serve(t, NewHandler(source)))
	dir := t.TempDir()
	first := start(t, options(dir, server))
	first.awaitVersionOf(source)
	first.stop()
	complete := first.Traffic().Received()
	for i := range records.MaxLogChanges + 1 {
		source.apply(t, plan("changing", 1+i))
	}
	var response records.ChangesResponse
	source.ReadRecords(func(store *records.Store) { response = store.HandleChanges(records.ChangesRequest{Since: 1}) })
	if response.Repair != records.RepairCompacted {
		t.Fatalf("%+v", response)
	}
	second := start(t, options(dir, server))
	if second.Status().Version != 1 {
		t.Fatalf("%+v", second.Status())
	}
	second.awaitVersionOf(source)
	if repair := second.Traffic().Received(); repair >= complete/2 {
		t.Fatalf("%d bytes for one record, %d for all", repair, complete)
	}
}

// A follower with a damaged snapshot quarantines it and fetches the records again.
func TestFollowerRefetchesAfterSnapshotDamage(t *testing.T) {
	t.Parallel()
	source := newMemorySource()
	source.apply(t, manyPlans(200)...)
	server := addressOf(serve(t, NewHandler(source)))
	dir := t.TempDir()
	first := start(t, options(dir, server))
	first.awaitVersionOf(source)
	first.stop()
	path := filepath.Join(dir, snapshotName)
	data, err := os.ReadFile(path)
	testwait.Must(t, err)
	testwait.Must(t, os.WriteFile(path, data[:len(data)/2], fileMode))
	second := start(t, options(dir, server))
	second.awaitVersionOf(source)
	if _, err := os.Stat(path + damagedSuffix); err != nil {
		t.Fatal(err)
	}
	second.stop()
	if third, err := Open(options(dir, server)); err != nil || third.Status().Version != source.version() {
		t.Fatalf("%+v, %v", third.Status(), err)
	}
}

// A follower whose directory cannot be written continues in memory, and reports the error.
func TestFollowerContinuesWithoutDisk(t *testing.T) {
	t.Parallel()
	source := newMemorySource()
	source.apply(t, manyPlans(20)...)
	dir := filepath.Join(t.TempDir(), "records")
	f, err := Open(options(dir, addressOf(serve(t, NewHandler(source)))))
	testwait.Must(t, err)
	testwait.Must(t, os.Remove(dir))
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); f.Run(ctx) }()
	r := &runningFollower{f, t, nil}
	r.awaitVersionOf(source)
	if !strings.Contains(f.DiskError(), dir) {
		t.Fatalf("the disk error is %q", f.DiskError())
	}
	cancel()
	<-done
}

// incompressiblePlans returns plans with random names, which compress badly: their responses are
// large enough to reach a traffic budget.
func incompressiblePlans(count int) (operations []records.Operation) {
	random := rand.New(rand.NewPCG(1, 2))
	for i := range count {
		operations = append(operations, plan(fmt.Sprintf("%016x%016x-%d", random.Uint64(), random.Uint64(), i), 1+random.IntN(1_000_000)))
	}
	return operations
}

// A repair during changes uses at most the traffic budget and one response.
func TestFollowerLimitsTraffic(t *testing.T) {
	t.Parallel()
	const (
		bytesPerSecond   = 20_000
		burst            = 20_000
		maxResponseBytes = 64 << 10 // a chunk before compression, and its headers
	)
	source := newMemorySource()
	source.apply(t, incompressiblePlans(3000)...)
	server := serve(t, NewHandler(source))
	o := options(t.TempDir(), addressOf(server))
	o.BytesPerSecond, o.BurstBytes = bytesPerSecond, burst
	began := time.Now()
	f := start(t, o)
	checkBudget := func() {
		used := f.Traffic().Received() + f.Traffic().Sent()
		limit := burst + maxResponseBytes + int64(bytesPerSecond*time.Since(began).Seconds())
		if used > limit {
			t.Fatalf("%d bytes were used, the limit is %d", used, limit)
		}
	}
	urgent := 0
	testwait.Until(t, testTimeout, "the replica is complete", func() bool {
		if checkBudget(); urgent < 50 {
			source.apply(t, plan(fmt.Sprint("urgent", urgent), 1))
			urgent++
		}
		return f.Status().Digest == source.digest()
	})
	if urgent < 2 {
		t.Fatalf("%d changes while the replica was fetched", urgent)
	}
	// A later change is received although the budget is exhausted.
	source.apply(t, plan("last", 1))
	f.awaitVersionOf(source)
	checkBudget()
}
