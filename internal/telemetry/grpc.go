package telemetry

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
)

// OTLP over gRPC makes one unary call per message. The HTTP/2 client of the standard library suffices for that; the
// gRPC library would be larger than the rest of the exporter.
// https://github.com/grpc/grpc/blob/master/doc/PROTOCOL-HTTP2.md

const (
	tracesCall     = "/opentelemetry.proto.collector.trace.v1.TraceService/Export"
	metricsCall    = "/opentelemetry.proto.collector.metrics.v1.MetricsService/Export"
	frameHeaderLen = 5 // bytes: the compression flag and the length
)

// retryableGRPCStatus holds the gRPC statuses after which OTLP's specification allows a retry.
var retryableGRPCStatus = map[int]bool{1: true, 4: true, 10: true, 11: true, 14: true, 15: true}

const (
	grpcOK                = 0
	grpcResourceExhausted = 8 // retryable only with a RetryInfo
)

// classifyGRPCStatus returns what the status of a call means, and the pause that the server asks for.
func classifyGRPCStatus(status int, details string) (deliveryResult, time.Duration) {
	delay, ok := retryInfo(details)
	switch {
	case status == grpcOK:
		return delivered, 0
	case retryableGRPCStatus[status], status == grpcResourceExhausted && ok:
		return retryable, min(delay, maxRetryAfter)
	}
	return permanentFailure, 0
}

// sendGRPC makes one delivery over gRPC.
func (s *sender) sendGRPC(ctx context.Context, packed []byte) (v deliveryResult, advised time.Duration, reply []byte) {
	frame := make([]byte, frameHeaderLen, frameHeaderLen+len(packed))
	frame[0] = 1
	binary.BigEndian.PutUint32(frame[1:], uint32(len(packed)))
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.url, bytes.NewReader(append(frame, packed...)))
	if err != nil {
		return permanentFailure, 0, nil
	}
	for k, v := range s.headers {
		req.Header.Set(k, v)
	}
	for k, v := range map[string]string{"Content-Type": "application/grpc", "Te": "trailers", "Grpc-Encoding": "gzip", "Grpc-Accept-Encoding": "gzip",
		"Grpc-Timeout": strconv.FormatInt(s.timeout.Milliseconds(), 10) + "m"} {
		req.Header.Set(k, v)
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return retryable, 0, nil
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return classifyHTTPStatus(resp.StatusCode, nil), retryAfter(resp.Header, time.Now()), nil
	}
	reply, err = readFrame(resp.Body, resp.Header.Get("Grpc-Encoding"))
	if err != nil {
		return retryable, 0, nil
	}
	from := resp.Trailer
	if resp.Header.Get("Grpc-Status") != "" {
		from = resp.Header // a trailers-only response
	}
	status, err := strconv.Atoi(from.Get("Grpc-Status"))
	if err != nil {
		return retryable, 0, nil // the response ended before its status
	}
	v, advised = classifyGRPCStatus(status, from.Get("Grpc-Status-Details-Bin"))
	return v, advised, reply
}

var errMalformedFrame = errors.New("a frame that can't be read")

// readFrame reads a response to its end, after which its trailers are available, and returns its one message, nil
// if there is none. Servers compress responses like the request, whatever it accepts.
func readFrame(r io.Reader, encoding string) ([]byte, error) {
	text, err := readBounded(r)
	switch {
	case err != nil:
		return nil, fmt.Errorf("%w: %w", errMalformedFrame, err)
	case len(text) == 0:
		return nil, nil
	case len(text) < frameHeaderLen || int(binary.BigEndian.Uint32(text[1:])) != len(text)-frameHeaderLen:
		return nil, errMalformedFrame
	case text[0] == 0:
		return text[frameHeaderLen:], nil
	case text[0] != 1 || encoding != "gzip":
		return nil, errMalformedFrame
	}
	z, err := gzip.NewReader(bytes.NewReader(text[frameHeaderLen:]))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errMalformedFrame, err)
	}
	defer z.Close()
	if text, err = readBounded(z); err != nil {
		return nil, fmt.Errorf("%w: %w", errMalformedFrame, err)
	}
	return text, nil
}

// readBounded reads to the end; more than maxReplyBytes is an error.
func readBounded(r io.Reader) ([]byte, error) {
	text, err := io.ReadAll(io.LimitReader(r, maxReplyBytes+1))
	if err == nil && len(text) > maxReplyBytes {
		err = errors.New("it is too long")
	}
	return text, err
}

// retryInfo extracts the pause from the details of a status: a google.rpc.Status whose
// details (field 3) hold an Any (type 1, value 2) of google.rpc.RetryInfo (a Duration in field 1).
func retryInfo(details string) (time.Duration, bool) {
	text, err := base64.RawStdEncoding.DecodeString(strings.TrimRight(details, "="))
	if err != nil {
		return 0, false
	}
	for _, any := range fields(text, 3) {
		kind := fields(any, 1)
		if len(kind) != 1 || !strings.HasSuffix(string(kind[0]), "/google.rpc.RetryInfo") {
			continue
		}
		for _, info := range fields(any, 2) {
			for _, d := range fields(info, 1) {
				seconds, nanos := number(d, 1), number(d, 2)
				if seconds > uint64(maxRetryAfter/time.Second) {
					return maxRetryAfter, true
				}
				return time.Duration(seconds)*time.Second + time.Duration(min(nanos, 999_999_999)), true
			}
		}
	}
	return 0, false
}

// fields returns the values of a bytes field, up to the first malformed field.
func fields(text []byte, want protowire.Number) (list [][]byte) {
	for len(text) > 0 {
		n, kind, size := protowire.ConsumeTag(text)
		if size < 0 {
			return list
		}
		text = text[size:]
		if size = protowire.ConsumeFieldValue(n, kind, text); size < 0 {
			return list
		}
		if n == want && kind == protowire.BytesType {
			v, _ := protowire.ConsumeBytes(text)
			list = append(list, v)
		}
		text = text[size:]
	}
	return list
}

// number returns the value of a varint field, 0 if it is absent.
func number(text []byte, want protowire.Number) uint64 {
	for len(text) > 0 {
		n, kind, size := protowire.ConsumeTag(text)
		if size < 0 {
			return 0
		}
		text = text[size:]
		if size = protowire.ConsumeFieldValue(n, kind, text); size < 0 {
			return 0
		}
		if n == want && kind == protowire.VarintType {
			v, _ := protowire.ConsumeVarint(text)
			return v
		}
		text = text[size:]
	}
	return 0
}
