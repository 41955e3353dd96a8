package relay_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/core/budget"
	"oleandershunt.example/oleandershunt/internal/core/routes"
	"oleandershunt.example/oleandershunt/internal/relay"
)

// newTwoRouteVM starts a VM before a server of a model whose streams are limited on the route with the
// prefix "/". The prefix of the other route is "/free/". Accounts a to f have keys of the same name.
func newTwoRouteVM(t *testing.T, free routes.Route, serve http.HandlerFunc) (url string, d *relay.Dispatcher) {
	limited := routes.Route{
		Host: "a.example", Prefix: "/", Repeat: routes.Resumable, Stream: true, MaxAttempts: 2, TargetLatency: time.Second,
		Shares: []routes.Share{{Service: "llm", Weight: 1}},
	}
	free.Host, free.Prefix, free.MaxAttempts, free.Shares = limited.Host, "/free/", 2, limited.Shares
	service := routes.Service{Name: "llm", Engine: pacedEngine()}
	vm, d, _ := newVM(t, budget.Options{Window: 10 * time.Second, StartedAt: -10 * time.Second, MinVMs: 1}, limited, service, signed(t, serve))
	keys := make(map[string]routes.Account)
	for _, name := range []string{"a", "b", "c", "d", "e", "f"} {
		keys[name] = routes.Account{Name: name}
	}
	d.SetTable(routes.New(1, routes.Limits{}, []routes.Route{limited, free}, []routes.Service{service}, keys))
	return vm.URL, d
}

// get sends a request with a key to a path and returns its status; 0 without a response.
func get(ctx context.Context, g *WithT, url, key, id string) int {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	g.Expect(err).NotTo(HaveOccurred())
	request.Host = "a.example"
	for name, value := range map[string]string{"X-Request-Id": id, "X-Api-Key": key, "X-Token-Count": "100,10"} {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// Guards against requests that wait for limits which don't apply to them, those of streams with a latency
// target: a pass tries the first three requests only, and all three were streams at their limit. The
// others were refused without a try, or waited until the streams gave up.
func TestRequestsDoNotWaitForLimitsOfOthers(t *testing.T) {
	for kind, free := range map[string]routes.Route{
		"stream without a target": {Repeat: routes.Resumable, Stream: true},
		"plain request":           {Repeat: routes.Repeatable, TargetLatency: time.Minute},
	} {
		t.Run(kind, func(t *testing.T) { testRequestsBesideLimitedStreams(t, free) })
	}
}

// testRequestsBesideLimitedStreams sends requests of a route without limits while streams of the other one
// wait at their limit.
func testRequestsBesideLimitedStreams(t *testing.T, free routes.Route) {
	g := NewWithT(t)
	release := make(chan struct{})
	end := sync.OnceFunc(func() { close(release) })
	defer end() // also after a failure, since the server waits for its handlers
	url, d := newTwoRouteVM(t, free, func(w http.ResponseWriter, request *http.Request) {
		if request.URL.Path == "/" {
			<-release
		}
		_, _ = io.WriteString(w, "id: 1\ndata: x\n\n")
	})
	var callers sync.WaitGroup
	for i, account := range []string{"a", "b", "c", "d", "e"} {
		callers.Go(func() { get(t.Context(), g, url+"/", account, fmt.Sprint("limited", i)) })
	}
	g.Eventually(func() int { return d.Waiting("llm") }, "1s", "2ms").Should(Equal(4))
	for i, account := range []string{"a", "f"} {
		g.Expect(get(t.Context(), g, url+"/free/", account, fmt.Sprint("free", i))).To(Equal(http.StatusOK))
	}
	g.Expect(d.Waiting("llm")).To(BeNumerically(">=", 3), "the streams still wait")
	end()
	callers.Wait()
	g.Expect(d.Waiting("llm")).To(BeZero())
}
