package platform_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/platform"
	"oleandershunt.example/oleandershunt/internal/testutil/rawserver"
)

// Guards against keeping all of an answer of the platform, or of a watch's event, that doesn't end.
func TestAnAnswerWithoutAnEndIsNotKept(t *testing.T) {
	for name, call := range map[string]func(context.Context, *platform.Client) error{
		"an object": func(ctx context.Context, c *platform.Client) error {
			_, err := c.Get(ctx, kind, "scoring")
			return err
		},
		"an object of a list": func(ctx context.Context, c *platform.Client) error {
			_, err := c.List(ctx, kind, "")
			return err
		},
		"an event": func(ctx context.Context, c *platform.Client) error {
			return c.Watch(ctx, kind, 1, func(platform.WatchEvent) {})
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var answers, written atomic.Int64
			address := rawserver.Start(t, func(conn *net.TCPConn, _ *http.Request) {
				answers.Add(1)
				_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n"+`{"items":[{"value":"`)
				for part := strings.Repeat("x", 1<<20); err == nil; {
					var n int
					n, err = io.WriteString(conn, part)
					written.Add(int64(n))
				}
			})
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			g.Expect(call(ctx, platform.NewClient("http://"+address))).To(MatchError(platform.ErrUnavailable))
			const textAndBuffers = 24 << 20
			g.Expect(written.Load() / answers.Load()).To(BeNumerically("<", textAndBuffers))
		})
	}
}
