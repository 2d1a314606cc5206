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

// OTLP over gRPC is one unary call a message. It needs no more than HTTP/2, which the
// standard library has; the gRPC library would weigh more than the rest of the exporter.
// https://github.com/grpc/grpc/blob/master/doc/PROTOCOL-HTTP2.md

const (
	tracesCall  = "/opentelemetry.proto.collector.trace.v1.TraceService/Export"
	metricsCall = "/opentelemetry.proto.collector.metrics.v1.MetricsService/Export"
	frameHead   = 5 // bytes: whether it is packed, and its length
)

// Statuses of gRPC that OTLP's specification lets a client try again after.
var grpcAgain = map[int]bool{1: true, 4: true, 10: true, 11: true, 14: true, 15: true}

const (
	grpcOK        = 0
	grpcExhausted = 8 // again, if the answer says when
)

// judgeCall tells what the status of a call means, and how long to stay away.
func judgeCall(status int, details string) (verdict, time.Duration) {
	delay, told := retryInfo(details)
	switch {
	case status == grpcOK:
		return delivered, 0
	case grpcAgain[status], status == grpcExhausted && told:
		return again, min(delay, mostAdvice)
	}
	return final, 0
}

// call makes one sending over gRPC.
func (s *sender) call(ctx context.Context, packed []byte) (v verdict, advised time.Duration, reply []byte) {
	frame := make([]byte, frameHead, frameHead+len(packed))
	frame[0] = 1
	binary.BigEndian.PutUint32(frame[1:], uint32(len(packed)))
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.url, bytes.NewReader(append(frame, packed...)))
	if err != nil {
		return final, 0, nil
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
		return again, 0, nil
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return judge(resp.StatusCode, nil), advice(resp.Header, time.Now()), nil
	}
	reply, err = readFrame(resp.Body, resp.Header.Get("Grpc-Encoding"))
	if err != nil {
		return again, 0, nil
	}
	from := resp.Trailer
	if resp.Header.Get("Grpc-Status") != "" {
		from = resp.Header // an answer of headers alone
	}
	status, err := strconv.Atoi(from.Get("Grpc-Status"))
	if err != nil {
		return again, 0, nil // it ended before its status
	}
	v, advised = judgeCall(status, from.Get("Grpc-Status-Details-Bin"))
	return v, advised, reply
}

var errFrame = errors.New("a frame that can't be read")

// readFrame reads the one message of an answer, or nothing where there is none, to
// the end of the answer, behind which its status comes. Servers pack their answers as the call
// was, whatever it said that it takes.
func readFrame(r io.Reader, encoding string) ([]byte, error) {
	text, err := short(r)
	switch {
	case err != nil:
		return nil, fmt.Errorf("%w: %w", errFrame, err)
	case len(text) == 0:
		return nil, nil
	case len(text) < frameHead || int(binary.BigEndian.Uint32(text[1:])) != len(text)-frameHead:
		return nil, errFrame
	case text[0] == 0:
		return text[frameHead:], nil
	case text[0] != 1 || encoding != "gzip":
		return nil, errFrame
	}
	z, err := gzip.NewReader(bytes.NewReader(text[frameHead:]))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errFrame, err)
	}
	defer z.Close()
	if text, err = short(z); err != nil {
		return nil, fmt.Errorf("%w: %w", errFrame, err)
	}
	return text, nil
}

// short reads to the end, of what is no longer than a reply may be.
func short(r io.Reader) ([]byte, error) {
	text, err := io.ReadAll(io.LimitReader(r, mostReply+1))
	if err == nil && len(text) > mostReply {
		err = errors.New("it is too long")
	}
	return text, err
}

// retryInfo reads the pause from the details of a status: a google.rpc.Status whose
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
				if seconds > uint64(mostAdvice/time.Second) {
					return mostAdvice, true
				}
				return time.Duration(seconds)*time.Second + time.Duration(min(nanos, 999_999_999)), true
			}
		}
	}
	return 0, false
}

// fields are the values of a field of bytes, of what can be read.
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

// number is a field's whole number, 0 where it has none.
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
