// Package settings reads a VM's settings from TOML. Loading is strict: a key
// that is not known is an error, so a misspelt setting can't be silently ignored.
// The tags of the fields say each setting's key, unit and range; the file is
// checked by them, and docs/SETTINGS.md is made from them.
package settings

import (
	"fmt"
	"net/url"
	"os"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Settings are all settings of one VM's process.
type Settings struct {
	VM        VM        `toml:"vm"`
	Listen    Listen    `toml:"listen"`
	Platform  Platform  `toml:"platform"`
	Routing   Routing   `toml:"routing"`
	Requests  Requests  `toml:"requests"`
	Admission Admission `toml:"admission"`
	Poison    Poison    `toml:"poison"`
	Recording Recording `toml:"recording"`
	Peers     Peers     `toml:"peers"`
	Claims    Claims    `toml:"claims"`
	TLS       TLS       `toml:"tls"`
	Probe     Probe     `toml:"probe"`
	Drain     Drain     `toml:"drain"`
	Callers   Callers   `toml:"callers"`
	Engines   Engines   `toml:"engines"`
	Tracing   Tracing   `toml:"tracing"`

	// File is the path that the settings were read from. Empty if none.
	File string `toml:"-"`
}

// VM says which VM this is.
type VM struct {
	// Name is unique in the deployment.
	Name string `toml:"name" unit:"DNS label" example:"vm-1"`
	// DataCentre is where the VM stands.
	DataCentre string `toml:"data_centre" unit:"name" example:"bornova"`
	// Deployment keeps VMs of different deployments apart: they refuse each other's calls.
	Deployment string `toml:"deployment" unit:"DNS label"`
}

// Listen holds the addresses that the process listens on.
type Listen struct {
	// Callers is for the callers' requests.
	Callers string `toml:"callers" unit:"IP:port"`
	// Peers is for calls from other VMs.
	Peers string `toml:"peers" unit:"IP:port"`
	// Operations is for metrics and profiles.
	Operations string `toml:"operations" unit:"IP:port"`
}

// Platform says where the platform's object API is.
type Platform struct {
	// URL is the address of the API, as http://IP:port.
	URL string `toml:"url" unit:"URL" example:"http://10.0.0.1:80"`
}

// Requests bounds the requests in flight.
type Requests struct {
	// MaxAttempts bounds the dispatches of one request.
	MaxAttempts int `toml:"max_attempts" unit:"dispatches" range:"1..16"`
	// TokenSilence is how long a stream may be silent at most before the stages
	// of its path are asked and another path is tried. What is learned of the
	// servers shortens it.
	TokenSilence time.Duration `toml:"token_silence" unit:"duration" range:"1ms.."`
}

// defaultTokenSilence and the probe after it stay below a second.
const defaultTokenSilence = 700 * time.Millisecond

// ErrInvalid marks settings that can't be used.
var ErrInvalid = eris.New("settings are invalid: correct the file")

// Default returns the settings that a file starts from.
func Default() Settings {
	return Settings{
		Listen:    Listen{Callers: "127.0.0.1:8080", Operations: "127.0.0.1:8081", Peers: "127.0.0.1:8082"},
		Routing:   defaultRouting(),
		Requests:  Requests{MaxAttempts: 4, TokenSilence: defaultTokenSilence},
		Admission: defaultAdmission(),
		Poison:    defaultPoison(),
		Recording: defaultRecording(),
		Claims:    defaultClaims(),
		VM:        VM{Deployment: "oleandershunt"},
		Peers:     defaultPeers(),
		TLS:       defaultTLS(),
		Probe:     defaultProbe(),
		Drain:     defaultDrain(),
		Callers:   defaultCallers(),
		Engines:   defaultEngines(),
		Tracing:   defaultTracing(),
	}
}

// LoadFile reads and checks a settings file.
func LoadFile(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, eris.Wrap(err, "settings file can't be read: check the path")
	}
	settings, err := Parse(string(data))
	settings.File = path
	return settings, eris.Wrap(err, path)
}

// Parse reads and checks settings.
func Parse(text string) (Settings, error) {
	settings := Default()
	problems, err := decode(text, &settings)
	if err != nil {
		return Settings{}, fmt.Errorf("%w: it is not TOML: %w", ErrInvalid, err)
	}
	return settings, invalid(append(problems, settings.problems()...))
}

// Validate reports everything that is wrong with the settings at once.
func (s Settings) Validate() error { return invalid(s.problems()) }

// reporter takes what is wrong unless ok.
type reporter func(ok bool, key, what, remedy string)

func (s Settings) problems() []problem {
	problems := outOfRange("", reflect.ValueOf(s))
	report := func(ok bool, key, what, remedy string) {
		if !ok {
			problems = append(problems, problem{key, what, remedy})
		}
	}
	wellFormed := s.Platform.URL == "" || IsURL(s.Platform.URL)
	report(wellFormed, "platform.url", "is "+strconv.Quote(s.Platform.URL), "write http://IP:port")
	s.Routing.validate(report)
	s.Claims.validate(report)
	s.validateFleet(report)
	return problems
}

// IsURL tells whether text is the URL of a platform.
func IsURL(text string) bool {
	parsed, err := url.Parse(text)
	return err == nil && parsed.Host != "" && (parsed.Scheme == "http" || parsed.Scheme == "https")
}

// invalid makes one error of all problems, a line each, in order of their keys.
func invalid(problems []problem) error {
	if len(problems) == 0 {
		return nil
	}
	lines := make([]string, 0, len(problems))
	for _, p := range problems {
		lines = append(lines, "\n  "+p.String())
	}
	slices.Sort(lines)
	return fmt.Errorf("%w%s", ErrInvalid, strings.Join(lines, ""))
}
