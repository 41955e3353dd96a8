package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"

	"oleandershunt.example/oleandershunt/internal/dev"
	"oleandershunt.example/oleandershunt/internal/trace"
)

// devCommand runs a whole deployment on loopback.
type devCommand struct {
	Smoke  bool   `help:"Send a set of requests, check every answer, print a table and exit 0 or 1."`
	Record string `type:"path" help:"Record all VMs into this file, written at the end, for replay."`
}

// Run implements the dev command.
func (c *devCommand) Run(ctx context.Context) (err error) {
	level := slog.LevelInfo
	if c.Smoke {
		level = slog.LevelError
	}
	var options []dev.Option
	if c.Record != "" {
		recorder := trace.NewRecorder(trace.DefaultRecordingBytes)
		options = append(options, dev.WithRecorder(recorder))
		defer func() { err = errors.Join(err, recorder.WriteFile(c.Record)) }()
	}
	deployment, err := dev.Start(ctx, newLogger(os.Stderr, level), options...)
	if err != nil {
		return err
	}
	if c.Smoke {
		result := deployment.Smoke(ctx, os.Stdout)
		if err := deployment.Stop(); err != nil {
			return err
		}
		return result
	}
	printAddresses(deployment)
	return deployment.Wait()
}

func printAddresses(d *dev.Deployment) {
	fmt.Printf("platform    %s\n", d.Platform.URL())
	fmt.Printf("operate     export OLEANDERSHUNT_PLATFORM=%s\n", d.Platform.URL())
	for _, n := range d.Nodes {
		fmt.Printf("VM          http://%s   metrics http://%s/metrics\n", n.CallersAddress(), n.OperationsAddress())
	}
	for _, e := range d.Engines {
		fmt.Printf("engine      http://%s\n", e.Address())
	}
	for _, s := range d.Services {
		fmt.Printf("service     http://%s\n", s.Address())
	}
	fmt.Printf("\nTry:\n\n  %s\n\nStop with Ctrl-C.\n", d.CurlLine())
}
