package respfront

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"math/big"
	"net"
	"testing"
	"time"

	"github.com/redis/go-redis/v9"

	"linnetbend/internal/resp"
	"linnetbend/internal/testpeer"
)

// certificate makes one that signs itself.
func certificate(t *testing.T) (tls.Certificate, *x509.CertPool) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true,
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	parsed, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	pool := x509.NewCertPool()
	pool.AddCert(parsed)
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, pool
}

// Over TLS clients with the right certificate are served, one after another on a
// connection that rests between; others, and plain ones, get nothing.
func TestTLS(t *testing.T) {
	cert, pool := certificate(t)
	mine, theirs := certificate(t)
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
