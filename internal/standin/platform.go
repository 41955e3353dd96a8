package standin

import (
	"encoding/json"
	"io"
	"net"
	"net/http"

	"oleandershunt.example/oleandershunt/internal/platform"
)

// Platform is the platform's object API, in memory. Faults are set by its
// methods, or over HTTP under /standin/ by tests of real processes.
type Platform struct {
	listener net.Listener
	server   *http.Server
	store    *store
	vms      *vmList
	faults   *platformFaults
}

// StartPlatform serves an empty store on the listener.
func StartPlatform(listener net.Listener) *Platform {
	p := &Platform{
		listener: listener,
		store:    newStore(),
		vms:      newVMList(),
		faults:   newPlatformFaults(),
	}
	api := http.NewServeMux()
	api.HandleFunc("GET "+platform.PathObjects+"{kind}", p.serveList)
	api.HandleFunc("GET "+platform.PathObjects+"{kind}/{name}", p.serveGet)
	api.HandleFunc("PUT "+platform.PathObjects+"{kind}/{name}", p.servePut)
	api.HandleFunc("DELETE "+platform.PathObjects+"{kind}/{name}", p.serveDelete)
	api.HandleFunc("GET "+platform.PathWatch+"{kind}", p.serveWatch)
	api.HandleFunc("GET "+platform.PathVMs, p.serveVMs)
	root := http.NewServeMux()
	root.Handle("/", p.faults.wrap(api))
	p.mountControl(root)
	p.server = &http.Server{Handler: root}
	go func() { _ = p.server.Serve(listener) }()
	return p
}

// URL is the base URL for clients.
func (p *Platform) URL() string { return "http://" + p.listener.Addr().String() }

// Stop ends the service at once.
func (p *Platform) Stop() { _ = p.server.Close() }

func (p *Platform) serveVMs(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(p.vms.visible())
}

func (p *Platform) serveList(w http.ResponseWriter, r *http.Request) {
	kind, prefix := r.PathValue("kind"), r.URL.Query().Get("prefix")
	source := p.store
	if stale := p.faults.staleStore(r); stale != nil {
		source = stale
	}
	_ = json.NewEncoder(w).Encode(source.list(kind, prefix))
}

func (p *Platform) serveGet(w http.ResponseWriter, r *http.Request) {
	object, ok := p.store.get(r.PathValue("kind"), r.PathValue("name"))
	if !ok {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	_ = json.NewEncoder(w).Encode(object)
}

func (p *Platform) servePut(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(io.LimitReader(r.Body, platform.MaxValueBytes+1))
	if err != nil || len(value) > platform.MaxValueBytes {
		http.Error(w, "value is larger than the limit", http.StatusRequestEntityTooLarge)
		return
	}
	if !json.Valid(value) {
		http.Error(w, "value is not JSON", http.StatusBadRequest)
		return
	}
	object, ok := p.store.put(platform.Object{
		Kind:    r.PathValue("kind"),
		Name:    r.PathValue("name"),
		WriteID: r.Header.Get(platform.HeaderWriteID),
		Value:   value,
	}, conditionOf(r.Header))
	if !ok {
		http.Error(w, "version is "+object.Version.String(), http.StatusPreconditionFailed)
		return
	}
	_ = json.NewEncoder(w).Encode(object)
}

func (p *Platform) serveDelete(w http.ResponseWriter, r *http.Request) {
	current, existed, ok := p.store.remove(r.PathValue("kind"), r.PathValue("name"), conditionOf(r.Header))
	switch {
	case !existed:
		http.Error(w, "no such object", http.StatusNotFound)
	case !ok:
		http.Error(w, "version is "+current.Version.String(), http.StatusPreconditionFailed)
	}
}

// conditionOf reads a write's condition from its headers.
func conditionOf(header http.Header) condition {
	return condition{absent: header.Get("If-None-Match") == "*", version: header.Get("If-Match")}
}
