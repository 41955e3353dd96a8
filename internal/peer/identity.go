package peer

import (
	"net/http"
	"strings"

	"github.com/rotisserie/eris"
)

// The headers by which a call between VMs says who calls whom.
const (
	HeaderDeployment = "Peer-Deployment"
	HeaderFrom       = "Peer-From"
	HeaderTo         = "Peer-To"
)

// The kinds of refusal between VMs.
var (
	// ErrOtherDeployment marks a call between VMs of different deployments.
	ErrOtherDeployment = eris.New("VM is of another deployment: correct vm.deployment or the address in peers.seeds")
	// ErrWrongName marks a call that reached another VM than it was meant for.
	ErrWrongName = eris.New("address belongs to another VM: the address was reused, wait for membership to spread")
	// ErrNotAuthentic marks a VM whose certificate does not show who it says it is.
	ErrNotAuthentic = eris.New("certificate does not name the VM: issue one for NAME.DEPLOYMENT by the deployment's authority")
)

// Identity is who a VM is to other VMs.
type Identity struct {
	Name       string
	Deployment string
}

// Host is the name under which the VM's certificate is issued and its URLs are written.
func (i Identity) Host() string { return i.Name + "." + i.Deployment }

// parseHost is the reverse of Host; names of VMs have no dots.
func parseHost(host string) Identity {
	name, deployment, _ := strings.Cut(host, ".")
	return Identity{Name: name, Deployment: deployment}
}

// sender marks every call with who calls whom.
type sender struct {
	self Identity
	to   string
	next http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (s sender) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set(HeaderDeployment, s.self.Deployment)
	r.Header.Set(HeaderFrom, s.self.Name)
	if s.to != "" {
		r.Header.Set(HeaderTo, s.to)
	}
	return s.next.RoundTrip(r)
}

// verify refuses calls that are not from the deployment or not meant for this
// VM. Without it a VM whose address was reused would be taken for the one that
// had it before, and two deployments could mix their states.
func (s *Server) verify(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := s.check(r); err != nil {
			s.refused(r.Header.Get(HeaderFrom), r.RemoteAddr, err)
			http.Error(w, err.Error(), http.StatusForbidden)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (s *Server) check(r *http.Request) error {
	from := Identity{Name: r.Header.Get(HeaderFrom), Deployment: r.Header.Get(HeaderDeployment)}
	if from.Deployment != s.self.Deployment {
		return eris.Wrapf(ErrOtherDeployment, "caller is of %q, this is %q", from.Deployment, s.self.Deployment)
	}
	if to := r.Header.Get(HeaderTo); to != "" && to != s.self.Name {
		return eris.Wrapf(ErrWrongName, "call is for %q, this is %q", to, s.self.Name)
	}
	if r.TLS != nil {
		return verifyName(r.TLS.PeerCertificates, from)
	}
	return nil
}
