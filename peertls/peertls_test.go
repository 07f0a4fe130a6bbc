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

// authority signs node certificates in a directory of its own.
type authority struct {
	t           *testing.T
	dir         string
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	a := &authority{t: t, dir: t.TempDir()}
	a.certificate = &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "ca"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign}
	a.key = newKey(t)
	a.write("ca.pem", "CERTIFICATE", a.sign(a.certificate, &a.key.PublicKey))
	return a
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

func (a *authority) sign(certificate *x509.Certificate, public *ecdsa.PublicKey) []byte {
	raw, err := x509.CreateCertificate(rand.Reader, certificate, a.certificate, public, a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	return raw
}

func (a *authority) write(name, kind string, raw []byte) string {
	path := filepath.Join(a.dir, name)
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: raw}), 0o600); err != nil {
		a.t.Fatal(err)
	}
	return path
}

// node returns settings with a certificate that lists the IP.
func (a *authority) node(name, ip string) *schema.PeerSettings {
	key := newKey(a.t)
	raw, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	certificate := &x509.Certificate{SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.ParseIP(ip)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}}
	return &schema.PeerSettings{
		TlsCertificateFile: a.write(name+".pem", "CERTIFICATE", a.sign(certificate, &key.PublicKey)),
		TlsKeyFile:         a.write(name+".key", "EC PRIVATE KEY", raw),
		TlsCaFile:          filepath.Join(a.dir, "ca.pem"),
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

// call makes one call between two nodes with the given configurations.
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

func TestNodesOfOneAuthorityTalk(t *testing.T) {
	is := is.New(t)
	a := newAuthority(t)
	server, client := load(t, a.node("n1", "127.0.0.1")), load(t, a.node("n2", "127.0.0.2"))
	is.NoErr(call(t, server.Server, client.Client))
}

func TestPeerWithoutAnAcceptedCertificateIsRefused(t *testing.T) {
	a, other := newAuthority(t), newAuthority(t)
	server := load(t, a.node("n1", "127.0.0.1"))
	roots := server.Client.RootCAs
	stranger := load(t, other.node("n2", "127.0.0.2")).Client
	stranger.RootCAs = roots
	for name, client := range map[string]*tls.Config{
		"plain TCP":          nil,
		"no certificate":     {RootCAs: roots},
		"other authority":    stranger,
		"distrusting client": load(t, other.node("n3", "127.0.0.3")).Client,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			err := call(t, server.Server, client)
			is.Equal(fault.KindOf(err), schema.ErrorKind_ERROR_KIND_UNREACHABLE)
		})
	}
}

func TestServerWithAnotherAddressIsRefused(t *testing.T) {
	is := is.New(t)
	a := newAuthority(t)
	server, client := load(t, a.node("n1", "127.0.0.9")), load(t, a.node("n2", "127.0.0.2"))
	is.Equal(fault.KindOf(call(t, server.Server, client.Client)), schema.ErrorKind_ERROR_KIND_UNREACHABLE)
}

func TestBadFilesAreRefused(t *testing.T) {
	a := newAuthority(t)
	for name, change := range map[string]func(*schema.PeerSettings){
		"no key":          func(s *schema.PeerSettings) { s.TlsKeyFile = "" },
		"missing file":    func(s *schema.PeerSettings) { s.TlsCertificateFile += "x" },
		"key of another":  func(s *schema.PeerSettings) { s.TlsKeyFile = a.node("n9", "127.0.0.1").GetTlsKeyFile() },
		"CA without PEM":  func(s *schema.PeerSettings) { s.TlsCaFile = a.write("empty.pem", "NOTHING", nil) },
		"CA is not there": func(s *schema.PeerSettings) { s.TlsCaFile += "x" },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := a.node("n1", "127.0.0.1")
			change(s)
			_, err := peertls.Load(s)
			is.Equal(fault.KindOf(err), schema.ErrorKind_ERROR_KIND_BAD_REQUEST)
		})
	}
	is := is.New(t)
	is.Equal(load(t, &schema.PeerSettings{}), peertls.Configs{})
}
