package relay_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a request that waits for capacity while its VM stops, and is passed on so late that the VM's end
// cuts it.
func TestARequestThatWaitsIsRefusedOnceItsVMEndsBeforeIt(t *testing.T) {
	const requests = 3
	r := newLateRig(t, 10)
	r.occupy()
	waiting := r.dispatcher.Waiting("app")
	answers := make(chan *httptest.ResponseRecorder, requests)
	for range requests {
		r.calls.Go(func() {
			request := httptest.NewRequest(http.MethodPost, "http://a.example/x/", strings.NewReader("body"))
			request.Header.Set("X-Request-Id", "waits")
			answer := httptest.NewRecorder()
			r.vm.ServeHTTP(answer, request)
			answers <- answer
		})
	}
	r.Eventually(func() int { return r.dispatcher.Waiting("app") }, "2s").Should(Equal(waiting + requests))
	r.vm.EndAt(time.Now().Add(time.Minute))
	for range requests {
		var answer *httptest.ResponseRecorder
		r.Eventually(answers, "2s").Should(Receive(&answer))
		r.Expect(answer.Code).To(Equal(http.StatusServiceUnavailable))
		r.Expect(answer.Body.String()).To(And(ContainSubstring(`"not_run"`), ContainSubstring(`"vm_stopping"`)))
		r.Expect(answer.Header().Get("Retry-After")).NotTo(BeEmpty(), "another VM takes it soon")
	}
	r.Expect(r.seen.Load("waits")).To(BeNil())
}
