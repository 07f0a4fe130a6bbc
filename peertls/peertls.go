// Package peertls builds the TLS configurations for links between nodes. Both
// sides present a certificate signed by the cluster's CA; a peer without one
// is refused during the handshake.
package peertls

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/primrosemoor/primrosemoor/fault"
	"github.com/primrosemoor/primrosemoor/schema"
)

// Configs is the pair of configurations of one node. Both fields are nil if
// the settings name no certificate.
type Configs struct {
	// Server accepts peers. Client dials them; the dialer sets ServerName to
	// the peer's IP, which the peer's certificate must list.
	Server *tls.Config
	Client *tls.Config
}

// Load reads the files that the settings name: certificate and key of this
// node and the CA that signed all nodes' certificates, in PEM. All three are
// named, or none is. Errors are of kind bad-request.
func Load(settings *schema.PeerSettings) (Configs, error) {
	files := []string{settings.GetTlsCertificateFile(), settings.GetTlsKeyFile(), settings.GetTlsCaFile()}
	switch countNamed(files) {
	case 0:
		return Configs{}, nil
	case len(files):
		return load(files[0], files[1], files[2])
	default:
		return Configs{}, fault.New(schema.ErrorKind_ERROR_KIND_BAD_REQUEST,
			"peer.tls_certificate_file, peer.tls_key_file and peer.tls_ca_file are named in part",
			"name all three, or none")
	}
}

func countNamed(files []string) int {
	named := 0
	for _, file := range files {
		if file != "" {
			named++
		}
	}
	return named
}

func load(certificateFile, keyFile, caFile string) (Configs, error) {
	certificate, err := tls.LoadX509KeyPair(certificateFile, keyFile)
	if err != nil {
		return Configs{}, fault.Wrap(schema.ErrorKind_ERROR_KIND_BAD_REQUEST, err,
			"peer.tls_certificate_file and peer.tls_key_file cannot be loaded",
			"name a certificate and its key in PEM that this process may read")
	}
	authorities, err := loadAuthorities(caFile)
	if err != nil {
		return Configs{}, err
	}
	return Configs{
		Server: &tls.Config{
			MinVersion:   tls.VersionTLS13,
			Certificates: []tls.Certificate{certificate},
			ClientAuth:   tls.RequireAndVerifyClientCert,
			ClientCAs:    authorities,
		},
		Client: &tls.Config{
			MinVersion:   tls.VersionTLS13,
			Certificates: []tls.Certificate{certificate},
			RootCAs:      authorities,
		},
	}, nil
}

func loadAuthorities(file string) (*x509.CertPool, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fault.Wrap(schema.ErrorKind_ERROR_KIND_BAD_REQUEST, err,
			"peer.tls_ca_file cannot be read", "name a PEM file that this process may read")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, fault.New(schema.ErrorKind_ERROR_KIND_BAD_REQUEST,
			"peer.tls_ca_file holds no certificate", "name a PEM file with the cluster's CA")
	}
	return pool, nil
}
