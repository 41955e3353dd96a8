package wire_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/wire"
)

// Guards against: a request is written that its server doesn't want any more, on a new or a kept connection.
func TestAWithheldRequestNeverReachesItsServer(t *testing.T) {
	g := NewWithT(t)
	var arrived atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { arrived.Add(1) }))
	t.Cleanup(server.Close)
	transport := wire.NewTransport(time.Second, nil)
	t.Cleanup(transport.CloseIdleConnections)
	send := func(may bool) (*wire.Sent, error) {
		ctx, sent := wire.WatchSentWhile(context.Background(), func() bool { return may })
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, server.URL, nil)
		g.Expect(err).NotTo(HaveOccurred())
		response, err := transport.RoundTrip(request)
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
			g.Expect(response.Body.Close()).To(Succeed())
		}
		return sent, err
	}
	for kept := range 3 {
		sent, err := send(false)
		g.Expect(err).To(HaveOccurred())
		g.Expect(sent.Withheld()).To(BeTrue())
		g.Expect(sent.Any()).To(BeFalse())
		g.Expect(arrived.Load()).To(BeEquivalentTo(kept))
		sent, err = send(true)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(sent.Withheld()).To(BeFalse())
		g.Expect(sent.Any()).To(BeTrue())
	}
}

// Guards against a request without a body that is written a second time when its kept connection breaks, and
// against one that counts as unsent since the second connection took no byte.
func TestARequestWhoseKeptConnectionBreaksIsWrittenOnce(t *testing.T) {
	g := NewWithT(t)
	var arrived atomic.Int32
	var together sync.WaitGroup
	together.Add(2)
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		if arrived.Add(1) > 2 {
			panic(http.ErrAbortHandler)
		}
		together.Done()
		together.Wait()
	}))
	t.Cleanup(server.Close)
	transport := wire.NewTransport(time.Second, nil)
	transport.MaxIdleConnsPerHost = 2
	t.Cleanup(transport.CloseIdleConnections)
	send := func() (*wire.Sent, error) {
		ctx, sent := wire.WatchSent(t.Context())
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, server.URL, nil)
		g.Expect(err).NotTo(HaveOccurred())
		response, err := transport.RoundTrip(request)
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
			g.Expect(response.Body.Close()).To(Succeed())
		}
		return sent, err
	}
	var kept sync.WaitGroup
	for range 2 {
		kept.Go(func() { _, _ = send() })
	}
	kept.Wait()
	sent, err := send()
	g.Expect(err).To(HaveOccurred())
	g.Expect(sent.Any()).To(BeTrue())
	g.Expect(sent.Withheld()).To(BeFalse())
	g.Expect(arrived.Load()).To(BeEquivalentTo(3))
}
