package telemetry

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"
)

// Retry and size limits of a delivery, as the specification of OTLP/HTTP requires:
// https://opentelemetry.io/docs/specs/otlp/.
const (
	initialBackoff   = 500 * time.Millisecond
	maxBackoff       = 30 * time.Second
	maxRetryAfter    = time.Minute // longer values of Retry-After are cut to this
	maxResponseBytes = 64 << 10
)

// deliveryResult is the result of one delivery.
type deliveryResult int

const (
	delivered        deliveryResult = iota
	retryable                       // the same batch may be sent again
	permanentFailure                // the batch must be dropped
)

// classifyHTTPStatus returns the result of a delivery. It is retryable after the statuses 429, 502, 503 and 504 and if
// there was no response; every other failure is permanent.
func classifyHTTPStatus(status int, err error) deliveryResult {
	switch {
	case err != nil:
		return retryable
	case status >= 200 && status < 300:
		return delivered
	case status == http.StatusTooManyRequests || status == http.StatusBadGateway ||
		status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout:
		return retryable
	}
	return permanentFailure
}

// retryAfter parses the header Retry-After, in seconds or as a date. It returns 0 if there is no valid one.
func retryAfter(header http.Header, now time.Time) time.Duration {
	text := header.Get("Retry-After")
	if seconds, err := strconv.Atoi(text); err == nil && seconds > 0 {
		return min(time.Duration(seconds)*time.Second, maxRetryAfter)
	}
	if date, err := http.ParseTime(text); err == nil {
		return min(max(date.Sub(now), 0), maxRetryAfter)
	}
	return 0
}

// backoff computes the delays between retries. Their limit doubles each time, and each delay is random in the upper
// half of its limit, so that many gateways do not retry at the same time.
type backoff struct{ limit time.Duration }

// next returns the delay before the next retry. A delay that the collector requested is used instead of the computed
// one, with jitter.
func (b *backoff) next(advisedDelay time.Duration) time.Duration {
	b.limit = min(max(2*b.limit, initialBackoff), maxBackoff)
	delay := b.limit/2 + time.Duration(rand.Int64N(int64(b.limit/2)+1))
	if advisedDelay > 0 {
		return advisedDelay + time.Duration(rand.Int64N(int64(initialBackoff))) // jitter
	}
	return delay
}

func (b *backoff) reset() { b.limit = 0 }

// exportResponse is a collector's response to an accepted message. It may report that some items were rejected.
type exportResponse interface {
	proto.Message
	rejected() int64
}

// sender delivers the batches of one signal to the collector.
type sender struct {
	url         string
	headers     map[string]string
	client      *http.Client
	grpc        bool // gRPC instead of HTTP; url then ends in the method
	timeout     time.Duration
	queue       *queue
	newResponse func() exportResponse
	sent        atomic.Uint64 // items
	rejected    atomic.Uint64 // items rejected by the collector
	failures    atomic.Uint64 // failed deliveries
}

// newSender returns a sender for the signal whose path or gRPC method is target. NewResponse returns an empty response.
func newSender(set *Settings, target string, client *http.Client, newResponse func() exportResponse) *sender {
	return &sender{
		url:         set.Endpoint + target,
		headers:     set.Headers,
		client:      client,
		grpc:        set.GRPC,
		timeout:     set.Timeout,
		queue:       newQueue(set.QueueBytes),
		newResponse: newResponse,
	}
}

// run delivers batches until ctx is done. It leaves the remaining ones to drain.
func (s *sender) run(ctx context.Context) {
	var retry backoff
	for {
		b, ok := s.queue.pop()
		if !ok {
			select {
			case <-ctx.Done():
				return
			case <-s.queue.added:
				continue
			}
		}
		result, advisedDelay := s.send(ctx, b)
		switch result {
		case delivered:
			retry.reset()
			continue
		case permanentFailure:
			continue
		}
		s.queue.requeue(b)
		select {
		case <-ctx.Done():
			return
		case <-time.After(retry.next(advisedDelay)):
		}
	}
}

// drain tries to deliver each remaining batch once until ctx is done, and drops those that were not delivered.
func (s *sender) drain(ctx context.Context) {
	for ctx.Err() == nil {
		b, ok := s.queue.pop()
		if !ok {
			return
		}
		if result, _ := s.send(ctx, b); result == retryable {
			s.queue.countDropped(b.items)
		}
	}
	s.queue.clear()
}

// send makes one delivery and counts its result. The caller must requeue or count a retryable batch.
func (s *sender) send(ctx context.Context, b batch) (result deliveryResult, advisedDelay time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	var body []byte
	if s.grpc {
		result, advisedDelay, body = s.sendGRPC(ctx, b.body)
	} else {
		var status int
		var header http.Header
		var err error
		status, header, body, err = s.sendHTTP(ctx, b.body)
		result, advisedDelay = classifyHTTPStatus(status, err), retryAfter(header, time.Now())
	}
	switch result {
	case delivered:
		lost := s.rejectedItems(body, b.items)
		s.rejected.Add(lost)
		s.sent.Add(uint64(b.items) - lost)
	case retryable:
		s.failures.Add(1)
	case permanentFailure:
		s.failures.Add(1)
		s.rejected.Add(uint64(b.items))
	}
	return result, advisedDelay
}

// rejectedItems returns the number of items of an accepted batch that the collector's response reports as rejected. A
// malformed response counts as none.
func (s *sender) rejectedItems(body []byte, items int) uint64 {
	response := s.newResponse()
	if proto.Unmarshal(body, response) != nil {
		return 0
	}
	return uint64(min(max(response.rejected(), 0), int64(items)))
}

// sendHTTP makes one delivery over HTTP and returns the status, headers and body of the response.
func (s *sender) sendHTTP(ctx context.Context, body []byte) (status int, h http.Header, replyBody []byte, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, nil, err
	}
	for k, v := range s.headers {
		req.Header.Set(k, v)
	}
	req.Header.Set("Content-Type", "application/x-protobuf")
	req.Header.Set("Content-Encoding", "gzip")
	resp, err := s.client.Do(req)
	if err != nil {
		return 0, nil, nil, err
	}
	defer resp.Body.Close()
	replyBody, err = io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if len(replyBody) > maxResponseBytes {
		return resp.StatusCode, resp.Header, nil, nil // the status counts; the oversized body is ignored
	}
	if err != nil && resp.StatusCode < 300 {
		return 0, resp.Header, nil, fmt.Errorf("read response: %w", err)
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return 0, resp.Header, nil, err
	}
	return resp.StatusCode, resp.Header, replyBody, nil
}
