package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"time"

	"oleandershunt.example/oleandershunt/api"
	"oleandershunt.example/oleandershunt/internal/standin"
)

// standinCommand runs the stand-ins as processes of their own, for tests with
// real processes and for trials by hand. Each prints its address as its first line.
type standinCommand struct {
	Platform standinPlatform `cmd:"" help:"Run a stand-in of the platform's object API."`
	Engine   standinEngine   `cmd:"" help:"Run a stand-in of a model engine."`
	Service  standinService  `cmd:"" help:"Run a stand-in of a plain service."`
	Weights  standinWeights  `cmd:"" help:"Run a stand-in of the weight store."`
}

// listenFlag is where a stand-in listens.
type listenFlag struct {
	Listen string `default:"127.0.0.1:0" help:"Address to listen on, as host:port; port 0 takes a free one."`
}

// open listens and prints the address.
func (f listenFlag) open() (net.Listener, error) {
	listener, err := net.Listen("tcp", f.Listen)
	if err != nil {
		return nil, err
	}
	_, err = fmt.Println(listener.Addr())
	return listener, err
}

type standinPlatform struct{ listenFlag }

// Run implements the standin platform command.
func (c *standinPlatform) Run(ctx context.Context) error {
	listener, err := c.open()
	if err != nil {
		return err
	}
	platform := standin.StartPlatform(listener)
	<-ctx.Done()
	platform.Stop()
	return nil
}

type standinEngine struct {
	listenFlag
	Server       string        `required:"" help:"Name of the engine's BackendServer record."`
	Model        string        `required:"" help:"Name of the Model record held."`
	Version      string        `required:"" help:"Version of the weights held."`
	From         int           `default:"0" help:"First layer held."`
	To           int           `required:"" help:"Layer after the last one held."`
	Step         time.Duration `default:"2ms" help:"Time of one token in the engine's layers."`
	Batch        int           `default:"16" help:"Streams that step at the same time."`
	Prefill      time.Duration `default:"20us" help:"Time of one position's prefill."`
	ReportLag    time.Duration `default:"0s" help:"Age that a load report may have."`
	EventLag     time.Duration `default:"0s" help:"Lag of the cache events."`
	WeightsURL   string        `help:"Base URL of the weight store; without it orders load at once."`
	RestartAfter time.Duration `default:"0s" help:"Time after which a crashed engine comes back; 0 ends the process."`
}

// crashStatus is the exit status of an engine that crashed.
const crashStatus = 3

// Run implements the standin engine command.
func (c *standinEngine) Run(ctx context.Context) error {
	listener, err := c.open()
	if err != nil {
		return err
	}
	options := standin.EngineOptions{
		Server:       c.Server,
		Model:        c.Model,
		Version:      c.Version,
		Layers:       api.Layers{From: c.From, To: c.To},
		StepTime:     c.Step,
		Batch:        c.Batch,
		PrefillTime:  c.Prefill,
		ReportLag:    c.ReportLag,
		EventLag:     c.EventLag,
		RestartAfter: c.RestartAfter,
		OnCrash:      func() { os.Exit(crashStatus) },
	}
	if c.WeightsURL != "" {
		options.Weights = standin.RemoteWeights{URL: c.WeightsURL}
	}
	engine := standin.StartEngine(listener, options)
	<-ctx.Done()
	engine.Kill()
	return nil
}

type standinService struct{ listenFlag }

// Run implements the standin service command.
func (c *standinService) Run(ctx context.Context) error {
	listener, err := c.open()
	if err != nil {
		return err
	}
	service := standin.StartService(listener)
	<-ctx.Done()
	service.Kill()
	return nil
}

type standinWeights struct {
	listenFlag
	LayersPerSecond float64 `default:"4" help:"Layers given a second, to all engines together."`
}

// Run implements the standin weights command.
func (c *standinWeights) Run(ctx context.Context) error {
	listener, err := c.open()
	if err != nil {
		return err
	}
	server := standin.StartWeightStore(listener, standin.NewWeightStore(c.LayersPerSecond))
	<-ctx.Done()
	return server.Close()
}
