package respfront

import (
	"context"
	"crypto/tls"
	"net"
	"testing"
	"time"

	"github.com/redis/go-redis/v9"

	"elderyard/internal/resp"
	"elderyard/internal/testpeer"
)

// Over TLS clients with the right certificate are served, one after another on a
// connection that rests between; others, and plain ones, get nothing.
func TestTLS(t *testing.T) {
	cert, pool := testpeer.Certificate(t)
	mine, theirs := testpeer.Certificate(t)
	r := newRig(t, Settings{TLS: &tls.Config{Certificates: []tls.Certificate{cert}, ClientCAs: theirs, ClientAuth: tls.RequireAndVerifyClientCert}})
	ctx := context.Background()
	good := redis.NewClient(&redis.Options{Addr: r.address, TLSConfig: &tls.Config{RootCAs: pool, Certificates: []tls.Certificate{mine}, ServerName: "127.0.0.1"}})
	defer good.Close()
	for range 20 {
		if err := good.Do(ctx, "LIMIT.TAKE", free, 1).Err(); err != nil {
			t.Fatal(err)
		}
	}
	bad := redis.NewClient(&redis.Options{Addr: r.address, MaxRetries: -1, TLSConfig: &tls.Config{RootCAs: pool, ServerName: "127.0.0.1"}})
	defer bad.Close()
	if err := bad.Ping(ctx).Err(); err == nil {
		t.Error("served without a certificate")
	}
	plain, err := net.Dial("tcp", r.address)
	if err != nil {
		t.Fatal(err)
	}
	defer plain.Close()
	plain.SetDeadline(time.Now().Add(testpeer.Patience))
	plain.Write([]byte("PING\r\n"))
	if v, err := resp.NewReader(plain, bounds).Reply(); err == nil && v.Str == "PONG" {
		t.Error("served without TLS")
	}
	if n := r.desk.stats.takes.Load(); n != 20 {
		t.Errorf("%d takes", n)
	}
}
