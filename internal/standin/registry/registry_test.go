package registry

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"elderyard/internal/standin/link"
)

const testTimeout = 10 * time.Second

func start(t *testing.T) *Registry {
	t.Helper()
	var links []*link.Link
	for _, peer := range []string{"g0", "g1"} {
		l, err := link.Listen(peer)
		if err != nil {
			t.Fatal(err)
		}
		links = append(links, l)
	}
	r := Start(func(peer, id string) string { return peer + "." + id + ":1" }, 100, links...)
	t.Cleanup(r.Close)
	return r
}

func ask(t *testing.T, r *Registry, peer, query string, limit time.Duration) (l listing, err error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, "GET", "http://"+r.Address(peer)+listPath+query, nil)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return l, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != 200 {
		return l, fmt.Errorf("status %s", resp.Status)
	}
	return l, json.NewDecoder(resp.Body).Decode(&l)
}

func mustAsk(t *testing.T, r *Registry, peer, query string) listing {
	t.Helper()
	l, err := ask(t, r, peer, query, testTimeout)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func TestListAndWatch(t *testing.T) {
	r := start(t)
	r.Set(Instance{ID: "a", Lifecycle: Ready})
	r.Set(Instance{ID: "b", Lifecycle: Ready})
	l := mustAsk(t, r, "g0", "")
	if !l.Reset || l.Generation != 2 || len(l.Instances) != 2 || l.Instances[0].HostPort != "g0.a:1" {
		t.Fatalf("%+v", l)
	}
	watched := make(chan listing, 1)
	go func() {
		l, _ := ask(t, r, "g0", "?since=2&timeout_ms=20000", testTimeout)
		watched <- l
	}()
	r.Set(Instance{ID: "b", Lifecycle: Terminating})
	if l := <-watched; l.Reset || len(l.Instances) != 1 || l.Instances[0].Lifecycle != Terminating {
		t.Fatalf("%+v", l)
	}
	if l := mustAsk(t, r, "g0", "?since=3&timeout_ms=1"); l.Reset || len(l.Instances) != 0 {
		t.Fatalf("a watch without changes: %+v", l)
	}
	if _, err := ask(t, r, "g0", "?since=x", testTimeout); err == nil {
		t.Fatal("a non-numeric generation was accepted")
	}
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		notifications, _ := r.Record()
		if n := len(notifications); n == 3 && notifications[2].Instance == "b" && notifications[2].Lifecycle == Terminating && notifications[2].Peer == "g0" {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("%+v", notifications)
		}
	}
}

func TestWholeListReportsGoneInstances(t *testing.T) {
	r := start(t)
	r.Set(Instance{ID: "a", Lifecycle: Ready})
	r.Set(Instance{ID: "a", Lifecycle: Gone})
	if l := mustAsk(t, r, "g0", "?since=99&timeout_ms=1"); !l.Reset || len(l.Instances) != 0 {
		t.Fatalf("%+v", l)
	}
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		if notifications, _ := r.Record(); len(notifications) == 1 && notifications[0].Lifecycle == Gone {
			return
		}
		if time.Now().After(end) {
			t.Fatal("the removal was not recorded as sent")
		}
	}
}

func TestDelayStaleAndSilentAffectOneGateway(t *testing.T) {
	r := start(t)
	r.Set(Instance{ID: "a", Lifecycle: Ready})
	r.SetStale("g0", true)
	r.SetDelay("g1", time.Hour)
	r.Set(Instance{ID: "a", Lifecycle: Gone})
	if l := mustAsk(t, r, "g0", ""); l.Generation != 1 || len(l.Instances) != 1 {
		t.Fatalf("stale: %+v", l)
	}
	if l := mustAsk(t, r, "g1", ""); l.Generation != 0 || len(l.Instances) != 0 {
		t.Fatalf("delayed: %+v", l)
	}
	r.SetDelay("g1", 0)
	r.SetSilent("g1", true)
	if _, err := ask(t, r, "g1", "", 50*time.Millisecond); err == nil {
		t.Fatal("a silent registry answered")
	}
	r.SetSilent("g1", false)
	r.SetStale("g0", false)
	for _, peer := range []string{"g0", "g1"} {
		if l := mustAsk(t, r, peer, ""); l.Generation != 2 || len(l.Instances) != 0 {
			t.Fatalf("%s afterwards: %+v", peer, l)
		}
	}
}

func TestChangesAreLimitedAndOldWatchGetsWholeList(t *testing.T) {
	r := start(t)
	r.Set(Instance{ID: "old", Lifecycle: Ready})
	for i := range maxChanges + 10 {
		r.Set(Instance{ID: "b", Lifecycle: Ready, StartedAt: int64(i)})
	}
	l := mustAsk(t, r, "g0", "?since=1&timeout_ms=0")
	if !l.Reset || len(l.Instances) != 2 || l.Instances[0].StartedAt != maxChanges+9 || l.Instances[1].ID != "old" {
		t.Fatalf("%+v", l)
	}
	if len(r.changes) != maxChanges {
		t.Fatalf("%d changes kept", len(r.changes))
	}
}
