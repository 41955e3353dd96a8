package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"oleandershunt.example/oleandershunt/internal/load"
	"oleandershunt.example/oleandershunt/internal/standin"
)

// maxLoadDuration bounds a run.
const maxLoadDuration = 30 * time.Minute

// loadCommand offers requests at a rate and reports what callers see.
type loadCommand struct {
	Addresses []string      `arg:"" help:"Addresses of VMs, as host:port, used in turn."`
	Key       string        `default:"dev-key" env:"OLEANDERSHUNT_KEY" help:"API key."`
	Pipeline  string        `default:"scoring" help:"Pipeline to ask."`
	Rate      float64       `default:"10" help:"Requests started a second."`
	Duration  time.Duration `default:"10s" help:"How long requests are started, at most 30m."`
	Tokens    int           `default:"32" help:"Tokens of each answer."`
	Prompt    string        `default:"load" help:"Start of each prompt."`
	Seed      uint64        `default:"1" help:"Seed of the random arrivals."`
	Timeout   time.Duration `default:"2m" help:"Time limit of one request."`
	InFlight  int           `default:"2000" help:"Requests at once at most."`
	Version   string        `default:"2026-11" help:"Version of the stand-in model that answers are checked against; empty checks only that they are whole."`
	Layers    int           `default:"24" help:"Layers of the stand-in model."`
	Remote    bool          `help:"Allow addresses other than loopback."`
	Output    string        `short:"o" enum:"text,json" default:"text" help:"Form of the report: text or json."`
}

// Run implements the load command. It fails when an answer was wrong or cut off.
func (c *loadCommand) Run(ctx context.Context) error {
	if err := c.check(); err != nil {
		return err
	}
	options := load.Options{
		Addresses: c.Addresses, Key: c.Key, Pipeline: c.Pipeline, Rate: c.Rate, Duration: c.Duration,
		Tokens: c.Tokens, Prompt: c.Prompt, Seed: c.Seed, Timeout: c.Timeout, MaxInFlight: c.InFlight,
	}
	if c.Version != "" {
		options.Verifier = standinVerifier{standin.Model{Version: c.Version, Layers: c.Layers}}
	}
	report, err := load.Run(ctx, options)
	if err != nil {
		return err
	}
	write := report.WriteText
	if c.Output == "json" {
		write = report.WriteJSON
	}
	if err := write(os.Stdout); err != nil {
		return err
	}
	if report.Bad() {
		return eris.New("an answer was wrong, cut off or refused unclearly: see the report")
	}
	return nil
}

func (c *loadCommand) check() error {
	if c.Duration > maxLoadDuration {
		return eris.Errorf("duration is above %v: use a shorter one", maxLoadDuration)
	}
	for _, address := range c.Addresses {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			return eris.Wrapf(err, "address %q is not host:port", address)
		}
		if ip := net.ParseIP(host); !c.Remote && (ip == nil || !ip.IsLoopback()) {
			return eris.Errorf("address %s is not loopback: add --remote if it is meant", address)
		}
	}
	return nil
}

// standinVerifier knows the stand-in model's answers.
type standinVerifier struct{ model standin.Model }

// Verify implements load.Verifier.
func (v standinVerifier) Verify(prompt, text string, maxTokens int) error {
	if want := v.model.Text(prompt, maxTokens); text != want {
		return fmt.Errorf("answer to %q is %q, want %q", prompt, text, want)
	}
	return nil
}
