package sockets

import (
	"crypto/x509"
	"fmt"
	"os"
)

// LoadCertPool returns the CA certificates of a PEM file.
func LoadCertPool(path string) (*x509.CertPool, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("ca: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, fmt.Errorf("ca: %s holds no certificate", path)
	}
	return pool, nil
}
