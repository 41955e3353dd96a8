package settings

import (
	"net/netip"
	"regexp"
	"strconv"
	"time"
)

// Peers says how the VMs talk to each other.
type Peers struct {
	// Seeds are addresses, host:port, of VMs to ask when the platform does not answer. Any
	// of them may be gone.
	Seeds []string `toml:"seeds" unit:"list of IP:port"`
	// Interval is the time between two rounds of gossip.
	Interval time.Duration `toml:"interval" unit:"duration" range:"100ms..10s"`
}

// TLS holds the keys for calls between VMs. When none is set the calls are not
// encrypted; otherwise all three are needed, each as a file's path or as PEM text.
type TLS struct {
	// Certificate is issued for the DNS name NAME.DEPLOYMENT of the VM.
	Certificate string `toml:"certificate" unit:"file or PEM"`
	// Key is the certificate's private key.
	Key string `toml:"key" unit:"file or PEM"`
	// Authority is the certificates that sign those of the deployment's VMs.
	Authority string `toml:"authority" unit:"file or PEM"`
	// Reload is how often the files, or this settings file where the text stands in it,
	// are read again.
	Reload time.Duration `toml:"reload" unit:"duration" range:"1ms.."`
	// WarnBefore is how long before its end a certificate is complained of.
	WarnBefore time.Duration `toml:"warn_before" unit:"duration" range:"0s.."`
}

// Probe says how backend servers are probed.
type Probe struct {
	// Interval is the time between two probes of a backend server by one VM, as long as
	// MaxPerSecond allows.
	Interval time.Duration `toml:"interval" unit:"duration" range:"1ms.."`
	// Timeout is how long an answer may take.
	Timeout time.Duration `toml:"timeout" unit:"duration" range:"1ms.."`
	// Observers is the number of VMs that probe each backend server.
	Observers int `toml:"observers" unit:"VMs" range:"1..9"`
	// MaxPerSecond bounds the probes of this VM.
	MaxPerSecond int `toml:"max_per_second" unit:"probes/s" range:"1..1000"`
}

// Drain says how a planned stop goes.
type Drain struct {
	// BalancerDelay is how long the VM goes on accepting after its health check has begun
	// to fail. Set it above the balancer's check interval times its failures.
	BalancerDelay time.Duration `toml:"balancer_delay" unit:"duration" range:"0s.."`
	// Deadline bounds the whole stop; what still runs then is told so and cut off. Set it
	// above the longest deadline of a pipeline.
	Deadline time.Duration `toml:"deadline" unit:"duration" range:"1ms.."`
}

// nameSyntax is that of a label in a DNS name, since certificates are issued for it.
var nameSyntax = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

func defaultPeers() Peers { return Peers{Interval: time.Second} }

func defaultTLS() TLS { return TLS{Reload: 30 * time.Second, WarnBefore: 14 * 24 * time.Hour} }

func defaultProbe() Probe {
	return Probe{Interval: time.Second, Timeout: time.Second, Observers: 3, MaxPerSecond: 8}
}

func defaultDrain() Drain {
	return Drain{BalancerDelay: 5 * time.Second, Deadline: 150 * time.Second}
}

// Set tells whether calls between VMs are to be encrypted.
func (t TLS) Set() bool { return t.Certificate != "" || t.Key != "" || t.Authority != "" }

func (s Settings) validateFleet(report reporter) {
	const label = "write it of a-z, 0-9 and -, at most 63 letters"
	report(s.VM.Name == "" || nameSyntax.MatchString(s.VM.Name), "vm.name", "is not a DNS label", label)
	report(nameSyntax.MatchString(s.VM.Deployment), "vm.deployment", "is not a DNS label", label)
	for _, seed := range s.Peers.Seeds {
		report(isAddress(seed), "peers.seeds", "has "+strconv.Quote(seed), "write IP:port")
	}
	for key, address := range map[string]string{"callers": s.Listen.Callers, "operations": s.Listen.Operations, "peers": s.Listen.Peers} {
		report(isAddress(address), "listen."+key, "is "+strconv.Quote(address), `write IP:port, such as "0.0.0.0:8080"`)
	}
	all := s.TLS.Certificate != "" && s.TLS.Key != "" && s.TLS.Authority != ""
	report(!s.TLS.Set() || all, "tls", "is set in part", "tls needs certificate, key and authority together")
	report(s.Drain.Deadline > s.Drain.BalancerDelay, "drain.deadline", "is not above drain.balancer_delay", "set it above")
}

// isAddress tells whether text is an IP number and a port.
func isAddress(text string) bool {
	_, err := netip.ParseAddrPort(text)
	return err == nil
}
