package peertls_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/fault"
	"github.com/primrosemoor/primrosemoor/peer"
	"github.com/primrosemoor/primrosemoor/peertls"
	"github.com/primrosemoor/primrosemoor/schema"
)

// testCA signs node certificates and stores them in a temporary directory.
type testCA struct {
	t           *testing.T
	dir         string
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newTestCA(t *testing.T) *testCA {
	ca := &testCA{t: t, dir: t.TempDir()}
	ca.certificate = &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "ca"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign}
	ca.key = newKey(t)
	ca.write("ca.pem", "CERTIFICATE", ca.sign(ca.certificate, &ca.key.PublicKey))
	return ca
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

func (ca *testCA) sign(certificate *x509.Certificate, public *ecdsa.PublicKey) []byte {
	raw, err := x509.CreateCertificate(rand.Reader, certificate, ca.certificate, public, ca.key)
	if err != nil {
		ca.t.Fatal(err)
	}
	return raw
}

func (ca *testCA) write(name, kind string, raw []byte) string {
	path := filepath.Join(ca.dir, name)
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: raw}), 0o600); err != nil {
		ca.t.Fatal(err)
	}
	return path
}

// nodeSettings returns the settings of a node whose certificate lists ip.
func (ca *testCA) nodeSettings(name, ip string) *schema.PeerSettings {
	key := newKey(ca.t)
	raw, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		ca.t.Fatal(err)
	}
	certificate := &x509.Certificate{SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.ParseIP(ip)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}}
	return &schema.PeerSettings{
		TlsCertificateFile: ca.write(name+".pem", "CERTIFICATE", ca.sign(certificate, &key.PublicKey)),
		TlsKeyFile:         ca.write(name+".key", "EC PRIVATE KEY", raw),
		TlsCaFile:          filepath.Join(ca.dir, "ca.pem"),
	}
}

func load(t *testing.T, s *schema.PeerSettings) peertls.Configs {
	t.Helper()
	configs, err := peertls.Load(s)
	if err != nil {
		t.Fatal(err)
	}
	return configs
}

// call makes one call between two nodes with the given TLS configurations.
func call(t *testing.T, server, client *tls.Config) error {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := peer.NewServer(peer.Identity{Cluster: "c", Node: "server"}, peer.NopMeter{}, server)
	peer.Handle(s, schema.Method_METHOD_STATUS, func() *schema.StatusRequest { return &schema.StatusRequest{} },
		func(_ context.Context, _ peer.Identity, _ *schema.StatusRequest) (*schema.StatusReply, error) {
			return &schema.StatusReply{Node: "server"}, nil
		})
	go func() { _ = s.Serve(listener) }()
	defer s.Close()
	pool := peer.NewPool(peer.PoolOptions{Identity: peer.Identity{Cluster: "c", Node: "client"}, Meter: peer.NopMeter{},
		TLS: client, DialTimeout: time.Second, CallTimeout: 5 * time.Second})
	defer pool.Close()
	return pool.Call(t.Context(), listener.Addr().String(), schema.Method_METHOD_STATUS,
		&schema.StatusRequest{}, &schema.StatusReply{})
}

func TestNodesOfOneCAConnect(t *testing.T) {
	is := is.New(t)
	ca := newTestCA(t)
	server, client := load(t, ca.nodeSettings("n1", "127.0.0.1")), load(t, ca.nodeSettings("n2", "127.0.0.2"))
	is.NoErr(call(t, server.Server, client.Client))
}

func TestPeerWithoutATrustedCertificateIsRejected(t *testing.T) {
	ca, other := newTestCA(t), newTestCA(t)
	server := load(t, ca.nodeSettings("n1", "127.0.0.1"))
	roots := server.Client.RootCAs
	untrusted := load(t, other.nodeSettings("n2", "127.0.0.2")).Client
	untrusted.RootCAs = roots
	for name, client := range map[string]*tls.Config{
		"plain TCP":                     nil,
		"no certificate":                {RootCAs: roots},
		"certificate of another CA":     untrusted,
		"client that trusts another CA": load(t, other.nodeSettings("n3", "127.0.0.3")).Client,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			err := call(t, server.Server, client)
			is.Equal(fault.KindOf(err), schema.ErrorKind_ERROR_KIND_UNREACHABLE)
		})
	}
}

func TestServerCertificateForAnotherAddressIsRejected(t *testing.T) {
	is := is.New(t)
	ca := newTestCA(t)
	server, client := load(t, ca.nodeSettings("n1", "127.0.0.9")), load(t, ca.nodeSettings("n2", "127.0.0.2"))
	is.Equal(fault.KindOf(call(t, server.Server, client.Client)), schema.ErrorKind_ERROR_KIND_UNREACHABLE)
}

func TestInvalidFilesAreRejected(t *testing.T) {
	ca := newTestCA(t)
	for name, modify := range map[string]func(*schema.PeerSettings){
		"no key":              func(s *schema.PeerSettings) { s.TlsKeyFile = "" },
		"missing file":        func(s *schema.PeerSettings) { s.TlsCertificateFile += "x" },
		"key of another node": func(s *schema.PeerSettings) { s.TlsKeyFile = ca.nodeSettings("n9", "127.0.0.1").GetTlsKeyFile() },
		"CA without PEM":      func(s *schema.PeerSettings) { s.TlsCaFile = ca.write("empty.pem", "NOTHING", nil) },
		"missing CA file":     func(s *schema.PeerSettings) { s.TlsCaFile += "x" },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := ca.nodeSettings("n1", "127.0.0.1")
			modify(s)
			_, err := peertls.Load(s)
			is.Equal(fault.KindOf(err), schema.ErrorKind_ERROR_KIND_BAD_REQUEST)
		})
	}
	is := is.New(t)
	is.Equal(load(t, &schema.PeerSettings{}), peertls.Configs{})
}
