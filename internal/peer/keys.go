package peer

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// ErrBadKeys is returned for keys that can't be used. The current keys stay in use.
var ErrBadKeys = eris.New("keys can't be used: give a certificate, its key and the authority's certificate as PEM")

// KeySource configures where the keys are loaded from. Each field is the path of
// a file or the PEM text itself.
type KeySource struct {
	Certificate string
	Key         string
	// Authority contains the CA certificates that must have signed the VMs'
	// certificates.
	Authority string
}

// Set reports whether keys are configured.
func (s KeySource) Set() bool { return s != (KeySource{}) }

// keySet is a set of keys with the PEM text that it was parsed from.
type keySet struct {
	text        [3][]byte
	certificate tls.Certificate
	authority   *x509.CertPool
}

// Keys holds the certificate, key and authority of a VM. They can be reloaded
// while connections are open; new connections use the newest ones. It is safe for
// concurrent use.
type Keys struct {
	mu       sync.RWMutex
	current  *keySet
	onReload []func()
}

// NewKeys loads keys. Errors wrap ErrBadKeys.
func NewKeys(source KeySource) (*Keys, error) {
	k := &Keys{}
	_, err := k.Reload(source)
	return k, err
}

// Reload loads the keys again and reports whether they changed. Errors wrap
// ErrBadKeys; the current keys then stay in use, so that a partly written file
// does not disconnect the VM.
func (k *Keys) Reload(source KeySource) (bool, error) {
	next, err := load(source)
	if err != nil {
		return false, err
	}
	k.mu.Lock()
	same := k.current != nil && slices.EqualFunc(k.current.text[:], next.text[:], bytes.Equal)
	hooks := k.onReload
	if !same {
		k.current = next
	}
	k.mu.Unlock()
	if same {
		return false, nil
	}
	for _, hook := range hooks {
		hook()
	}
	return true, nil
}

// OnReload registers a hook that is called after the keys have changed.
func (k *Keys) OnReload(hook func()) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.onReload = append(k.onReload, hook)
}

// Expiry returns the time at which the current certificate expires.
func (k *Keys) Expiry() time.Time { return k.currentKeys().certificate.Leaf.NotAfter }

func (k *Keys) currentKeys() *keySet {
	k.mu.RLock()
	defer k.mu.RUnlock()
	return k.current
}

func load(source KeySource) (*keySet, error) {
	next := &keySet{authority: x509.NewCertPool()}
	for i, value := range []string{source.Certificate, source.Key, source.Authority} {
		text, err := readPEM(value)
		if err != nil {
			return nil, eris.Wrap(ErrBadKeys, err.Error())
		}
		next.text[i] = text
	}
	var err error
	if next.certificate, err = tls.X509KeyPair(next.text[0], next.text[1]); err != nil {
		return nil, eris.Wrap(ErrBadKeys, err.Error())
	}
	if !next.authority.AppendCertsFromPEM(next.text[2]) {
		return nil, eris.Wrap(ErrBadKeys, "authority has no certificate")
	}
	return next, nil
}

func readPEM(value string) ([]byte, error) {
	if strings.Contains(value, "-----BEGIN ") {
		return []byte(value), nil
	}
	return os.ReadFile(value)
}

// serverConfig requires every caller to have a certificate signed by the
// deployment's authority. The name in it is verified for each call.
func (k *Keys) serverConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{"h2", "http/1.1"},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			current := k.currentKeys()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				NextProtos:   []string{"h2", "http/1.1"},
				Certificates: []tls.Certificate{current.certificate},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    current.authority,
			}, nil
		},
	}
}

// clientConfig requires the server to be the wanted VM, or any VM of the
// deployment if the name is empty. The standard host name verification can't
// express that, so VerifyConnection verifies the chain and the name, with the
// newest authority.
func (k *Keys) clientConfig(want Identity) *tls.Config {
	current := k.currentKeys()
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		NextProtos:         []string{"h2"},
		ServerName:         want.Host(),
		InsecureSkipVerify: true, // VerifyConnection verifies the certificate instead.
		Certificates:       []tls.Certificate{current.certificate},
		VerifyConnection: func(state tls.ConnectionState) error {
			if err := verifyChain(state.PeerCertificates, current.authority); err != nil {
				return err
			}
			return verifyName(state.PeerCertificates, want)
		},
	}
}

func verifyChain(chain []*x509.Certificate, authority *x509.CertPool) error {
	intermediates := x509.NewCertPool()
	for _, certificate := range chain[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := chain[0].Verify(x509.VerifyOptions{
		Roots:         authority,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	if err != nil {
		return eris.Wrap(ErrNotAuthentic, err.Error())
	}
	return nil
}

// verifyName verifies that a certificate was issued for the wanted VM, or for any
// VM of the wanted deployment if want has no name.
func verifyName(chain []*x509.Certificate, want Identity) error {
	if len(chain) == 0 {
		return eris.Wrap(ErrNotAuthentic, "no certificate")
	}
	for _, host := range chain[0].DNSNames {
		got := parseHost(host)
		if got.Deployment == want.Deployment && (want.Name == "" || got.Name == want.Name) {
			return nil
		}
	}
	return eris.Wrapf(ErrNotAuthentic, "certificate is for %v, want %q", chain[0].DNSNames, want.Host())
}
