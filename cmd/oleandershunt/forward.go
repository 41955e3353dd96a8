package main

import (
	"context"
	"log/slog"
	"os"

	"oleandershunt.example/oleandershunt/internal/telemetry"
	"oleandershunt.example/oleandershunt/platform"
)

// forwardCommand runs one VM on the users' platform.
type forwardCommand struct {
	Settings string `required:"" type:"path" env:"OLEANDERSHUNT_NODE_FILE" help:"Settings file that the platform writes (JSON)."`
}

// Run implements the forward command.
func (c *forwardCommand) Run(ctx context.Context) error {
	return platform.Serve(ctx, newLogger(telemetry.MeasuredWriter(os.Stdout), slog.LevelInfo), c.Settings)
}
