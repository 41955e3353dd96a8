package api

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"regexp"
	"slices"
	"strings"
	"time"
)

// Bounds on lists. They keep one record from making a VM hold or do too much.
const (
	maxKeys   = 64
	maxListed = 256
)

// bound is the range of a number, both ends included.
type bound struct{ low, high float64 }

const (
	maxLayers    = 10_000
	secondsOfDay = 24 * 3600
)

// bounds gives the range of every number, by kind and v1 path. The published
// schemas are made from it too.
var bounds = map[Kind]map[string]bound{
	KindModel: {"layers": {1, maxLayers}},
	KindPipeline: {
		"deadlineSeconds": {0, secondsOfDay},
		"maxTokens":       {0, 1 << 20},
	},
	KindBackendServer: {
		"layers.from":     {0, maxLayers - 1},
		"layers.to":       {1, maxLayers},
		"tokensPerSecond": {0, 1e9},
	},
	KindRoute: {"timeoutSeconds": {0, secondsOfDay}},
	KindClientAccount: {
		"weight":            {0, 1e6},
		"requestsPerSecond": {0, 1e9},
		"burst":             {0, 1 << 20},
	},
}

// nameForm keeps names safe in paths, shells and tables.
var nameForm = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9._:-]{0,126}[A-Za-z0-9])?$`)

// methodForm is an HTTP method in capitals.
var methodForm = regexp.MustCompile(`^[A-Z]{1,16}$`)

// reservedPaths are served by the VMs themselves.
var reservedPaths = []string{"/v1/completions", "/v1/chat/completions", "/v1/models", "/healthz"}

// Validate reports everything that is wrong with a record by itself.
func Validate(document Document) Violations {
	spec, err := DecodeSpec(document)
	if err != nil {
		return Violations{FormViolation(document.Key(), err)}
	}
	return ValidateSpec(document, spec)
}

// FormViolation reports a record that can't be read.
func FormViolation(key string, err error) Violation {
	if errors.Is(err, ErrOversized) {
		return Violation{
			Rule: RuleSize, Record: key, Field: "record", Problem: "it is too large",
			Remedy: fmt.Sprintf("keep a record within %d bytes: shorten its lists", MaxRecordBytes),
		}
	}
	return Violation{
		Rule: RuleForm, Record: key, Field: "record",
		Problem: "it can't be read: " + err.Error(),
		Remedy:  "correct it after the examples in docs/RECORDS.md and apply it again",
	}
}

// ValidateSpec is Validate for a record whose spec has been decoded.
func ValidateSpec(document Document, spec Spec) Violations {
	c := &checker{header: document.Header}
	c.require(nameForm.MatchString(document.Name), "name", fmt.Sprintf("%q is not a name", document.Name),
		"use 1 to 128 letters, digits, dots, colons, dashes and underscores that start and end with a letter or digit")
	c.found = append(c.found, UnknownFields(document)...)
	switch s := spec.(type) {
	case *ModelSpec:
		c.model(s)
	case *PipelineSpec:
		c.pipeline(s)
	case *BackendServerSpec:
		c.backend(s)
	case *RouteSpec:
		c.route(s)
	case *ClientAccountSpec:
		c.account(s)
	}
	return c.found
}

// checker collects what is wrong with one record.
type checker struct {
	header Header
	found  Violations
}

func (c *checker) require(ok bool, field, problem, remedy string) {
	if ok {
		return
	}
	c.found = append(c.found, Violation{Rule: RuleValue, Record: c.header.Key(), Field: field, Problem: problem, Remedy: remedy})
}

// spec checks a field of the spec, given by its v1 path.
func (c *checker) spec(ok bool, field, problem, remedy string) {
	if !ok {
		c.require(ok, FieldPath(c.header, field), problem, remedy)
	}
}

// within checks a number against its bounds.
func (c *checker) within(field string, value float64) {
	b := bounds[c.header.Kind][field]
	if math.IsNaN(value) || value < b.low || value > b.high {
		c.spec(false, field, fmt.Sprintf("%g is out of range", value), fmt.Sprintf("use %.10g to %.10g", b.low, b.high))
	}
}

func (c *checker) length(field string, length, limit int) {
	if length > limit {
		c.spec(false, field, fmt.Sprintf("it has %d entries", length), fmt.Sprintf("list at most %d", limit))
	}
}

func (c *checker) model(s *ModelSpec) {
	c.within("layers", float64(s.Layers))
	c.spec(s.Version != "", "version", "it is missing", "name the version of the weights")
}

func (c *checker) pipeline(s *PipelineSpec) {
	c.spec(s.Model != "", "model", "it is missing", "name the Model record that answers")
	c.within("deadlineSeconds", float64(s.DeadlineSeconds))
	c.within("maxTokens", float64(s.MaxTokens))
}

func (c *checker) backend(s *BackendServerSpec) {
	address, err := netip.ParseAddrPort(s.Address)
	usable := err == nil && address.Port() != 0 && !address.Addr().IsUnspecified()
	c.spec(usable, "address", fmt.Sprintf("%q is not IP:port", s.Address),
		"write an IP number and a port, for example 10.1.2.3:8000 or [fd00::1]:8000; names are not looked up")
	c.spec(s.DataCentre != "", "dataCentre", "it is missing", "name the data centre where the server stands")
	c.spec((s.Model != "") != (s.Service != ""), "model", "exactly one of model and service must be set",
		"set model and layers for an engine, or service for a plain service")
	c.within("tokensPerSecond", s.TokensPerSecond)
	c.leaveBy(s)
	if s.Model == "" {
		c.spec(s.Layers == Layers{}, "layers", "a plain service holds no layers", "remove it")
		c.spec(s.ModelVersion == "", "modelVersion", "a plain service holds no model", "remove it")
		return
	}
	c.within("layers.from", float64(s.Layers.From))
	c.within("layers.to", float64(s.Layers.To))
	c.spec(s.Layers.To > s.Layers.From, "layers.to", fmt.Sprintf("%v is empty", s.Layers),
		"write the layer after the last one held, so that to is greater than from")
}

// leaveBy checks the deadline of a server that leaves. One that stays has none:
// a time left over from an earlier leave would be in force at the next.
func (c *checker) leaveBy(s *BackendServerSpec) {
	if s.LeaveBy == "" {
		return
	}
	_, err := time.Parse(time.RFC3339, s.LeaveBy)
	c.spec(err == nil, "leaveBy", fmt.Sprintf("%q is not a time", s.LeaveBy), "write it as RFC 3339 does, for example 2026-12-02T21:00:00Z")
	c.spec(s.Leaving, "leaveBy", "the server does not leave", "set leaving to true, or remove leaveBy")
}

func (c *checker) route(s *RouteSpec) {
	c.spec(strings.HasPrefix(s.PathPrefix, "/"), "pathPrefix", fmt.Sprintf("%q does not start with /", s.PathPrefix), "write a path such as /portal/")
	c.spec(!slices.ContainsFunc(reservedPaths, func(path string) bool { return strings.HasPrefix(s.PathPrefix, path) }),
		"pathPrefix", fmt.Sprintf("%q is served by the VMs themselves", s.PathPrefix), "use a path outside of "+strings.Join(reservedPaths, ", "))
	c.spec(!strings.ContainsAny(s.Host, "/: "), "host", fmt.Sprintf("%q is not a host name", s.Host), "write the host without scheme, port and path")
	c.spec(s.Service != "", "service", "it is missing", "name the plain service that answers")
	c.within("timeoutSeconds", float64(s.TimeoutSeconds))
	c.length("methods", len(s.Methods), maxListed)
	for i, method := range s.Methods {
		c.spec(methodForm.MatchString(method), fmt.Sprintf("methods[%d]", i), fmt.Sprintf("%q is not a method", method), "write it in capitals, for example GET")
	}
}

func (c *checker) account(s *ClientAccountSpec) {
	c.spec(len(s.KeySHA256) > 0, "keySHA256", "it is empty", "list the SHA-256 sum of at least one API key, in hex")
	c.length("keySHA256", len(s.KeySHA256), maxKeys)
	for i, sum := range s.KeySHA256 {
		c.keySum(s.KeySHA256[:i], sum)
	}
	c.length("pipelines", len(s.Pipelines), maxListed)
	c.within("weight", s.Weight)
	c.within("requestsPerSecond", s.RequestsPerSecond)
	c.within("burst", float64(s.Burst))
}

// keySum checks the sum of an API key that follows others.
func (c *checker) keySum(others []string, sum string) {
	raw, err := hex.DecodeString(sum)
	if err != nil || len(raw) != sha256.Size {
		c.spec(false, fmt.Sprintf("keySHA256[%d]", len(others)), "it is not a SHA-256 sum in hex", "write 64 hex digits: printf %s KEY | sha256sum")
	}
	if slices.ContainsFunc(others, func(other string) bool { return strings.EqualFold(sum, other) }) {
		c.spec(false, fmt.Sprintf("keySHA256[%d]", len(others)), "it is listed twice", "remove one")
	}
}

// FieldPath is where a field of a spec, given by its v1 path, stands in the
// schema version that the record is written in: what an operator is told must
// be found in what the operator wrote.
func FieldPath(header Header, field string) string {
	found, err := findSchema(header)
	if err != nil {
		return "spec." + field
	}
	for _, m := range found.moves {
		if rest, ok := strings.CutPrefix(field, m.field); ok && (rest == "" || rest[0] == '.' || rest[0] == '[') {
			return "spec." + strings.Join(m.path, ".") + rest
		}
	}
	return "spec." + field
}
