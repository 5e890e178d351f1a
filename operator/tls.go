package operator

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
)

// loadTLS reads the three files of mutual TLS. All are required together.
func loadTLS(cert, key, ca string) (*tls.Config, error) {
	if cert == "" || key == "" || ca == "" {
		return nil, errors.New("--tls-cert, --tls-key and --tls-ca are required together")
	}
	pair, err := tls.LoadX509KeyPair(cert, key)
	if err != nil {
		return nil, fmt.Errorf("--tls-cert: %w", err)
	}
	pem, err := os.ReadFile(ca)
	if err != nil {
		return nil, fmt.Errorf("--tls-ca: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("--tls-ca: %s holds no certificate", ca)
	}
	return &tls.Config{Certificates: []tls.Certificate{pair}, RootCAs: pool, MinVersion: tls.VersionTLS13}, nil
}
