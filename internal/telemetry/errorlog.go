package telemetry

import (
	"log"
	"strings"

	"github.com/go-logr/logr"
	"golang.org/x/time/rate"
)

// Limits of log lines on errors of HTTP servers, which a caller may bring about at will.
const (
	serverErrorsPerSecond = 2
	serverErrorBurst      = 10
)

// ErrorLog returns the http.Server.ErrorLog of a server: each line becomes an event, in place of text on
// standard error. What exceeds the limit is dropped.
func ErrorLog(to logr.Logger, server string) *log.Logger {
	return log.New(&errorLines{to: to, server: server, limiter: rate.NewLimiter(serverErrorsPerSecond, serverErrorBurst)}, "", 0)
}

// errorLines writes each line as an event.
type errorLines struct {
	to      logr.Logger
	server  string
	limiter *rate.Limiter
}

// Write implements io.Writer.
func (e *errorLines) Write(line []byte) (int, error) {
	if e.limiter.Allow() {
		ServerError.Log(e.to, "server", e.server, "cause", strings.TrimSpace(string(line)))
	}
	return len(line), nil
}
