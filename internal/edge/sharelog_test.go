package edge

import (
	"fmt"
	"strings"
	"testing"

	"github.com/go-logr/logr/funcr"
	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/relay"
)

// Guards against a log line for each exchange while accounts near their share exceed it by turns.
func TestExceededSharesAreLoggedOnce(t *testing.T) {
	g := NewWithT(t)
	var lines []string
	log := funcr.New(func(_, args string) { lines = append(lines, args) }, funcr.Options{Verbosity: 9})
	var l shareLog
	a := relay.Exceeded{Service: "llm", Account: "a", PerSecond: 120.4}
	b := relay.Exceeded{Service: "llm", Account: "b", PerSecond: 60}
	for range 3 {
		l.record(log, map[string][]relay.Exceeded{"llm": {a}})
		l.record(log, map[string][]relay.Exceeded{"llm": {a, b}})
		l.record(log, nil)
	}
	g.Expect(lines).To(HaveLen(2))
	g.Expect(lines[0]).To(ContainSubstring("a=120"))
	g.Expect(lines[1]).To(And(ContainSubstring("b=60"), Not(ContainSubstring("a=120"))))
	for i := range 2 * shareLogEndRounds {
		l.record(log, map[string][]relay.Exceeded{"app": {{Service: "app", Account: fmt.Sprint(i % 2)}}})
	}
	ended := strings.Join(lines, "\n")
	g.Expect(strings.Count(ended, "4228")).To(Equal(4), ended)
	g.Expect(strings.Count(ended, "4229")).To(Equal(1), ended)
	g.Expect(l.services).To(HaveLen(1), "services are forgotten")
}
