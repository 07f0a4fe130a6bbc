// Package peertls builds the TLS configurations for connections between nodes.
// It uses mutual TLS: both sides present a certificate signed by the cluster's
// CA, and a peer without one is rejected during the handshake.
package peertls

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/primrosemoor/primrosemoor/fault"
	"github.com/primrosemoor/primrosemoor/schema"
)

// Configs contains the server and client configurations of one node. Both are
// nil if the settings specify no certificate.
type Configs struct {
	// Server is for accepting connections from peers. Client is for dialing them;
	// the dialer sets ServerName to the peer's IP, which the peer's certificate
	// must list.
	Server *tls.Config
	Client *tls.Config
}

// Load reads the PEM files specified in the settings: the certificate and key of
// this node, and the CA that signed all nodes' certificates. Either all three
// files or none must be specified. Errors are of kind bad-request.
func Load(settings *schema.PeerSettings) (Configs, error) {
	files := []string{settings.GetTlsCertificateFile(), settings.GetTlsKeyFile(), settings.GetTlsCaFile()}
	switch countNonEmpty(files) {
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

func countNonEmpty(files []string) int {
	n := 0
	for _, file := range files {
		if file != "" {
			n++
		}
	}
	return n
}

func load(certificateFile, keyFile, caFile string) (Configs, error) {
	certificate, err := tls.LoadX509KeyPair(certificateFile, keyFile)
	if err != nil {
		return Configs{}, fault.Wrap(schema.ErrorKind_ERROR_KIND_BAD_REQUEST, err,
			"peer.tls_certificate_file and peer.tls_key_file cannot be loaded",
			"name a certificate and its key in PEM that this process may read")
	}
	caPool, err := loadCAPool(caFile)
	if err != nil {
		return Configs{}, err
	}
	return Configs{
		Server: &tls.Config{
			MinVersion:   tls.VersionTLS13,
			Certificates: []tls.Certificate{certificate},
			ClientAuth:   tls.RequireAndVerifyClientCert,
			ClientCAs:    caPool,
		},
		Client: &tls.Config{
			MinVersion:   tls.VersionTLS13,
			Certificates: []tls.Certificate{certificate},
			RootCAs:      caPool,
		},
	}, nil
}

func loadCAPool(file string) (*x509.CertPool, error) {
	pemData, err := os.ReadFile(file)
	if err != nil {
		return nil, fault.Wrap(schema.ErrorKind_ERROR_KIND_BAD_REQUEST, err,
			"peer.tls_ca_file cannot be read", "name a PEM file that this process may read")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pemData) {
		return nil, fault.New(schema.ErrorKind_ERROR_KIND_BAD_REQUEST,
			"peer.tls_ca_file holds no certificate", "name a PEM file with the cluster's CA")
	}
	return pool, nil
}
