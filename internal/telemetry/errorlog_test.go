package telemetry_test

import (
	"strings"
	"testing"

	"github.com/go-logr/logr/funcr"
	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/telemetry"
)

// Guards against errors of HTTP servers that are text beside the numbered events, or flood the log.
func TestErrorsOfHTTPServersAreEvents(t *testing.T) {
	g := NewWithT(t)
	var logged []string
	errors := telemetry.ErrorLog(funcr.New(func(_, line string) { logged = append(logged, line) }, funcr.Options{}), "callers")
	for range 1000 {
		errors.Print("http: Accept error: too many open files")
	}
	g.Expect(len(logged)).To(And(BeNumerically(">", 0), BeNumerically("<", 100)))
	g.Expect(strings.Join(logged, "\n")).To(And(ContainSubstring(`"event"=1106`), ContainSubstring(`"server"="callers"`), ContainSubstring("too many open files")))
}
