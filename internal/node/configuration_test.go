package node

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/core"
	"oleandershunt.example/oleandershunt/internal/core/config"
	"oleandershunt.example/oleandershunt/internal/entry"
	"oleandershunt.example/oleandershunt/internal/loop"
	"oleandershunt.example/oleandershunt/internal/peer"
	"oleandershunt.example/oleandershunt/internal/placement"
)

// Guards against a VM that is ready for callers and refuses them for want of a configuration: the
// health check must not succeed before the configuration is among the core's events.
func TestVMIsReadyOnceTheCoreHasTheConfiguration(t *testing.T) {
	g := gomega.NewWithT(t)
	self := peer.Member{Name: "vm-1", DataCentre: "a"}
	c := &components{self: self, directory: peer.NewDirectory(), loop: loop.New(core.New(core.Options{VM: "vm-1", DataCentre: "a"}))}
	c.entry = entry.New(entry.Limits{}, c.loop, nil, nil, nil)
	c.placement = placement.New(logr.Discard(), self, nil, nil, c.directory, func() time.Duration { return 0 })
	health := func() int {
		answer := httptest.NewRecorder()
		c.entry.Handler().ServeHTTP(answer, httptest.NewRequest(http.MethodGet, "/healthz", nil))
		return answer.Code
	}
	full := make(chan struct{})
	go func() {
		defer close(full)
		for range 2 * loop.EventCapacity { // more than the loop holds until it runs
			c.loop.Post(core.Tick{})
		}
	}()
	g.Eventually(c.loop.Queued).Should(gomega.Equal(loop.EventCapacity))
	set := config.Empty()
	set.Release = 7
	applied := make(chan struct{})
	go func() {
		defer close(applied)
		c.applyConfig(set)
	}()
	g.Consistently(health, "200ms").Should(gomega.Equal(http.StatusServiceUnavailable))
	g.Expect(applied).NotTo(gomega.BeClosed(), "the core's events have no room")
	go func() { _ = c.loop.Run(t.Context()) }()
	g.Eventually(applied, "5s").Should(gomega.BeClosed())
	g.Expect(health()).To(gomega.Equal(http.StatusOK))
	<-full
}
