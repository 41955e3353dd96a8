package dev

import (
	"fmt"
	"time"

	"oleandershunt.example/oleandershunt/api"
	"oleandershunt.example/oleandershunt/internal/settings"
)

// Shape is what a deployment consists of.
type Shape struct {
	// Pipeline is the name under which the engines' model is offered.
	Pipeline string
	// Service is the plain service's name; its route is /Service/.
	Service string
	// DataCentres are where VMs and backend servers stand.
	DataCentres []string
	// VMs is the number of VMs, spread over the data centres in turn.
	VMs int
	// Engines are the engines of each data centre.
	Engines []EngineShape
	// Services is the number of instances of the plain service, spread in turn.
	Services int
	// Configure changes a VM's settings before it starts. It may be nil.
	Configure func(*settings.Settings)
}

// EngineShape is a kind of accelerator with the layers that it holds.
type EngineShape struct {
	Accelerator string
	Layers      api.Layers
	// Step is how long one token takes in the engine's layers.
	Step time.Duration
	// Batch is the number of streams that step at the same time.
	Batch int
	// Prefill is how long one position takes to prefill.
	Prefill time.Duration
}

// TokensPerSecond is the most that the engine passes.
func (e EngineShape) TokensPerSecond() float64 { return float64(e.Batch) / e.Step.Seconds() }

const prefillTime = 20 * time.Microsecond

// Small is the shape that the dev command starts: in each data centre a path of
// two or three stages, with two ways to leave layer 12.
func Small() Shape {
	return Shape{
		Pipeline:    Pipeline,
		Service:     "portal",
		DataCentres: []string{"bornova", "karsiyaka", "gaziemir"},
		VMs:         3,
		Services:    1,
		Engines: []EngineShape{
			{"fast", api.Layers{From: 0, To: 12}, 2 * time.Millisecond, 16, prefillTime},
			{"slow", api.Layers{From: 12, To: 18}, 4 * time.Millisecond, 8, prefillTime},
			{"slow", api.Layers{From: 18, To: 24}, 4 * time.Millisecond, 8, prefillTime},
			{"fast", api.Layers{From: 12, To: 24}, 3 * time.Millisecond, 16, prefillTime},
		},
	}
}

// unlikeEngines are ten engines of one data centre: three kinds of accelerator
// whose speeds differ eightfold, with layers cut at three places.
func unlikeEngines() []EngineShape {
	return []EngineShape{
		{"large", api.Layers{From: 0, To: 12}, 20 * time.Millisecond, 8, prefillTime},
		{"large", api.Layers{From: 12, To: 24}, 20 * time.Millisecond, 8, prefillTime},
		{"medium", api.Layers{From: 0, To: 12}, 30 * time.Millisecond, 6, prefillTime},
		{"medium", api.Layers{From: 12, To: 24}, 40 * time.Millisecond, 6, prefillTime},
		{"small", api.Layers{From: 0, To: 6}, 20 * time.Millisecond, 2, prefillTime},
		{"small", api.Layers{From: 6, To: 12}, 25 * time.Millisecond, 2, prefillTime},
		{"small", api.Layers{From: 12, To: 18}, 20 * time.Millisecond, 2, prefillTime},
		{"small", api.Layers{From: 18, To: 24}, 30 * time.Millisecond, 2, prefillTime},
		{"small", api.Layers{From: 0, To: 12}, 40 * time.Millisecond, 2, prefillTime},
		{"small", api.Layers{From: 12, To: 24}, 40 * time.Millisecond, 2, prefillTime},
	}
}

// Kademe is the first deployment's shape: scoring and a portal in İzmir.
func Kademe() Shape {
	return Shape{
		Pipeline:    Pipeline,
		Service:     "portal",
		DataCentres: []string{"bornova", "karsiyaka", "gaziemir"},
		VMs:         9,
		Services:    3,
		Engines:     unlikeEngines(),
	}
}

// Krishijot is the second deployment's shape: receipts and a ledger in Bengal.
func Krishijot() Shape {
	return Shape{
		Pipeline:    "receipts",
		Service:     "ledger",
		DataCentres: []string{"salt-lake", "rajarhat", "howrah"},
		VMs:         7,
		Services:    3,
		Engines:     unlikeEngines(),
	}
}

// engineName is the record's name of a data centre's engine, from 0.
func engineName(dataCentre string, index int) string {
	return fmt.Sprintf("%s-%d", dataCentre, index+1)
}
