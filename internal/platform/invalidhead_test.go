package platform_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/platform"
	"oleandershunt.example/oleandershunt/internal/testutil/rawserver"
	"oleandershunt.example/oleandershunt/internal/wire"
)

// Guards against taking a response of a platform in trouble for its answer, whose head has a blank in a name.
func TestAnAnswerWithAnInvalidHeadIsAnError(t *testing.T) {
	address := rawserver.Start(t, rawserver.Once("HTTP/1.1 200 OK\r\nX Odd: 1\r\nContent-Length: 2\r\n\r\n{}"))
	ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
	defer cancel()
	_, err := platform.NewClient("http://"+address).Get(ctx, kind, "scoring")
	NewWithT(t).Expect(err).To(MatchError(wire.ErrInvalidHead))
}
