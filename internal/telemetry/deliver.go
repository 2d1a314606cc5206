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

// Limits of a delivery, from the specification of OTLP/HTTP:
// https://opentelemetry.io/docs/specs/otlp/.
const (
	initialBackoff = 500 * time.Millisecond
	maxBackoff     = 30 * time.Second
	maxRetryAfter  = time.Minute // limit of a Retry-After
	maxReplyBytes  = 64 << 10    // bytes
)

// deliveryResult is what came of one delivery.
type deliveryResult int

const (
	delivered        deliveryResult = iota
	retryable                       // the batch may be sent again
	permanentFailure                // the batch must not be sent again
)

// classifyHTTPStatus returns what the answer to a delivery means: it may be retried after 429, 502, 503 and 504 and
// if there was no answer; every other failure is permanent.
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

// retryAfter parses the header Retry-After, in seconds or as a date; 0 if there is none that is valid.
func retryAfter(h http.Header, now time.Time) time.Duration {
	text := h.Get("Retry-After")
	if s, err := strconv.Atoi(text); err == nil && s > 0 {
		return min(time.Duration(s)*time.Second, maxRetryAfter)
	}
	if at, err := http.ParseTime(text); err == nil {
		return min(max(at.Sub(now), 0), maxRetryAfter)
	}
	return 0
}

// backoff computes the pause before a retry: it doubles each time and is drawn from its upper half, so that many
// gateways do not retry at the same time.
type backoff struct{ pause time.Duration }

func (b *backoff) next(advised time.Duration) time.Duration {
	b.pause = min(max(2*b.pause, initialBackoff), maxBackoff)
	drawn := b.pause/2 + time.Duration(rand.Int64N(int64(b.pause/2)+1))
	if advised > 0 {
		return advised + time.Duration(rand.Int64N(int64(initialBackoff))) // jitter, again so that not all retry at once
	}
	return drawn
}

func (b *backoff) reset() { b.pause = 0 }

// exportReply is a collector's answer, which may say that some items were rejected.
type exportReply interface {
	proto.Message
	rejected() int64
}

// sender delivers the batches of one signal to the collector.
type sender struct {
	url      string
	headers  map[string]string
	client   *http.Client
	grpc     bool // gRPC instead of HTTP; url then names the method
	timeout  time.Duration
	queue    *queue
	reply    func() exportReply
	sent     atomic.Uint64 // items
	rejected atomic.Uint64 // items that the collector rejected
	failures atomic.Uint64 // failed deliveries
}

// newSender makes the sender of the signal whose path or method is target. NewReply makes an empty reply.
func newSender(set *Settings, target string, client *http.Client, newReply func() exportReply) *sender {
	return &sender{
		url:     set.Endpoint + target,
		headers: set.Headers,
		client:  client,
		grpc:    set.GRPC,
		timeout: set.Timeout,
		queue:   newQueue(set.QueueBytes),
		reply:   newReply,
	}
}

// run delivers batches until ctx ends; drain delivers what is left.
func (s *sender) run(ctx context.Context) {
	var pause backoff
	for {
		b, ok := s.queue.take()
		if !ok {
			select {
			case <-ctx.Done():
				return
			case <-s.queue.wake:
				continue
			}
		}
		v, advised := s.send(ctx, b)
		switch v {
		case delivered:
			pause.reset()
			continue
		case permanentFailure:
			continue
		}
		s.queue.requeue(b)
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause.next(advised)):
		}
	}
}

// drain tries to deliver each remaining batch once, until ctx ends, and drops the rest.
func (s *sender) drain(ctx context.Context) {
	for ctx.Err() == nil {
		b, ok := s.queue.take()
		if !ok {
			return
		}
		if v, _ := s.send(ctx, b); v == retryable {
			s.queue.countDropped(b.items)
		}
	}
	s.queue.clear()
}

// send makes one delivery and counts its result. A retryable batch is left to the caller.
func (s *sender) send(ctx context.Context, b batch) (v deliveryResult, advised time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	var body []byte
	if s.grpc {
		v, advised, body = s.sendGRPC(ctx, b.body)
	} else {
		var status int
		var header http.Header
		var err error
		status, header, body, err = s.sendHTTP(ctx, b.body)
		v, advised = classifyHTTPStatus(status, err), retryAfter(header, time.Now())
	}
	switch v {
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
	return v, advised
}

// rejectedItems returns how many items of an accepted batch the collector rejected, by its reply. A malformed reply
// counts as none.
func (s *sender) rejectedItems(body []byte, items int) uint64 {
	r := s.reply()
	if proto.Unmarshal(body, r) != nil {
		return 0
	}
	return uint64(min(max(r.rejected(), 0), int64(items)))
}

// sendHTTP makes one delivery over HTTP and returns the reply's status, headers and body.
func (s *sender) sendHTTP(ctx context.Context, body []byte) (status int, h http.Header, reply []byte, err error) {
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
	reply, err = io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes+1))
	if len(reply) > maxReplyBytes {
		return resp.StatusCode, resp.Header, nil, nil // the status is valid, the oversized body is ignored
	}
	if err != nil && resp.StatusCode < 300 {
		return 0, resp.Header, nil, fmt.Errorf("reply: %w", err)
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return 0, resp.Header, nil, err
	}
	return resp.StatusCode, resp.Header, reply, nil
}
