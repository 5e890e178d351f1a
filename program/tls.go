package program

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"os"

	"toucantiller.dev/link"
)

// TLSSettings are the certificate, key and CA files for mutual TLS between processes. Either
// all three are set or none.
type TLSSettings struct {
	Cert string `help:"Certificate of this process, PEM file." env:"TOUCAN_LINK_CERT" type:"path"`
	Key  string `help:"Private key of this process, PEM file." env:"TOUCAN_LINK_KEY" type:"path"`
	CA   string `help:"Certificate authority of the deployment, PEM file." env:"TOUCAN_LINK_CA" type:"path"`
}

// Check returns an error if only some of the files are set or one of them cannot be loaded.
func (t *TLSSettings) Check() error {
	set := 0
	for _, v := range []string{t.Cert, t.Key, t.CA} {
		if v != "" {
			set++
		}
	}
	if set != 0 && set != 3 {
		return &SettingError{Flag: "link-cert", Err: errors.New("--link-cert, --link-key and --link-ca are set together")}
	}
	if set == 0 {
		return nil
	}
	_, err := t.config()
	return err
}

// Network returns a TCP network, with mutual TLS if the files are set.
func (t *TLSSettings) Network() (link.Network, error) {
	if t.Cert == "" {
		return link.TCP{}, nil
	}
	cfg, err := t.config()
	if err != nil {
		return nil, err
	}
	return link.TLS{Inner: link.TCP{}, Config: cfg}, nil
}

func (t *TLSSettings) config() (*tls.Config, error) {
	cert, err := tls.LoadX509KeyPair(t.Cert, t.Key)
	if err != nil {
		return nil, &SettingError{Flag: "link-cert", Err: err}
	}
	pem, err := os.ReadFile(t.CA)
	if err != nil {
		return nil, &SettingError{Flag: "link-ca", Err: err}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, &SettingError{Flag: "link-ca", Err: errors.New("no certificate in the file")}
	}
	return &tls.Config{
		Certificates: []tls.Certificate{cert},
		RootCAs:      pool,
		ClientCAs:    pool,
		MinVersion:   tls.VersionTLS13,
	}, nil
}
