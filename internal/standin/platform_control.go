package standin

import (
	"encoding/json"
	"fmt"
	"net/http"

	"oleandershunt.example/oleandershunt/internal/platform"
)

// The paths by which faults are caused over HTTP.
const (
	// PathFaults takes PUT with PlatformFaults as JSON; ?vm=NAME narrows it to one VM.
	PathFaults = "/standin/faults"
	// PathCompact takes POST and forgets the history of changes.
	PathCompact = "/standin/compact"
	// PathCalls answers GET with the counts of calls.
	PathCalls = "/standin/calls"
	// PathListedVM takes PUT with a platform.VM as JSON, and DELETE.
	PathListedVM = "/standin/vms/"
)

func (p *Platform) mountControl(mux *http.ServeMux) {
	mux.HandleFunc("PUT "+PathFaults, p.controlFaults)
	mux.HandleFunc("POST "+PathCompact, func(http.ResponseWriter, *http.Request) { p.Compact() })
	mux.HandleFunc("GET "+PathCalls, func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(p.Calls())
	})
	mux.HandleFunc("PUT "+PathListedVM+"{name}", p.controlVM)
	mux.HandleFunc("DELETE "+PathListedVM+"{name}", func(_ http.ResponseWriter, r *http.Request) {
		p.RemoveVM(r.PathValue("name"))
	})
}

func (p *Platform) controlFaults(w http.ResponseWriter, r *http.Request) {
	var faults PlatformFaults
	if !readStrict(w, r, &faults) {
		return
	}
	p.SetFaults(r.URL.Query().Get("vm"), faults)
}

func (p *Platform) controlVM(w http.ResponseWriter, r *http.Request) {
	var vm platform.VM
	if !readStrict(w, r, &vm) {
		return
	}
	vm.Name = r.PathValue("name")
	p.SetVM(vm)
}

func readStrict(w http.ResponseWriter, r *http.Request, into any) bool {
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		http.Error(w, fmt.Sprintf("body is not understood: %v", err), http.StatusBadRequest)
		return false
	}
	return true
}
