package telemetry

import (
	"context"
	"net"
	"sync"
	"testing"

	coltrace "go.opentelemetry.io/proto/otlp/collector/trace/v1"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	_ "google.golang.org/grpc/encoding/gzip"
	"google.golang.org/grpc/status"
)

// published is a trace service on the published gRPC library: the first calls fail.
type published struct {
	coltrace.UnimplementedTraceServiceServer
	mu    sync.Mutex
	fails int
	spans int
}

func (p *published) Export(_ context.Context, r *coltrace.ExportTraceServiceRequest) (*coltrace.ExportTraceServiceResponse, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fails--; p.fails >= 0 {
		return nil, status.Error(codes.Unavailable, "not yet")
	}
	n := len(r.ResourceSpans[0].ScopeSpans[0].Spans)
	p.spans += n - 1
	return &coltrace.ExportTraceServiceResponse{PartialSuccess: &coltrace.ExportTracePartialSuccess{RejectedSpans: 1, ErrorMessage: "one too many"}}, nil
}

// The published gRPC library takes the exporter's calls, and its answers are understood.
func TestThePublishedLibraryTakesTheCalls(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p, server := &published{fails: 1}, grpc.NewServer()
	coltrace.RegisterTraceServiceServer(server, p)
	var wg sync.WaitGroup
	wg.Go(func() { server.Serve(l) })
	t.Cleanup(func() { server.Stop(); wg.Wait() })
	set := settings(l.Addr().String())
	set.GRPC, set.Metrics = true, false
	x := Start(set, now, figures, quiet)
	for i := range 10 {
		request(x, i)
	}
	s := x.state.spanSender
	until(t, "it is taken", func() bool { return s.sent.Load()+s.rejected.Load() == 20 })
	x.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	if uint64(p.spans) != s.sent.Load() || s.rejected.Load() == 0 || s.failures.Load() != 1 {
		t.Errorf("%d spans were taken, %d sent; %d refused, %d calls failed", p.spans, s.sent.Load(), s.rejected.Load(), s.failures.Load())
	}
}
