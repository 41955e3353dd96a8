package main

import (
	"os"

	"oleandershunt.example/oleandershunt/internal/trace"
)

// replayCommand feeds recorded traces to the core and compares what comes of
// them with what they state.
type replayCommand struct {
	Files   []string `arg:"" name:"file" type:"existingfile" help:"Trace files."`
	Verbose bool     `short:"v" help:"Print every stated outcome, not only those missed."`
}

// Help shows examples.
func (c *replayCommand) Help() string {
	return `Examples:

  oleandershunt replay testdata/traces/*
  oleandershunt replay -v incident.trace

Exits 1 when a file is broken or any outcome is missed.`
}

// Run implements the replay command.
func (c *replayCommand) Run() error {
	return trace.ReplayFiles(os.Stdout, c.Files, c.Verbose)
}
