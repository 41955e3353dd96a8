// Command oleandershunt routes callers' requests to model engines and plain services.
package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/go-logr/logr"

	"oleandershunt.example/oleandershunt/internal/node"
	"oleandershunt.example/oleandershunt/internal/settings"
)

// commandLine is the program's commands and flags.
type commandLine struct {
	Serve   serveCommand   `cmd:"" help:"Run one VM's process."`
	Forward forwardCommand `cmd:"" help:"Run one VM that forwards opaque requests on the users' platform."`
	Dev     devCommand     `cmd:"" help:"Run everything in one process on loopback, with stand-ins."`
	Replay  replayCommand  `cmd:"" help:"Replay recorded traces and compare every stated outcome."`

	Admission admissionCommand `cmd:"" help:"Show what decides on the admission of requests on a VM that forwards them."`
	Account   accountCommand   `cmd:"" help:"Add up what VMs' logs say of requests not served or late, by moment and cause."`
	Load      loadCommand      `cmd:"" help:"Offer requests at a rate, check every answer and report what callers see."`
	Standin   standinCommand   `cmd:"" help:"Run a stand-in of one of the systems that the router serves."`

	recordCommands
}

// serveCommand runs one VM.
type serveCommand struct {
	Config string `required:"" type:"existingfile" help:"Settings file (TOML)."`
	Record string `type:"path" help:"Record the core's events into this file, for replay."`
}

// Run implements the serve command.
func (c *serveCommand) Run(ctx context.Context) error {
	s, err := settings.LoadFile(c.Config)
	if err != nil {
		return err
	}
	if c.Record != "" {
		s.Recording.Enabled, s.Recording.File = true, c.Record
	}
	n, err := node.Provision(s, newLogger(os.Stderr, slog.LevelInfo))
	if err != nil {
		return err
	}
	onSecondSignal(n.Force)
	return n.Run(ctx)
}

func newLogger(to io.Writer, level slog.Level) logr.Logger {
	return logr.FromSlogHandler(slog.NewJSONHandler(to, &slog.HandlerOptions{Level: level}))
}

func main() {
	var cli commandLine
	parsed := kong.Parse(&cli,
		kong.Name("oleandershunt"),
		kong.Description("A router for model pipelines on mixed accelerators."),
		kong.ShortUsageOnError(),
	)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	parsed.BindTo(ctx, (*context.Context)(nil))
	if err := parsed.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "oleandershunt:", err)
		os.Exit(exitCode(err))
	}
}
