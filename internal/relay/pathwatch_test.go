package relay_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/bootclock"
	"oleandershunt.example/oleandershunt/internal/core/backends"
	"oleandershunt.example/oleandershunt/internal/core/budget"
	"oleandershunt.example/oleandershunt/internal/core/routes"
	"oleandershunt.example/oleandershunt/internal/relay"
	"oleandershunt.example/oleandershunt/internal/serverconn"
	"oleandershunt.example/oleandershunt/internal/wire"
	"oleandershunt.example/oleandershunt/platform"
)

// Guards against giving up a response that would arrive, because new connections to its server get no
// response, where no retry is left with which to ask for it again.
func TestAResponseIsAwaitedOverALostPathWithoutARetry(t *testing.T) {
	g := NewWithT(t)
	var silent atomic.Bool
	arrived := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(arrived)
		time.Sleep(1200 * time.Millisecond)
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.Header().Set("X-Response-Seal", "seal")
		_, _ = io.WriteString(w, "whole")
	}))
	t.Cleanup(server.Close)
	d := relay.NewDispatcher(bootclock.Now, budget.New(budget.Options{Window: 10 * time.Second, MinVMs: 1}))
	route := routes.Route{Host: "a.example", Prefix: "/", Repeat: routes.Repeatable, MaxAttempts: 2, Shares: []routes.Share{{Service: "app", Weight: 1}}}
	d.SetTable(routes.New(1, routes.Limits{}, []routes.Route{route}, []routes.Service{{Name: "app"}}, nil))
	d.WithFleet(func(now time.Duration, fleet *backends.Fleet) {
		fleet.Replace(now, []backends.Server{{ID: "s1", Service: "app", Address: strings.TrimPrefix(server.URL, "http://"), DataCentre: "a", Slots: 4}}, 1)
	})
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		if silent.Load() {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return wire.Dial(ctx, network, address)
	}
	servers := serverconn.New(serverconn.Options{Log: logr.Discard(), Dial: dial, Now: bootclock.Now, Service: d.ServiceAt})
	servers.SetTunnels(&otherVM{responds: true})
	vm := httptest.NewServer(relay.New(relay.Options{
		Log: logr.Discard(), Wire: platform.Requests{}, Dispatcher: d, DataCentre: "a", Proven: func() bool { return true },
		StallTimeout: 200 * time.Millisecond, Servers: servers,
	}))
	t.Cleanup(vm.Close)
	go func() {
		<-arrived
		silent.Store(true)
	}()
	request, err := http.NewRequest(http.MethodGet, vm.URL+"/x", nil)
	g.Expect(err).NotTo(HaveOccurred())
	request.Host = "a.example"
	request.Header.Set("X-Request-Id", "r1")
	response, err := http.DefaultClient.Do(request)
	g.Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(body)).To(Equal("whole"))
	g.Expect(servers.SilentlyLost(strings.TrimPrefix(server.URL, "http://"))).To(BeTrue(), "the path was found lost")
}
