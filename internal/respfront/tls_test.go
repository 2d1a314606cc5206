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

// With TLS, a client with a valid certificate is served, also after its connection was
// idle. Clients without one and plain connections are not.
func TestTLS(t *testing.T) {
	cert, pool := testpeer.SelfSignedCertificate(t)
	clientCert, clientPool := testpeer.SelfSignedCertificate(t)
	r := newRig(t, Settings{TLS: &tls.Config{Certificates: []tls.Certificate{cert}, ClientCAs: clientPool, ClientAuth: tls.RequireAndVerifyClientCert}})
	ctx := context.Background()
	client := redis.NewClient(&redis.Options{Addr: r.address, TLSConfig: &tls.Config{RootCAs: pool, Certificates: []tls.Certificate{clientCert}, ServerName: "127.0.0.1"}})
	defer client.Close()
	for range 20 {
		if err := client.Do(ctx, "LIMIT.TAKE", free, 1).Err(); err != nil {
			t.Fatal(err)
		}
	}
	uncertified := redis.NewClient(&redis.Options{Addr: r.address, MaxRetries: -1, TLSConfig: &tls.Config{RootCAs: pool, ServerName: "127.0.0.1"}})
	defer uncertified.Close()
	if err := uncertified.Ping(ctx).Err(); err == nil {
		t.Error("served without a certificate")
	}
	plain, err := net.Dial("tcp", r.address)
	if err != nil {
		t.Fatal(err)
	}
	defer plain.Close()
	plain.SetDeadline(time.Now().Add(testpeer.Timeout))
	plain.Write([]byte("PING\r\n"))
	if v, err := resp.NewReader(plain, commandLimits).Reply(); err == nil && v.Str == "PONG" {
		t.Error("served without TLS")
	}
	if n := r.limiter.stats.takes.Load(); n != 20 {
		t.Errorf("%d takes, want 20", n)
	}
}
