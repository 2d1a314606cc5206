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

// traceService is a trace service on the official gRPC library. Its first calls fail.
type traceService struct {
	coltrace.UnimplementedTraceServiceServer
	mu       sync.Mutex
	failures int
	spans    int
}

func (service *traceService) Export(_ context.Context, req *coltrace.ExportTraceServiceRequest) (*coltrace.ExportTraceServiceResponse, error) {
	service.mu.Lock()
	defer service.mu.Unlock()
	if service.failures--; service.failures >= 0 {
		return nil, status.Error(codes.Unavailable, "unavailable")
	}
	n := len(req.ResourceSpans[0].ScopeSpans[0].Spans)
	service.spans += n - 1
	return &coltrace.ExportTraceServiceResponse{PartialSuccess: &coltrace.ExportTracePartialSuccess{RejectedSpans: 1, ErrorMessage: "one span rejected"}}, nil
}

// The official gRPC library accepts the exporter's calls, and the exporter understands its responses: an error that may
// be retried and a partial success.
func TestExportToOfficialGRPCServer(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	service, server := &traceService{failures: 1}, grpc.NewServer()
	coltrace.RegisterTraceServiceServer(server, service)
	var wg sync.WaitGroup
	wg.Go(func() { server.Serve(listener) })
	t.Cleanup(func() { server.Stop(); wg.Wait() })
	set := settings(listener.Addr().String())
	set.GRPC, set.Metrics = true, false
	exporter := Start(set, now, testStats, discardLogger)
	for i := range 10 {
		recordRequest(exporter, i)
	}
	sender := exporter.state.spanSender
	waitUntil(t, "all spans are sent or rejected", func() bool { return sender.sent.Load()+sender.rejected.Load() == 20 })
	exporter.Close()
	service.mu.Lock()
	defer service.mu.Unlock()
	if uint64(service.spans) != sender.sent.Load() || sender.rejected.Load() == 0 || sender.failures.Load() != 1 {
		t.Errorf("%d spans received, %d sent; %d rejected, %d calls failed", service.spans, sender.sent.Load(), sender.rejected.Load(), sender.failures.Load())
	}
}
