package main

import (
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/platform/standin"
)

// freeAddresses returns addresses on loopback that were free a moment ago.
func freeAddresses(g *WithT, n int) []string {
	var addresses []string
	for range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		g.Expect(err).NotTo(HaveOccurred())
		defer func() { _ = listener.Close() }()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses
}

// startForward starts a VM before a store with a configuration, and returns the address for callers. out is
// its standard output.
func startForward(t *testing.T, out *os.File) string {
	g := NewWithT(t)
	store := standin.NewStore()
	store.PutConfiguration(1)
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	at := freeAddresses(g, 4)
	_, port, err := net.SplitHostPort(at[3])
	g.Expect(err).NotTo(HaveOccurred())
	operations, err := strconv.Atoi(port)
	g.Expect(err).NotTo(HaveOccurred())
	settings, err := standin.Settings(standin.VM{
		Name: "vm-1", DataCentre: "a", Bootstrap: true, Store: strings.TrimPrefix(server.URL, "http://"),
		Callers: at[0], Ready: at[1], Peers: at[2], Operations: operations, SeedNodes: []string{at[2]}, Cores: 8, LinkMbps: 1000,
	}, standin.Bounds{ApplyWithin: 2 * time.Second, Contact: 3 * time.Second, Grace: 8 * time.Second, RetryRatio: 0.2, RetrySlack: 200, RetryWindow: 10 * time.Second})
	g.Expect(err).NotTo(HaveOccurred())
	file := filepath.Join(t.TempDir(), "settings.json")
	g.Expect(os.WriteFile(file, settings, 0o600)).To(Succeed())
	process := exec.Command(filepath.Join(build(t), "oleandershunt"), "forward", "--settings", file)
	process.Stdout = out
	g.Expect(process.Start()).To(Succeed())
	t.Cleanup(func() {
		_ = process.Process.Kill()
		_ = process.Wait()
	})
	return at[0]
}

// Guards against a VM that stands still since nobody reads its standard output: each line of the log waits
// for the one before it.
func TestUnreadStandardOutputHoldsUpNoRequest(t *testing.T) {
	g := NewWithT(t)
	unread, out, err := os.Pipe()
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _, _ = unread.Close(), out.Close() })
	status := statusOf(t, startForward(t, out))
	g.Eventually(status, "10s").Should(Equal(http.StatusNotFound))
	const more = 1000 // each with a line of the log, more than a pipe holds
	for i := range more {
		g.Expect(status()).To(Equal(http.StatusNotFound), "request %d", i)
	}
}

// Guards against a VM that ends since what read its standard output has ended.
func TestClosedStandardOutputEndsNoVM(t *testing.T) {
	g := NewWithT(t)
	in, out, err := os.Pipe()
	g.Expect(err).NotTo(HaveOccurred())
	status := statusOf(t, startForward(t, out))
	g.Expect(out.Close()).To(Succeed())
	g.Eventually(status, "10s").Should(Equal(http.StatusNotFound))
	g.Expect(in.Close()).To(Succeed())
	for i := range 20 {
		g.Expect(status()).To(Equal(http.StatusNotFound), "request %d", i)
	}
}

// statusOf returns a function that requests a route that doesn't exist, and returns the status.
func statusOf(t *testing.T, address string) func() int {
	client := &http.Client{Timeout: 2 * time.Second}
	return func() int {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address+"/no-such-route", nil)
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
		response, err := client.Do(request)
		if err != nil {
			return 0
		}
		_ = response.Body.Close()
		return response.StatusCode
	}
}
