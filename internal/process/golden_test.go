package process

import (
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"elderyard/internal/golden"
	"elderyard/supervise"
)

// loadStateFrom returns the state that a process loads from a state file with this content.
func loadStateFrom(t *testing.T, text []byte) (savedState, error) {
	t.Helper()
	p := Process{options: Options{Dir: t.TempDir()}}
	if err := os.WriteFile(filepath.Join(p.options.Dir, "state.json"), text, 0o600); err != nil {
		t.Fatal(err)
	}
	return p.loadState()
}

// The state file, by which a restarted agent finds the gateways of its predecessor, must
// keep its format.
func TestGoldenProcessState(t *testing.T) {
	spec := supervise.Spec{Revision: 4, ContentChecksum: "c4", FilesChecksum: "f4", StartupChecksum: "x4", MaxRequestDuration: 3 * time.Second}
	golden.Complete(t, savedState{PID: 4711, Started: "12345 0d9c", Spec: &spec, Crashes: 2})
	for name, state := range map[string]savedState{
		"state.json":      {PID: 4711, Started: "12345 0d9c", Spec: &spec, Crashes: 2},
		"state-down.json": {},
	} {
		golden.JSON(t, name, state)
		text, err := os.ReadFile(filepath.Join("testdata", name))
		if err != nil {
			t.Fatal(err)
		}
		if got, err := loadStateFrom(t, text); err != nil || !reflect.DeepEqual(got, state) {
			t.Errorf("%s decodes to %+v, %v, want %+v", name, got, err, state)
		}
	}
	// A state file written before revisions had checksums.
	oldState := `{"pid":4711,"started":"12345 0d9c","spec":{"revision":4,"files":"f4","fixed":"x4","longest_ns":3000000000},"crashes":2}`
	spec.ContentChecksum = ""
	if got, err := loadStateFrom(t, []byte(oldState)); err != nil || !reflect.DeepEqual(got, savedState{PID: 4711, Started: "12345 0d9c", Spec: &spec, Crashes: 2}) {
		t.Errorf("an old state decodes to %+v, %v", got, err)
	}
}

// The readiness check must keep its path, and only status 200 means ready.
func TestGoldenHealthCheck(t *testing.T) {
	status := http.StatusOK
	var requests []string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests = append(requests, r.Method+" "+r.RequestURI)
		w.WriteHeader(status)
	}))
	defer server.Close()
	p := Process{options: Options{Listen: server.Listener.Addr().String()}, client: http.DefaultClient}
	if !p.checkReady(t.Context()) {
		t.Error("status 200 counts as not ready")
	}
	for _, status = range []int{http.StatusNoContent, http.StatusServiceUnavailable} {
		if p.checkReady(t.Context()) {
			t.Errorf("status %d counts as ready", status)
		}
	}
	if want := "GET /health/ready"; len(requests) != 3 || requests[0] != want || requests[1] != want || requests[2] != want {
		t.Errorf("requests %q, want three of %q", requests, want)
	}
}
