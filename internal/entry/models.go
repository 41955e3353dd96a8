package entry

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
)

// modelEntry and modelList follow the convention of the callers' client libraries.
type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

// serveModels lists the pipelines that the caller's account may call.
func (s *Server) serveModels(w http.ResponseWriter, r *http.Request) {
	set := s.set.Load()
	account, problem := authenticate(set, r)
	if problem != nil {
		s.reject(w, problem)
		return
	}
	spec, _ := set.Account(account)
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, name := range slices.Sorted(maps.Keys(set.Pipelines)) {
		if mayCall(spec, name) {
			list.Data = append(list.Data, modelEntry{ID: name, Object: "model", OwnedBy: "oleandershunt"})
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
}
