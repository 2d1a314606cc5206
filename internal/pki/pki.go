// Package pki is a site's own certificate authority: it issues short-lived
// certificates that say who somebody is and in which role, and makes of them the
// two ends of mutual TLS between tool, agents and voters. All of it is the
// standard library's crypto.
package pki

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"math/big"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"elderyard/internal/files"
)

// Role is what somebody may do.
type Role string

// The roles, each with what the one before may.
const (
	Viewer   Role = "viewer"   // read
	Operator Role = "operator" // change the site
	Agent    Role = "agent"    // be an agent or a voter, and speak for operators that came to it
)

// Roles lists all.
func Roles() []Role { return []Role{Viewer, Operator, Agent} }

// Covers tells whether a role may do what another may.
func (r Role) Covers(need Role) bool {
	have, want := slices.Index(Roles(), r), slices.Index(Roles(), need)
	return have >= want && want >= 0
}

const (
	caFile   = "ca.pem"
	caKey    = "ca-key.pem"
	caYears  = 10
	skew     = 5 * time.Minute // by which clocks of the site may differ
	keyMode  = 0o600
	certMode = 0o644
	// peerName is what every agent's certificate says it is called, so that agents
	// may be reached at any address.
	peerName = "agent.elderyard"
	mostDays = 825
)

// Init founds an authority in a folder that has none.
func Init(dir string) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return fmt.Errorf("authority: %w", err)
	}
	if _, err := os.Stat(filepath.Join(dir, caKey)); !errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("%s: there is an authority already; a second one would make all its certificates void", filepath.Join(dir, caKey))
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	now := time.Now()
	template := &x509.Certificate{Subject: pkix.Name{CommonName: "elderyard site authority"}, NotBefore: now.Add(-skew), NotAfter: now.AddDate(caYears, 0, 0),
		IsCA: true, BasicConstraintsValid: true, MaxPathLenZero: true, KeyUsage: x509.KeyUsageCertSign}
	return write(dir, caFile, caKey, template, template, key, key)
}

// Issue makes NAME.pem and NAME-key.pem in the authority's folder, valid for so
// many days. A certificate of that name must not be there yet; see Renew.
func Issue(dir, name string, role Role, days int) error {
	if _, err := os.Stat(filepath.Join(dir, name+".pem")); !errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("%s: is there already; renew it", filepath.Join(dir, name+".pem"))
	}
	return issue(dir, name, role, days)
}

// Renew makes a new key and certificate for a name, in the role that it has.
func Renew(dir, name string, days int) error {
	old, err := readCertificate(filepath.Join(dir, name+".pem"))
	if err != nil {
		return err
	}
	_, role, err := Identity(old)
	if err != nil {
		return err
	}
	return issue(dir, name, role, days)
}

func issue(dir, name string, role Role, days int) error {
	if !slices.Contains(Roles(), role) {
		return fmt.Errorf("role %q is not known; roles are %v", role, Roles())
	}
	if days < 1 || days > mostDays {
		return fmt.Errorf("%d days: from 1 to %d may be", days, mostDays)
	}
	ca, err := readCertificate(filepath.Join(dir, caFile))
	if err != nil {
		return err
	}
	pair, err := tls.LoadX509KeyPair(filepath.Join(dir, caFile), filepath.Join(dir, caKey))
	if err != nil {
		return fmt.Errorf("authority: %w", err)
	}
	parent, is := pair.PrivateKey.(*ecdsa.PrivateKey)
	if !is {
		return fmt.Errorf("authority: its key is no ECDSA key")
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	now := time.Now()
	template := &x509.Certificate{Subject: pkix.Name{CommonName: name, OrganizationalUnit: []string{string(role)}},
		NotBefore: now.Add(-skew), NotAfter: now.AddDate(0, 0, days), KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}}
	if role == Agent {
		template.DNSNames = []string{peerName}
		template.ExtKeyUsage = append(template.ExtKeyUsage, x509.ExtKeyUsageServerAuth)
	}
	return write(dir, name+".pem", name+"-key.pem", template, ca, key, parent)
}

func write(dir, certFile, keyFile string, template, parent *x509.Certificate, key, signer *ecdsa.PrivateKey) error {
	var err error
	if template.SerialNumber, err = rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120)); err != nil {
		return err
	}
	cert, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	if err != nil {
		return err
	}
	secret, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return err
	}
	// The key goes first: an agent that reads between the two finds a pair that
	// does not fit, and keeps the one it has.
	if err := files.Replace(filepath.Join(dir, keyFile), pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: secret}), keyMode); err != nil {
		return err
	}
	return files.Replace(filepath.Join(dir, certFile), pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: cert}), certMode)
}

func readCertificate(path string) (*x509.Certificate, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	block, _ := pem.Decode(text)
	if block == nil || block.Type != "CERTIFICATE" {
		return nil, fmt.Errorf("%s: it holds no certificate", path)
	}
	cert, err := x509.ParseCertificate(block.Bytes)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return cert, nil
}

// Identity tells whose a certificate is, and in which role.
func Identity(c *x509.Certificate) (name string, role Role, err error) {
	if len(c.Subject.OrganizationalUnit) == 1 {
		role = Role(c.Subject.OrganizationalUnit[0])
	}
	if c.Subject.CommonName == "" || !slices.Contains(Roles(), role) {
		return "", "", fmt.Errorf("certificate of %q has the role %q, which is none", c.Subject.CommonName, role)
	}
	return c.Subject.CommonName, role, nil
}

// Files name what one end of mutual TLS reads.
type Files struct{ CA, Cert, Key string }

// source reads a pair of files again when they have been replaced, as after a
// renewal.
type source struct {
	files Files

	mu   sync.Mutex
	at   time.Time
	pair *tls.Certificate
}

func (s *source) get() (*tls.Certificate, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	info, err := os.Stat(s.files.Cert)
	if err == nil && s.pair != nil && info.ModTime().Equal(s.at) {
		return s.pair, nil
	}
	if err == nil {
		var pair tls.Certificate
		if pair, err = tls.LoadX509KeyPair(s.files.Cert, s.files.Key); err == nil {
			s.pair, s.at = &pair, info.ModTime()
		}
	}
	if s.pair == nil {
		return nil, err
	}
	return s.pair, nil // the one before holds until there is a good one
}

func (f Files) open() (*source, *x509.CertPool, error) {
	text, err := os.ReadFile(f.CA)
	if err != nil {
		return nil, nil, fmt.Errorf("authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, nil, fmt.Errorf("authority: %s holds no certificate", f.CA)
	}
	s := &source{files: f}
	if _, err := s.get(); err != nil {
		return nil, nil, fmt.Errorf("certificate: %w", err)
	}
	return s, pool, nil
}

// ServerConfig is the end that is called. Who calls must have a certificate of the
// site's authority.
func (f Files) ServerConfig() (*tls.Config, error) {
	s, pool, err := f.open()
	if err != nil {
		return nil, err
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: pool,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return s.get() }}, nil
}

// ClientConfig is the end that calls. Who is called must be an agent of the site.
func (f Files) ClientConfig() (*tls.Config, error) {
	s, pool, err := f.open()
	if err != nil {
		return nil, err
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: pool, ServerName: peerName,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return s.get() }}, nil
}
