package edge_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"
)

// reset closes a connection with a TCP reset.
func reset(w http.ResponseWriter) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

// Guards against executing an at-most-once request twice: its connection breaks while a
// server executes it, and the request is sent again by this program or inside the HTTP
// library.
func TestAtMostOnceRequestIsSentOnce(t *testing.T) {
	r := newRig(t, table(1))
	var sends atomic.Int32
	broken := func(w http.ResponseWriter, _ *http.Request) {
		sends.Add(1)
		reset(w)
	}
	r.server("s1", broken)
	r.server("s2", broken)
	r.Eventually(func() int { return r.status("/once/a", "r1") }, "5s").Should(Equal(http.StatusBadGateway))
	r.Expect(sends.Load()).To(BeEquivalentTo(1))
}

// Guards against refusing a request though a server is free: the first server reports that
// it did not execute the request, and that is ignored.
func TestRequestNotExecutedIsRetriedOnAnotherServer(t *testing.T) {
	r := newRig(t, table(1))
	r.server("s1", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	r.server("s2", ok)
	r.Eventually(func() int { return r.status("/once/a", "r1") }, "5s").Should(Equal(http.StatusOK))
	for range 5 {
		r.Expect(r.status("/once/a", "r2")).To(Equal(http.StatusOK))
	}
}

// Guards against forwarding the response to another request, or bytes that no server
// meant: an extra response on a kept connection, or a response that is unsigned, encoded
// or truncated.
func TestInvalidResponsesAreNotForwarded(t *testing.T) {
	wrong := map[string]http.HandlerFunc{
		"another request": func(w http.ResponseWriter, request *http.Request) {
			sign(w, request)
			w.Header().Set("X-Request-Id", "other")
			_, _ = io.WriteString(w, "wrong")
		},
		"unsigned": func(w http.ResponseWriter, request *http.Request) {
			sign(w, request)
			w.Header().Del("X-Response-Seal")
			_, _ = io.WriteString(w, "wrong")
		},
		"encoded": func(w http.ResponseWriter, request *http.Request) {
			sign(w, request)
			w.Header().Set("Content-Encoding", "gzip")
			_, _ = io.WriteString(w, "wrong")
		},
		"cut": func(w http.ResponseWriter, request *http.Request) {
			sign(w, request)
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, "wrong")
			w.(http.Flusher).Flush()
			reset(w)
		},
	}
	for name, serve := range wrong {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newRig(t, table(1))
			r.server("s1", serve)
			r.Eventually(func() int { return r.status("/once/a", "r1") }, "5s").Should(Equal(http.StatusBadGateway))
			r.server("s2", ok)
			r.Eventually(func() int { return r.status("/plain/a", "r2") }, "5s").Should(Equal(http.StatusOK))
		})
	}
}

// Guards against duplicate or missing events: a server breaks off inside event 3, and the
// next server resumes at the wrong event.
func TestBrokenStreamResumesAfterLastCompleteEvent(t *testing.T) {
	r := newRig(t, table(1))
	var runs atomic.Int32
	serve := func(w http.ResponseWriter, request *http.Request) {
		sign(w, request)
		if runs.Add(1) == 1 {
			_, _ = io.WriteString(w, event(1)+event(2)+"id: 3\nda")
			w.(http.Flusher).Flush()
			reset(w)
			return
		}
		if request.Header.Get("Last-Event-Id") == "2" {
			_, _ = io.WriteString(w, event(3)+event(4))
		}
	}
	r.server("s1", serve)
	r.server("s2", serve)
	response := r.callUntilOK("/stream/a", "r1")
	body, err := io.ReadAll(response.Body)
	r.Expect(err).NotTo(HaveOccurred())
	r.Expect(string(body)).To(Equal(event(1) + event(2) + event(3) + event(4)))
}

// Guards against a truncated stream that looks complete: no server resumes it, and the
// response is terminated normally.
func TestUnfinishedStreamIsNotTerminatedNormally(t *testing.T) {
	r := newRig(t, table(1))
	r.server("s1", func(w http.ResponseWriter, request *http.Request) {
		sign(w, request)
		_, _ = io.WriteString(w, event(1))
		w.(http.Flusher).Flush()
		reset(w)
	})
	response := r.callUntilOK("/stream/a", "r1")
	_, err := io.ReadAll(response.Body)
	r.Expect(err).To(HaveOccurred())
}

// Guards against a truncated stream that looks complete: a caller closes its side of the
// connection but still reads; the request is cancelled, and the response is terminated
// normally.
func TestStreamOfHalfClosedCallerIsNotTerminatedNormally(t *testing.T) {
	r := newRig(t, table(1))
	r.server("s1", func(w http.ResponseWriter, request *http.Request) {
		sign(w, request)
		_, _ = io.WriteString(w, event(1))
		w.(http.Flusher).Flush()
		<-request.Context().Done()
	})
	r.Eventually(func() int { return r.status("/stream/warm", "r0") }, "5s").Should(Equal(http.StatusOK))
	conn, err := net.Dial("tcp", r.settings.Callers)
	r.Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	_, err = io.WriteString(conn, "GET /stream/a HTTP/1.1\r\nHost: app.example\r\nX-Request-Id: r1\r\nX-Api-Key: key\r\n\r\n")
	r.Expect(err).NotTo(HaveOccurred())
	answer := bufio.NewReader(conn)
	r.Expect(answer.ReadString(':')).To(HavePrefix("HTTP/1.1 200"))
	r.Expect(conn.(*net.TCPConn).CloseWrite()).To(Succeed())
	rest, err := io.ReadAll(answer)
	r.Expect(err).NotTo(HaveOccurred())
	r.Expect(string(rest)).NotTo(HaveSuffix("0\r\n\r\n"), "the end of a complete response")
}

// Guards against failing a safe request that another attempt would have served: two
// servers fail their first attempt, no other server may be used, and the tried ones aren't
// retried.
func TestSafeRequestIsRetriedOnTriedServers(t *testing.T) {
	r := newRig(t, table(1))
	var runs atomic.Int32
	flaky := func(w http.ResponseWriter, request *http.Request) {
		sign(w, request)
		if runs.Add(1) <= 2 {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		_, _ = io.WriteString(w, "done")
	}
	for _, id := range []string{"s1", "s2", "s3"} {
		r.server(id, flaky)
	}
	r.Eventually(func() int { return r.status("/plain/a", "r1") }, "5s").Should(Equal(http.StatusOK))
	r.Expect(runs.Load()).To(BeEquivalentTo(3))
}
