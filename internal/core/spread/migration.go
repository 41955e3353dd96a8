package spread

import (
	"cmp"
	"slices"

	"oleandershunt.example/oleandershunt/api"
	"oleandershunt.example/oleandershunt/internal/core/routes"
)

// MigrationOrders returns the orders that can be issued now to move servers from what they hold
// to the layout that suits them. A server that has to move first grows to hold both ranges if
// its memory allows it, and shrinks once other servers hold what it drops. No order removes the
// last copy of a layer, unless some layer has no copy already and the servers are deadlocked,
// each waiting for another to take over its layers.
func MigrationOrders(engine *routes.Engine, servers []Server) []Order {
	servers = ofModel(engine, servers)
	counts := Copies(engine, servers)
	covered := !slices.Contains(counts, 0)
	var safe, stuck []Order
	loading := false
	for _, target := range reassign(servers, Layout(engine, servers)) {
		at := slices.IndexFunc(servers, func(s Server) bool { return s.ID == target.Server })
		s := servers[at]
		loading = loading || s.Loading
		if s.Lost || s.Loading || s.Held == target.Layers {
			continue
		}
		to, ok := nextRange(engine, counts, s, target.Layers)
		if !ok || to == s.Held {
			stuck = append(stuck, target)
			continue
		}
		removeDropped(counts, s.Held, to)
		safe = append(safe, Order{Server: s.ID, Layers: to})
	}
	if len(safe) == 0 && !loading && !covered {
		return stuck
	}
	return safe
}

// removeDropped subtracts a copy of each layer that a server drops when it changes ranges.
func removeDropped(counts []int, held, to api.Layers) {
	for layer := held.From; layer < held.To; layer++ {
		if layer < to.From || layer >= to.To {
			counts[layer]--
		}
	}
}

// nextRange returns the range that a server may change to next on the way to its target.
func nextRange(engine *routes.Engine, counts []int, s Server, target api.Layers) (api.Layers, bool) {
	if s.Held.Len() == 0 {
		return target, true
	}
	if droppable(counts, s.Held, target) {
		return target, true
	}
	hull := api.Layers{From: min(s.Held.From, target.From), To: max(s.Held.To, target.To)}
	touching := s.Held.From <= target.To && target.From <= s.Held.To
	limit := fillTransition
	if slices.Contains(counts[hull.From:hull.To], 0) {
		limit = fillUncovered
	}
	if touching && hull.Len() <= int(limit*float64(engine.MaxLayers(s.Card))) {
		return hull, true
	}
	return api.Layers{}, false
}

// droppable reports whether every layer that a server would drop has another copy.
func droppable(counts []int, held, target api.Layers) bool {
	for layer := held.From; layer < min(held.To, len(counts)); layer++ {
		if (layer < target.From || layer >= target.To) && counts[layer] < 2 {
			return false
		}
	}
	return true
}

// reassign swaps the ranges of a layout among servers with the same card, so that few layers
// have to be loaded.
func reassign(servers []Server, orders []Order) []Order {
	matched := slices.Clone(orders)
	slices.SortStableFunc(matched, func(a, b Order) int { return cmp.Compare(a.Layers.From, b.Layers.From) })
	holders := make(map[string]Server, len(servers))
	for _, s := range servers {
		holders[s.ID] = s
	}
	// Positions in matched by card, each with what its server holds: hundreds of servers make
	// hundreds of thousands of pairs.
	byCard := make(map[routes.Card][]int)
	held := make([]api.Layers, len(matched))
	for i, order := range matched {
		s := holders[order.Server]
		byCard[s.Card], held[i] = append(byCard[s.Card], i), s.planned()
	}
	for _, positions := range byCard {
		for swapAll(matched, held, positions) {
		}
	}
	return matched
}

// swapAll swaps the servers of each pair of positions that gains by it, and reports whether any did.
func swapAll(matched []Order, held []api.Layers, positions []int) (swapped bool) {
	for at, i := range positions {
		for _, j := range positions[at+1:] {
			if swapGain(held[i], held[j], matched[i].Layers, matched[j].Layers) > 0 {
				matched[i].Server, matched[j].Server = matched[j].Server, matched[i].Server
				held[i], held[j] = held[j], held[i]
				swapped = true
			}
		}
	}
	return swapped
}

// swapGain returns how many fewer layers are loaded if two servers, given by what they hold, swap
// their ranges.
func swapGain(heldA, heldB, forA, forB api.Layers) int {
	return overlap(heldA, forB) + overlap(heldB, forA) - overlap(heldA, forA) - overlap(heldB, forB)
}

func overlap(a, b api.Layers) int { return a.Overlap(b).Len() }

// Covered reports whether requests can use every layer.
func Covered(engine *routes.Engine, servers []Server) bool {
	return !slices.Contains(Copies(engine, servers), 0)
}
