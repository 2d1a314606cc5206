// Package pki is a site's own certificate authority. It issues short-lived certificates that state the holder's name
// and role, and loads them into the TLS configurations of servers and clients, for mutual TLS between elderctl, agents
// and voters. It uses the standard library's cryptography alone.
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

// Role is the set of permissions of a certificate's holder.
type Role string

// The roles in ascending order: each has all permissions of the previous one.
const (
	Viewer   Role = "viewer"   // read the site's state
	Operator Role = "operator" // change the site
	Agent    Role = "agent"    // act as agent or voter, and forward requests on behalf of operators
)

// Roles returns all roles in ascending order.
func Roles() []Role { return []Role{Viewer, Operator, Agent} }

// Covers reports whether the role has all permissions of the needed one. Unknown roles cover nothing and are not
// covered.
func (r Role) Covers(needed Role) bool {
	have, want := slices.Index(Roles(), r), slices.Index(Roles(), needed)
	return have >= want && want >= 0
}

const (
	caCertFile      = "ca.pem"
	caKeyFile       = "ca-key.pem"
	caValidityYears = 10
	clockSkew       = 5 * time.Minute // tolerated clock difference between machines of the site
	keyFileMode     = 0o600
	certFileMode    = 0o644
	// agentDNSName is the DNS name in every agent's certificate. Clients verify it instead of the address, so an agent
	// can be reached at any address.
	agentDNSName    = "agent.elderyard"
	maxValidityDays = 825
)

// Init creates an authority in a directory. It returns an error if the directory contains one.
func Init(dir string) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return fmt.Errorf("authority: %w", err)
	}
	if _, err := os.Stat(filepath.Join(dir, caKeyFile)); !errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("%s: there is an authority already; a second one would make all its certificates void", filepath.Join(dir, caKeyFile))
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	now := time.Now()
	template := &x509.Certificate{Subject: pkix.Name{CommonName: "elderyard site authority"}, NotBefore: now.Add(-clockSkew), NotAfter: now.AddDate(caValidityYears, 0, 0),
		IsCA: true, BasicConstraintsValid: true, MaxPathLenZero: true, KeyUsage: x509.KeyUsageCertSign}
	return signAndWrite(dir, caCertFile, caKeyFile, template, template, key, key)
}

// Issue creates the certificate NAME.pem and its key NAME-key.pem in the authority's directory, valid for a number of
// days. It returns an error if the certificate exists; see Renew.
func Issue(dir, name string, role Role, days int) error {
	if _, err := os.Stat(filepath.Join(dir, name+".pem")); !errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("%s: is there already; renew it", filepath.Join(dir, name+".pem"))
	}
	return issueCertificate(dir, name, role, days)
}

// Renew replaces the key and the certificate of a name. The role stays that of the previous certificate.
func Renew(dir, name string, days int) error {
	old, err := readCertificate(filepath.Join(dir, name+".pem"))
	if err != nil {
		return err
	}
	_, role, err := Identity(old)
	if err != nil {
		return err
	}
	return issueCertificate(dir, name, role, days)
}

// issueCertificate signs a certificate for a new key, and writes both.
func issueCertificate(dir, name string, role Role, days int) error {
	if !slices.Contains(Roles(), role) {
		return fmt.Errorf("role %q is not known; roles are %v", role, Roles())
	}
	if days < 1 || days > maxValidityDays {
		return fmt.Errorf("%d days: from 1 to %d may be", days, maxValidityDays)
	}
	ca, err := readCertificate(filepath.Join(dir, caCertFile))
	if err != nil {
		return err
	}
	pair, err := tls.LoadX509KeyPair(filepath.Join(dir, caCertFile), filepath.Join(dir, caKeyFile))
	if err != nil {
		return fmt.Errorf("authority: %w", err)
	}
	signer, ok := pair.PrivateKey.(*ecdsa.PrivateKey)
	if !ok {
		return fmt.Errorf("authority: its key is no ECDSA key")
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	now := time.Now()
	template := &x509.Certificate{Subject: pkix.Name{CommonName: name, OrganizationalUnit: []string{string(role)}},
		NotBefore: now.Add(-clockSkew), NotAfter: now.AddDate(0, 0, days), KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}}
	if role == Agent {
		template.DNSNames = []string{agentDNSName}
		template.ExtKeyUsage = append(template.ExtKeyUsage, x509.ExtKeyUsageServerAuth)
	}
	return signAndWrite(dir, name+".pem", name+"-key.pem", template, ca, key, signer)
}

// signAndWrite signs a certificate for a key, and writes both.
func signAndWrite(dir, certFile, keyFile string, template, parent *x509.Certificate, key, signer *ecdsa.PrivateKey) error {
	var err error
	if template.SerialNumber, err = rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120)); err != nil {
		return err
	}
	cert, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	if err != nil {
		return err
	}
	encodedKey, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return err
	}
	// The key must be written first: the certificate's modification time triggers the reload. An agent that reads
	// between the two writes finds a key that does not match the certificate, and keeps the pair that it has loaded.
	if err := files.Replace(filepath.Join(dir, keyFile), pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: encodedKey}), keyFileMode); err != nil {
		return err
	}
	return files.Replace(filepath.Join(dir, certFile), pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: cert}), certFileMode)
}

// readCertificate reads a certificate in PEM encoding.
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

// Identity returns the name and role of a certificate's holder. It returns an error if the certificate has no name or
// no known role.
func Identity(certificate *x509.Certificate) (name string, role Role, err error) {
	if len(certificate.Subject.OrganizationalUnit) == 1 {
		role = Role(certificate.Subject.OrganizationalUnit[0])
	}
	if certificate.Subject.CommonName == "" || !slices.Contains(Roles(), role) {
		return "", "", fmt.Errorf("certificate of %q has the role %q, which is none", certificate.Subject.CommonName, role)
	}
	return certificate.Subject.CommonName, role, nil
}

// Files are the paths of the PEM files that a server or client of mutual TLS reads.
type Files struct{ CA, Cert, Key string }

// reloader loads a certificate and its key, and reloads them when the certificate's file has been replaced, as by a
// renewal. It is safe for concurrent use.
type reloader struct {
	files Files

	mu         sync.Mutex
	modifiedAt time.Time // modification time of the loaded certificate's file
	pair       *tls.Certificate
}

// certificate returns the current pair. If the files can't be read or don't match, it returns the pair that was loaded
// last, and an error if none was.
func (r *reloader) certificate() (*tls.Certificate, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	info, err := os.Stat(r.files.Cert)
	if err == nil && r.pair != nil && info.ModTime().Equal(r.modifiedAt) {
		return r.pair, nil
	}
	if err == nil {
		var pair tls.Certificate
		if pair, err = tls.LoadX509KeyPair(r.files.Cert, r.files.Key); err == nil {
			r.pair, r.modifiedAt = &pair, info.ModTime()
		}
	}
	if r.pair == nil {
		return nil, err
	}
	return r.pair, nil
}

// load loads the certificate, the key and the pool of the authority.
func (f Files) load() (*reloader, *x509.CertPool, error) {
	text, err := os.ReadFile(f.CA)
	if err != nil {
		return nil, nil, fmt.Errorf("authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, nil, fmt.Errorf("authority: %s holds no certificate", f.CA)
	}
	r := &reloader{files: f}
	if _, err := r.certificate(); err != nil {
		return nil, nil, fmt.Errorf("certificate: %w", err)
	}
	return r, pool, nil
}

// ServerConfig returns the TLS configuration of a server. It requires clients to have a certificate of the site's
// authority.
func (f Files) ServerConfig() (*tls.Config, error) {
	r, pool, err := f.load()
	if err != nil {
		return nil, err
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: pool,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return r.certificate() }}, nil
}

// ClientConfig returns the TLS configuration of a client. It requires the server to have an agent's certificate of the
// site's authority.
func (f Files) ClientConfig() (*tls.Config, error) {
	r, pool, err := f.load()
	if err != nil {
		return nil, err
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: pool, ServerName: agentDNSName,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return r.certificate() }}, nil
}
