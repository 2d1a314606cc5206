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

// The way to the collector, as the specification of OTLP/HTTP has it:
// https://opentelemetry.io/docs/specs/otlp/.
const (
	firstPause = 500 * time.Millisecond
	mostPause  = 30 * time.Second
	mostAdvice = time.Minute // of a Retry-After
	mostReply  = 64 << 10    // bytes
)

// verdict is what became of a sending.
type verdict int

const (
	delivered verdict = iota
	again             // it may be sent again
	final             // it may not
)

// judge tells what an answer means: 429, 502, 503 and 504 may be sent again, as may
// what had no answer; every other status is final.
func judge(status int, err error) verdict {
	switch {
	case err != nil:
		return again
	case status >= 200 && status < 300:
		return delivered
	case status == http.StatusTooManyRequests || status == http.StatusBadGateway ||
		status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout:
		return again
	}
	return final
}

// advice reads a Retry-After, in seconds or as a date.
func advice(h http.Header, now time.Time) time.Duration {
	text := h.Get("Retry-After")
	if s, err := strconv.Atoi(text); err == nil && s > 0 {
		return min(time.Duration(s)*time.Second, mostAdvice)
	}
	if at, err := http.ParseTime(text); err == nil {
		return min(max(at.Sub(now), 0), mostAdvice)
	}
	return 0
}

// backoff is the pause before a batch is sent again: doubled each time, drawn from
// its upper half, so that many gateways do not come back together.
type backoff struct{ pause time.Duration }

func (b *backoff) next(advised time.Duration) time.Duration {
	b.pause = min(max(2*b.pause, firstPause), mostPause)
	drawn := b.pause/2 + time.Duration(rand.Int64N(int64(b.pause/2)+1))
	if advised > 0 {
		return advised + time.Duration(rand.Int64N(int64(firstPause))) // not all at once then, either
	}
	return drawn
}

func (b *backoff) reset() { b.pause = 0 }

// partial is an answer that may say that not all was taken.
type partial interface {
	proto.Message
	rejected() int64
}

// sender brings the batches of one signal to the collector.
type sender struct {
	url      string
	headers  map[string]string
	client   *http.Client
	grpc     bool // the url is a method's, and the call gRPC's
	timeout  time.Duration
	queue    *queue
	reply    func() partial
	sent     atomic.Uint64 // items
	rejected atomic.Uint64 // items that the collector would not take
	failures atomic.Uint64 // sendings without success
}

// run sends until ctx ends; what waits then is drain's matter.
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
		case final:
			continue
		}
		s.queue.putBack(b)
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause.next(advised)):
		}
	}
}

// drain sends what is left until ctx ends, each batch once, and drops the rest.
func (s *sender) drain(ctx context.Context) {
	for ctx.Err() == nil {
		b, ok := s.queue.take()
		if !ok {
			return
		}
		if v, _ := s.send(ctx, b); v == again {
			s.queue.lose(b.items)
		}
	}
	s.queue.clear()
}

// send makes one sending, and books it unless it may be made again.
func (s *sender) send(ctx context.Context, b batch) (v verdict, advised time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	var body []byte
	if s.grpc {
		v, advised, body = s.call(ctx, b.body)
	} else {
		var status int
		var header http.Header
		var err error
		status, header, body, err = s.post(ctx, b.body)
		v, advised = judge(status, err), advice(header, time.Now())
	}
	switch v {
	case delivered:
		lost := s.refusedOf(body, b.items)
		s.rejected.Add(lost)
		s.sent.Add(uint64(b.items) - lost)
	case again:
		s.failures.Add(1)
	case final:
		s.failures.Add(1)
		s.rejected.Add(uint64(b.items))
	}
	return v, advised
}

// refusedOf reads how many items of a batch that was taken were refused all the
// same. A reply that can't be read refuses none.
func (s *sender) refusedOf(body []byte, items int) uint64 {
	r := s.reply()
	if proto.Unmarshal(body, r) != nil {
		return 0
	}
	return uint64(min(max(r.rejected(), 0), int64(items)))
}

func (s *sender) post(ctx context.Context, body []byte) (status int, h http.Header, reply []byte, err error) {
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
	reply, err = io.ReadAll(io.LimitReader(resp.Body, mostReply+1))
	if len(reply) > mostReply {
		return resp.StatusCode, resp.Header, nil, nil // its status stands; the rest of it is nobody's matter
	}
	if err != nil && resp.StatusCode < 300 {
		return 0, resp.Header, nil, fmt.Errorf("reply: %w", err)
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return 0, resp.Header, nil, err
	}
	return resp.StatusCode, resp.Header, reply, nil
}
