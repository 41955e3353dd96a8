// Package dev runs a whole small deployment in one process on loopback: the
// platform stand-in, model engines of unlike speed, a plain service and three
// VMs in three data centres.
package dev

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net"

	"github.com/go-logr/logr"

	"oleandershunt.example/oleandershunt/api"
	"oleandershunt.example/oleandershunt/internal/node"
	"oleandershunt.example/oleandershunt/internal/operator"
	"oleandershunt.example/oleandershunt/internal/platform"
	"oleandershunt.example/oleandershunt/internal/settings"
	"oleandershunt.example/oleandershunt/internal/standin"
	"oleandershunt.example/oleandershunt/internal/trace"
)

// The deployment's fixed names.
const (
	// APIKey is the key of the client account.
	APIKey = "dev-key"
	// Pipeline is the pipeline that the engines serve.
	Pipeline = "scoring"

	modelName    = "scorer"
	modelVersion = "2026-11"
	modelLayers  = 24
	loopback     = "127.0.0.1:0"
)

// Deployment is a running deployment.
type Deployment struct {
	Platform *standin.Platform
	Engines  []*standin.Engine
	Services []*standin.Service
	Nodes    []*node.Node
	// Model is the oracle for the engines' answers.
	Model standin.Model
	// Shape is what the deployment was made from.
	Shape Shape

	recorder *trace.Recorder
	errors   chan error
	cancel   context.CancelFunc
}

// Option changes a deployment before it starts.
type Option func(*Deployment)

// WithRecorder makes all VMs record into one recorder, frames included.
func WithRecorder(recorder *trace.Recorder) Option {
	return func(d *Deployment) { d.recorder = recorder }
}

// WithShape starts another shape than Small.
func WithShape(shape Shape) Option {
	return func(d *Deployment) { d.Shape = shape }
}

// Start starts everything and waits until the VMs are ready to serve.
func Start(ctx context.Context, log logr.Logger, options ...Option) (*Deployment, error) {
	d := &Deployment{
		Model: standin.Model{Version: modelVersion, Layers: modelLayers},
		Shape: Small(),
	}
	for _, option := range options {
		option(d)
	}
	d.errors = make(chan error, d.Shape.VMs)
	if err := d.startStandIns(); err != nil {
		return nil, err
	}
	if err := d.writeRecords(ctx); err != nil {
		return nil, err
	}
	ctx, d.cancel = context.WithCancel(ctx)
	for i := range d.Shape.VMs {
		dataCentre := d.Shape.DataCentres[i%len(d.Shape.DataCentres)]
		if err := d.startNode(ctx, log, fmt.Sprintf("vm-%d", i+1), dataCentre); err != nil {
			d.cancel()
			return nil, err
		}
	}
	return d, d.awaitReady(ctx)
}

// Wait returns when every VM has stopped.
func (d *Deployment) Wait() error {
	var first error
	for range d.Nodes {
		if err := <-d.errors; err != nil && first == nil {
			first = err
		}
	}
	return first
}

// Stop ends the VMs, then the stand-ins.
func (d *Deployment) Stop() error {
	d.cancel()
	err := d.Wait()
	for _, e := range d.Engines {
		e.Kill()
	}
	for _, s := range d.Services {
		s.Kill()
	}
	d.Platform.Stop()
	return err
}

func (d *Deployment) startStandIns() error {
	listener, err := net.Listen("tcp", loopback)
	if err != nil {
		return err
	}
	d.Platform = standin.StartPlatform(listener)
	for range d.Shape.Services {
		if listener, err = net.Listen("tcp", loopback); err != nil {
			return err
		}
		d.Services = append(d.Services, standin.StartService(listener))
	}
	for _, dataCentre := range d.Shape.DataCentres {
		for i, shape := range d.Shape.Engines {
			if listener, err = net.Listen("tcp", loopback); err != nil {
				return err
			}
			d.Engines = append(d.Engines, standin.StartEngine(listener, standin.EngineOptions{
				Server:      engineName(dataCentre, i),
				Model:       modelName,
				Version:     modelVersion,
				Layers:      shape.Layers,
				StepTime:    shape.Step,
				Batch:       shape.Batch,
				PrefillTime: shape.Prefill,
			}))
		}
	}
	return nil
}

func (d *Deployment) startNode(ctx context.Context, log logr.Logger, name, dataCentre string) error {
	s := settings.Default()
	s.VM = settings.VM{Name: name, DataCentre: dataCentre, Deployment: "dev"}
	// No balancer stands before it.
	s.Drain.BalancerDelay = 0
	s.Listen = settings.Listen{Callers: loopback, Operations: loopback, Peers: loopback}
	s.Platform.URL = d.Platform.URL()
	if d.Shape.Configure != nil {
		d.Shape.Configure(&s)
	}
	n, err := node.Provision(s, log)
	if err != nil {
		return err
	}
	if d.recorder != nil {
		n.Record(d.recorder)
	}
	d.Platform.SetVM(platform.VM{Name: name, DataCentre: dataCentre, State: platform.VMLive})
	d.Nodes = append(d.Nodes, n)
	go func() { d.errors <- n.Run(ctx) }()
	return nil
}

// writeRecords writes what an operator would, in the operator's way.
func (d *Deployment) writeRecords(ctx context.Context) error {
	documents, err := d.records()
	if err != nil {
		return err
	}
	client := operator.New(platform.NewClient(d.Platform.URL(), platform.WithVM("operator")))
	changes, err := client.Plan(ctx, documents)
	if err != nil {
		return err
	}
	_, err = client.Apply(ctx, changes)
	return err
}

// records are the deployment's records.
func (d *Deployment) records() ([]api.Document, error) {
	sum := sha256.Sum256([]byte(APIKey))
	var documents []api.Document
	var failed error
	add := func(kind api.Kind, name string, spec any) {
		document, err := api.NewDocument(kind, name, spec)
		failed = errors.Join(failed, err)
		documents = append(documents, document)
	}
	add(api.KindModel, modelName, api.ModelSpec{Layers: modelLayers, Version: modelVersion})
	add(api.KindPipeline, d.Shape.Pipeline, api.PipelineSpec{Model: modelName, Idempotent: true})
	add(api.KindRoute, d.Shape.Service, api.RouteSpec{PathPrefix: d.ServicePath(), Service: d.Shape.Service})
	add(api.KindClientAccount, "dev", api.ClientAccountSpec{KeySHA256: []string{hex.EncodeToString(sum[:])}})
	for name, spec := range d.backendServers() {
		add(api.KindBackendServer, name, spec)
	}
	return documents, failed
}

// ServicePath is the path prefix of the plain service.
func (d *Deployment) ServicePath() string { return "/" + d.Shape.Service + "/" }

// backendServers are the records of the engines and services, by name.
func (d *Deployment) backendServers() map[string]api.BackendServerSpec {
	specs := make(map[string]api.BackendServerSpec)
	for i, service := range d.Services {
		specs[fmt.Sprintf("%s-%d", d.Shape.Service, i+1)] = api.BackendServerSpec{
			Address:    service.Address(),
			DataCentre: d.Shape.DataCentres[i%len(d.Shape.DataCentres)],
			Service:    d.Shape.Service,
		}
	}
	for i, e := range d.Engines {
		shape := d.Shape.Engines[i%len(d.Shape.Engines)]
		dataCentre := d.Shape.DataCentres[i/len(d.Shape.Engines)]
		specs[engineName(dataCentre, i%len(d.Shape.Engines))] = api.BackendServerSpec{
			Address:         e.Address(),
			DataCentre:      dataCentre,
			Accelerator:     shape.Accelerator,
			Model:           modelName,
			Layers:          shape.Layers,
			TokensPerSecond: shape.TokensPerSecond(),
		}
	}
	return specs
}
