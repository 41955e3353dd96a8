package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"

	"oleandershunt.example/oleandershunt/internal/engine"
)

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order engine.Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil || order.ID == "" {
		refuse(w, http.StatusBadRequest, engine.RefusalInvalid, "body is not an order with an id")
		return
	}
	now, _ := e.faults.get()
	e.mu.Lock()
	defer e.mu.Unlock()
	stale := order.Fence < e.held.fence
	switch {
	case e.held.orders[order.ID]:
		return
	case stale && !now.IgnoreFences:
		refuse(w, http.StatusConflict, engine.RefusalStaleFence, "an order with fence "+strconv.FormatUint(e.held.fence, 10)+" was taken on")
		return
	case e.held.loading:
		refuse(w, http.StatusConflict, engine.RefusalBusy, "an order is in progress")
		return
	}
	if !e.takeOn(order) {
		refuse(w, http.StatusBadRequest, engine.RefusalInvalid, "unknown kind of order")
		return
	}
	e.held.fence = max(e.held.fence, order.Fence)
	e.held.orders[order.ID] = true
	e.counts.ordered(order, stale)
}

// takeOn starts to carry an order out. The engine's mutex is held.
func (e *Engine) takeOn(order engine.Order) bool {
	switch order.Kind {
	case engine.OrderLoad:
		e.held.loading = true
		go e.load(order)
	case engine.OrderAdapter:
		if !slices.Contains(e.held.adapters, order.Adapter) {
			e.held.adapters = append(slices.Clone(e.held.adapters), order.Adapter)
		}
	case engine.OrderRole:
		e.held.role = order.Role
	case engine.OrderLeave:
		e.held.leaving = true
	case engine.OrderJoin:
		e.held.leaving = false
	default:
		return false
	}
	return true
}

// load fetches the layers that aren't held and then holds them in place of the old.
func (e *Engine) load(order engine.Order) {
	if e.options.Weights != nil {
		if err := e.options.Weights.Fetch(context.Background(), e.missing(order)); err != nil {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.held.loading = false
			return
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.held.model = order.Model
	e.held.version = order.Version
	e.held.layers = order.Layers
	e.held.loading = false
	e.life.memory.Store(newMemory(e.options))
}

func (e *Engine) missing(order engine.Order) int {
	h := e.holding()
	if h.model != order.Model || h.version != order.Version {
		return order.Layers.Len()
	}
	shared := min(h.layers.To, order.Layers.To) - max(h.layers.From, order.Layers.From)
	return order.Layers.Len() - max(shared, 0)
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		refuse(w, http.StatusBadRequest, engine.RefusalInvalid, "after is not a sequence number")
		return
	}
	l := e.current()
	events, next := l.cached().eventsAfter(after, e.options.EventLag)
	writeJSON(w, engine.CacheEvents{Server: e.options.Server, Incarnation: l.incarnation, Events: events, Next: next})
}

func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	request := r.URL.Query().Get("request")
	kept, ok := e.current().cached().stream(request)
	if !ok {
		refuse(w, http.StatusNotFound, engine.RefusalAbsent, "no KV cache of this request")
		return
	}
	h := e.holding()
	writeJSON(w, engine.KV{
		Request: request, Model: h.model, Version: h.version,
		From: h.layers.From, To: h.layers.To,
		Positions: kept.positions, Data: encodeCache(kept),
	})
}

func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	var kv engine.KV
	if err := json.NewDecoder(r.Body).Decode(&kv); err != nil {
		refuse(w, http.StatusBadRequest, engine.RefusalInvalid, "body is not a KV cache: "+err.Error())
		return
	}
	h := e.holding()
	kept, ok := decodeCache(kv.Data)
	if !ok || kv.Model != h.model || kv.Version != h.version || kv.From != h.layers.From || kv.To != h.layers.To {
		refuse(w, http.StatusConflict, engine.RefusalMismatch, "KV cache is of another model, version or layer range")
		return
	}
	e.current().cached().keep(kv.Request, kept)
}
