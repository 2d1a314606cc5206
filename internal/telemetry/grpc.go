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
// gRPC library would be larger than the rest of the exporter. Protocol:
// https://github.com/grpc/grpc/blob/master/doc/PROTOCOL-HTTP2.md

const (
	tracesCall     = "/opentelemetry.proto.collector.trace.v1.TraceService/Export"
	metricsCall    = "/opentelemetry.proto.collector.metrics.v1.MetricsService/Export"
	frameHeaderLen = 5 // bytes: 1 for the compression flag, 4 for the length
)

// retryableGRPCStatus holds the gRPC status codes after which the OTLP specification allows a retry.
var retryableGRPCStatus = map[int]bool{1: true, 4: true, 10: true, 11: true, 14: true, 15: true}

const (
	grpcOK                = 0
	grpcResourceExhausted = 8 // retryable only with a RetryInfo
)

// classifyGRPCStatus returns the result of a call with the given status, and the delay that the server requests.
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
func (s *sender) sendGRPC(ctx context.Context, payload []byte) (v deliveryResult, advisedDelay time.Duration, replyBody []byte) {
	frame := make([]byte, frameHeaderLen, frameHeaderLen+len(payload))
	frame[0] = 1
	binary.BigEndian.PutUint32(frame[1:], uint32(len(payload)))
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.url, bytes.NewReader(append(frame, payload...)))
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
	replyBody, err = readFrame(resp.Body, resp.Header.Get("Grpc-Encoding"))
	if err != nil {
		return retryable, 0, nil
	}
	grpcHeader := resp.Trailer
	if resp.Header.Get("Grpc-Status") != "" {
		grpcHeader = resp.Header // a trailers-only response
	}
	status, err := strconv.Atoi(grpcHeader.Get("Grpc-Status"))
	if err != nil {
		return retryable, 0, nil // the response ended before its status
	}
	v, advisedDelay = classifyGRPCStatus(status, grpcHeader.Get("Grpc-Status-Details-Bin"))
	return v, advisedDelay, replyBody
}

var errMalformedFrame = errors.New("malformed gRPC frame")

// readFrame reads a response to its end, after which its trailers are available, and returns its message, nil if there
// is none. Responses may be compressed: servers use the encoding of the request, whatever it accepts.
func readFrame(r io.Reader, encoding string) ([]byte, error) {
	text, err := readLimited(r)
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
	if text, err = readLimited(z); err != nil {
		return nil, fmt.Errorf("%w: %w", errMalformedFrame, err)
	}
	return text, nil
}

// readLimited reads to the end. It fails if there are more than maxResponseBytes.
func readLimited(r io.Reader) ([]byte, error) {
	text, err := io.ReadAll(io.LimitReader(r, maxResponseBytes+1))
	if err == nil && len(text) > maxResponseBytes {
		err = errors.New("message exceeds the size limit")
	}
	return text, err
}

// retryInfo returns the retry delay in the details of a status: a google.rpc.Status whose details (field 3) hold an
// Any (type 1, value 2) of google.rpc.RetryInfo (a Duration in field 1). It returns false if there is none.
func retryInfo(details string) (time.Duration, bool) {
	text, err := base64.RawStdEncoding.DecodeString(strings.TrimRight(details, "="))
	if err != nil {
		return 0, false
	}
	for _, anyMessage := range bytesFields(text, 3) {
		messageType := bytesFields(anyMessage, 1)
		if len(messageType) != 1 || !strings.HasSuffix(string(messageType[0]), "/google.rpc.RetryInfo") {
			continue
		}
		for _, info := range bytesFields(anyMessage, 2) {
			for _, delay := range bytesFields(info, 1) {
				seconds, nanos := varintField(delay, 1), varintField(delay, 2)
				if seconds > uint64(maxRetryAfter/time.Second) {
					return maxRetryAfter, true
				}
				return time.Duration(seconds)*time.Second + time.Duration(min(nanos, 999_999_999)), true
			}
		}
	}
	return 0, false
}

// bytesFields returns all values of a bytes field in a protobuf message, up to its first malformed field.
func bytesFields(text []byte, field protowire.Number) (list [][]byte) {
	for len(text) > 0 {
		number, wireType, size := protowire.ConsumeTag(text)
		if size < 0 {
			return list
		}
		text = text[size:]
		if size = protowire.ConsumeFieldValue(number, wireType, text); size < 0 {
			return list
		}
		if number == field && wireType == protowire.BytesType {
			v, _ := protowire.ConsumeBytes(text)
			list = append(list, v)
		}
		text = text[size:]
	}
	return list
}

// varintField returns the first value of a varint field in a protobuf message, 0 if it is absent.
func varintField(text []byte, field protowire.Number) uint64 {
	for len(text) > 0 {
		number, wireType, size := protowire.ConsumeTag(text)
		if size < 0 {
			return 0
		}
		text = text[size:]
		if size = protowire.ConsumeFieldValue(number, wireType, text); size < 0 {
			return 0
		}
		if number == field && wireType == protowire.VarintType {
			v, _ := protowire.ConsumeVarint(text)
			return v
		}
		text = text[size:]
	}
	return 0
}
