package backends

import (
	"time"

	"oleandershunt.example/oleandershunt/internal/core/pace"
	"oleandershunt.example/oleandershunt/internal/core/routes"
)

// PromptCapacity returns what the engine's figures say about the prompts that the servers of a service
// can read. The rates of the servers that hold a layer add up, and the layer with the lowest sum bounds
// the service.
func (f *Fleet) PromptCapacity(now time.Duration, service routes.Service) pace.Capacity {
	engine := service.Engine
	// changes holds by layer how much its sum exceeds that of the layer before.
	changes := make([]float64, engine.Layers+1)
	var firstEvents time.Duration
	servers := 0
	for _, s := range f.index.sortedByID(f.servers) {
		if s.Service != service.Name || !engine.HasCard(s.Card) || !f.isEligible(now, s, Request{}) {
			continue
		}
		card, layers := engine.Cards[s.Card], 0
		for _, held := range s.LayerRanges {
			if engine.HasLayers(held.Layers) {
				layers += held.Layers.Len()
			}
		}
		rate := engine.ReadRate(card, layers)
		for _, held := range s.LayerRanges {
			if engine.HasLayers(held.Layers) {
				changes[held.Layers.From] += rate
				changes[held.Layers.To] -= rate
			}
		}
		firstEvents += engine.FirstEvent(card)
		servers++
	}
	sum := changes[0]
	least := sum
	for _, change := range changes[1:engine.Layers] {
		sum += change
		least = min(least, sum)
	}
	return pace.Capacity{
		PromptsPerSecond: max(least, 0) / float64(max(engine.TypicalPrompt, 1)),
		Unloaded:         firstEvents / time.Duration(max(servers, 1)),
		Part:             f.DemandPart(service.Name),
	}
}
