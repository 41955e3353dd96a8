package backends

import (
	"cmp"
	"math"
	"time"

	"oleandershunt.example/oleandershunt/internal/core/demand"
	"oleandershunt.example/oleandershunt/internal/core/division"
	"oleandershunt.example/oleandershunt/internal/core/routes"
)

// siteKey identifies the servers that can make up complete paths within a data centre.
type siteKey struct {
	service, dataCentre string
	version             int
}

// layerRates are the requests per second that servers can take, and the free part of it, by layer.
type layerRates struct{ total, free []float64 }

// Capacities returns the capacity of services in each data centre: for services with an engine in
// tokens of work per second, and for plain ones in slots. Servers that get no new requests don't
// count.
func (f *Fleet) Capacities(now time.Duration, services []routes.Service) map[string]division.ServiceCapacity {
	capacities := make(map[string]division.ServiceCapacity, len(services))
	engines := make(map[string]*routes.Engine, len(services))
	for _, service := range services {
		engines[service.Name] = service.Engine
		capacities[service.Name] = division.ServiceCapacity{Sites: make(map[string]division.Capacity), Plain: service.Engine == nil}
	}
	rates := make(map[siteKey]layerRates)
	for _, s := range f.servers {
		engine, known := engines[s.Service]
		if !known || s.Draining || f.isExpired(now, s) || now < max(s.suspectUntil, s.silentUntil) || f.isPaused(now, s.ID, Request{}) {
			continue
		}
		if engine == nil {
			f.addSlots(now, s, capacities[s.Service].Sites)
			continue
		}
		f.addRates(now, s, engine, rates)
	}
	for key, byLayer := range rates {
		addComplete(capacities[key.service].Sites, key.dataCentre, engines[key.service], byLayer)
	}
	return capacities
}

// addSlots adds the slots of a plain service's server to its data centre.
func (f *Fleet) addSlots(now time.Duration, s *serverState, sites map[string]division.Capacity) {
	slots := float64(max(s.Slots, 1))
	site := sites[s.DataCentre]
	site.Total += slots
	if !s.isFull(now) {
		site.Free += max(slots-float64(f.expectedRunning(s)), 0)
	}
	sites[s.DataCentre] = site
}

// addRates adds what a server can take to each of its layers.
func (f *Fleet) addRates(now time.Duration, s *serverState, engine *routes.Engine, rates map[siteKey]layerRates) {
	if !engine.HasCard(s.Card) {
		return
	}
	for _, held := range s.LayerRanges {
		if !engine.HasLayers(held.Layers) {
			continue
		}
		total, first := f.requestRates(now, s, engine, held)
		if total <= 0 {
			continue
		}
		free, freeFirst := 0.0, 0.0
		if !s.isFull(now) {
			free = total * max(1-f.memoryUsed(s)/s.requestCapacity(engine, held), 0)
			freeFirst = min(free, first*f.freeSlots(s))
		}
		key := siteKey{service: s.Service, dataCentre: s.DataCentre, version: held.Version}
		byLayer, ok := rates[key]
		if !ok {
			byLayer = layerRates{total: make([]float64, engine.Layers), free: make([]float64, engine.Layers)}
			rates[key] = byLayer
		}
		for layer := held.Layers.From; layer < held.Layers.To; layer++ {
			if layer == 0 {
				byLayer.total[layer] += first
				byLayer.free[layer] += freeFirst
				continue
			}
			byLayer.total[layer] += total
			byLayer.free[layer] += free
		}
	}
}

// requestRates returns the typical requests per second that a server can take in a range of layers,
// and those that can start there. They are limited by the memory for requests, the time that a
// request spends in a full batch, the rate at which the server reads prompts, and its slots.
func (f *Fleet) requestRates(now time.Duration, s *serverState, engine *routes.Engine, held LayerRange) (total, first float64) {
	layers := float64(held.Layers.Len())
	if layers <= 0 || engine.Layers <= 0 {
		return 0, 0
	}
	card, pace := engine.Cards[s.Card], s.currentPace(now)
	typical := Request{Prompt: float64(engine.TypicalPrompt), Answer: float64(engine.TypicalAnswer)}
	batch := s.requestCapacity(engine, held) / engine.TypicalTokens() / layers
	seconds := requestMillis(engine, card, engine.StepTime(batch), typical) / 1000 * pace
	if seconds <= 0 || batch <= 0 {
		return 0, 0
	}
	total = batch / seconds
	if read := typical.Prompt * max(card.Read, routes.MinCardFactor) * pace * layers / float64(engine.Layers); engine.ReadPerSecond > 0 && read > 0 {
		total = min(total, engine.ReadPerSecond/read)
	}
	first = total
	if s.Slots > 0 {
		first = min(first, float64(s.Slots)/seconds)
	}
	return total, first
}

// freeSlots returns the fraction of a server's slots that is free.
func (f *Fleet) freeSlots(s *serverState) float64 {
	if s.Slots <= 0 {
		return 1
	}
	return max(1-float64(f.expectedRunning(s))/float64(s.Slots), 0)
}

// addComplete sets the capacity of a data centre to that of complete paths, of the version of the
// weights that has the most.
func addComplete(sites map[string]division.Capacity, dataCentre string, engine *routes.Engine, rates layerRates) {
	total, free := math.Inf(1), math.Inf(1)
	for layer := range rates.total {
		total, free = min(total, rates.total[layer]), min(free, rates.free[layer])
	}
	work := demand.Work(float64(engine.TypicalPrompt), float64(engine.TypicalAnswer))
	capacity := division.Capacity{Total: total * work, Free: min(free, total) * work}
	if known, ok := sites[dataCentre]; !ok || cmp.Or(cmp.Compare(capacity.Total, known.Total), cmp.Compare(capacity.Free, known.Free)) > 0 {
		sites[dataCentre] = capacity
	}
}
