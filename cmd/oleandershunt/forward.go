package main

import (
	"context"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"oleandershunt.example/oleandershunt/internal/telemetry"
	"oleandershunt.example/oleandershunt/platform"
)

// logCloseTimeout bounds how long the end of the process waits for its last log lines to be written.
const logCloseTimeout = 200 * time.Millisecond

// forwardCommand runs one VM on the users' platform.
type forwardCommand struct {
	Settings string `required:"" type:"path" env:"OLEANDERSHUNT_NODE_FILE" help:"Settings file that the platform writes (JSON)."`
}

// Run implements the forward command.
func (c *forwardCommand) Run(ctx context.Context) error {
	// The signal of a standard output that nobody reads any more would end the process.
	signal.Ignore(syscall.SIGPIPE)
	lines := telemetry.NewLogWriter(os.Stdout, reportDroppedLines)
	defer lines.Close(logCloseTimeout)
	return platform.Serve(ctx, newLogger(lines, slog.LevelInfo), c.Settings)
}

func reportDroppedLines(to io.Writer, lines int64) {
	telemetry.LogLinesDropped.Log(newLogger(to, slog.LevelInfo), "lines", lines)
}
