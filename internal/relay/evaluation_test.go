package relay

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/core/backends"
	"oleandershunt.example/oleandershunt/internal/core/poison"
)

// Guards against crashes that are never evaluated because entries of servers keep arriving and
// restart the wait each time.
func TestCrashesAreEvaluatedWhileProcessesAreObserved(t *testing.T) {
	g := NewWithT(t)
	h := &Handler{Options: Options{Log: logr.Discard()}, suspects: newPoisonSuspects()}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = h.RunPoisonDetection(ctx) }()
	crashed := backends.Server{ID: "s1@1", Address: "10.0.0.1:1"}
	body := poison.Body{Account: "a", Pipeline: "p", Hash: 7}
	h.suspects.recordLoss(body, crashed, 0, 1)
	h.ObserveProcess(backends.Server{ID: "s1@2", Address: crashed.Address}) // proves the crash
	go func() {
		for i := 0; ctx.Err() == nil; i++ {
			h.ObserveProcess(backends.Server{ID: fmt.Sprint("other@", i), Address: "10.0.0.2:1"})
			time.Sleep(evaluateInterval / 10)
		}
	}()
	proven := func() bool {
		for _, finding := range h.TakeFindings() {
			if !finding.Suspected {
				return true
			}
		}
		return false
	}
	g.Eventually(proven, "5s").Should(BeTrue())
}
