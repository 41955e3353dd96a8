package peer_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/peer"
)

// authority signs certificates for the tests.
type authority struct {
	*WithT
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
	text string
}

func newAuthority(t *testing.T) *authority {
	a := &authority{WithT: NewWithT(t)}
	a.key = a.newKey()
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &a.key.PublicKey, a.key)
	a.Expect(err).NotTo(HaveOccurred())
	a.cert, err = x509.ParseCertificate(der)
	a.Expect(err).NotTo(HaveOccurred())
	a.text = string(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}))
	return a
}

func (a *authority) newKey() *ecdsa.PrivateKey {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	a.Expect(err).NotTo(HaveOccurred())
	return key
}

// issue issues a certificate for a VM's host name.
func (a *authority) issue(host string, serial int64) peer.KeySource {
	key := a.newKey()
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: host}, DNSNames: []string{host},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Duration(serial) * time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	a.Expect(err).NotTo(HaveOccurred())
	keyDER, err := x509.MarshalECPrivateKey(key)
	a.Expect(err).NotTo(HaveOccurred())
	return peer.KeySource{
		Certificate: string(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})),
		Key:         string(pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER})),
		Authority:   a.text,
	}
}

// endpoint is a VM that answers calls with the name of the caller and the protocol.
type endpoint struct {
	*WithT
	address  string
	keys     *peer.Keys
	mu       sync.Mutex
	rejected []error
}

func serve(t *testing.T, self peer.Identity, source peer.KeySource) *endpoint {
	e := &endpoint{WithT: NewWithT(t), keys: loadKeys(t, source)}
	server := peer.NewServer(self, e.keys, func(_, _ string, err error) {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.rejected = append(e.rejected, err)
	})
	server.Handle("/hello", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, r.Header.Get(peer.HeaderFrom)+" over "+r.Proto)
	}))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	e.Expect(err).NotTo(HaveOccurred())
	e.address = listener.Addr().String()
	httpServer := server.HTTPServer()
	go func() { _ = httpServer.Serve(server.Listener(listener)) }()
	t.Cleanup(func() { _ = httpServer.Close() })
	return e
}

func loadKeys(t *testing.T, source peer.KeySource) *peer.Keys {
	if !source.Set() {
		return nil
	}
	keys, err := peer.NewKeys(source)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return keys
}

// call calls the endpoint's address, which the caller's directory has under name.
func (e *endpoint) call(t *testing.T, self peer.Identity, source peer.KeySource, name string) (string, error) {
	directory := peer.NewDirectory()
	directory.Put(peer.Member{Name: name, Address: e.address})
	dialer := peer.NewDialer(directory, self, loadKeys(t, source))
	defer dialer.Close()
	client, url, err := dialer.Endpoint(name)
	e.Expect(err).NotTo(HaveOccurred())
	response, err := client.Get(url + "/hello")
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if response.StatusCode != http.StatusOK {
		return string(body), peer.ErrNotAuthentic
	}
	return string(body), err
}

var (
	vm1 = peer.Identity{Name: "vm-1", Deployment: "kademe"}
	vm2 = peer.Identity{Name: "vm-2", Deployment: "kademe"}
)

func TestCallsBetweenVMsAreHTTP2WithAndWithoutKeys(t *testing.T) {
	a := newAuthority(t)
	for _, source := range []func(host string) peer.KeySource{
		func(host string) peer.KeySource { return a.issue(host, 1) },
		func(string) peer.KeySource { return peer.KeySource{} },
	} {
		e := serve(t, vm1, source(vm1.Host()))
		e.Expect(e.call(t, vm2, source(vm2.Host()), "vm-1")).To(Equal("vm-2 over HTTP/2.0"))
	}
}

// An address is reused by a VM of another name or deployment, and a caller with a
// stale directory entry calls it. If the address alone were trusted, the caller
// would get another VM's answers, or two deployments would mix their states.
func TestVMOfAnotherNameOrDeploymentIsRejected(t *testing.T) {
	a, foreign := newAuthority(t), newAuthority(t)
	other := peer.Identity{Name: "vm-2", Deployment: "krishijot"}
	plain := serve(t, vm1, peer.KeySource{})
	secured := serve(t, vm1, a.issue(vm1.Host(), 1))
	cases := map[string]struct {
		server *endpoint
		caller peer.Identity
		source peer.KeySource
		name   string
	}{
		"wrong name":                        {plain, vm2, peer.KeySource{}, "vm-3"},
		"wrong deployment":                  {plain, other, peer.KeySource{}, "vm-1"},
		"wrong name, keys":                  {secured, vm2, a.issue(vm2.Host(), 1), "vm-3"},
		"wrong deployment, keys":            {secured, other, a.issue(other.Host(), 1), "vm-1"},
		"certificate of another VM":         {secured, vm2, a.issue("vm-9.kademe", 1), "vm-1"},
		"certificate of another deployment": {secured, vm2, a.issue("vm-2.krishijot", 1), "vm-1"},
		"another authority":                 {secured, vm2, foreign.issue(vm2.Host(), 1), "vm-1"},
		"no keys":                           {secured, vm2, peer.KeySource{}, "vm-1"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			answer, err := c.server.call(t, c.caller, c.source, c.name)
			NewWithT(t).Expect(err).To(HaveOccurred(), answer)
		})
	}
	plain.Expect(plain.rejected).To(ConsistOf(MatchError(peer.ErrOtherDeployment), MatchError(peer.ErrWrongName)))
}

// Certificates are renewed by replacing files while the process runs; for a moment
// the certificate and the key don't match. Without a reload the VMs would lose
// contact when the old certificates expire; a mismatched pair must not be used.
func TestKeysAreReloadedWithoutRestart(t *testing.T) {
	g := NewWithT(t)
	a := newAuthority(t)
	dir := t.TempDir()
	source := peer.KeySource{
		Certificate: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem"), Authority: filepath.Join(dir, "ca.pem"),
	}
	write := func(file, text string) { g.Expect(os.WriteFile(file, []byte(text), 0o600)).To(Succeed()) }
	before, after := a.issue(vm1.Host(), 1), a.issue(vm1.Host(), 2)
	write(source.Certificate, before.Certificate)
	write(source.Key, before.Key)
	write(source.Authority, a.text)
	e := serve(t, vm1, source)
	expiry := e.keys.Expiry()
	write(source.Certificate, after.Certificate)
	_, err := e.keys.Reload(source)
	g.Expect(err).To(MatchError(peer.ErrBadKeys))
	g.Expect(e.keys.Expiry()).To(Equal(expiry), "the current pair must stay in use")
	g.Expect(e.call(t, vm2, a.issue(vm2.Host(), 1), "vm-1")).To(HavePrefix("vm-2"))
	write(source.Key, after.Key)
	g.Expect(e.keys.Reload(source)).To(BeTrue())
	g.Expect(e.keys.Expiry()).To(BeTemporally(">", expiry))
	g.Expect(e.call(t, vm2, a.issue(vm2.Host(), 1), "vm-1")).To(HavePrefix("vm-2"))
	g.Expect(e.keys.Reload(source)).To(BeFalse(), "the keys have not changed")
}
