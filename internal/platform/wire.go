package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"oleandershunt.example/oleandershunt/internal/core/history"
)

// Wire encodes and sends single calls to an object API, and makes the typed
// errors of this package of its answers. It keeps no state, repeats nothing and
// sets no time limits: the Client does.
type Wire interface {
	// Get reads one object.
	Get(ctx context.Context, kind, name string) (Object, error)
	// List reads the objects of a kind whose names start with prefix, and passes
	// each to a function, which may change it, before the next one is kept.
	List(ctx context.Context, kind, prefix string, each func(*Object)) (List, error)
	// Put sends a conditional write.
	Put(ctx context.Context, write Write, value []byte) (Object, error)
	// Delete sends a conditional removal.
	Delete(ctx context.Context, write Write) error
	// Watch passes changes and bookmarks on until ctx ends, the watch breaks or
	// handle fails. It always returns an error.
	Watch(ctx context.Context, watch Watch, handle func(WatchEvent) error) error
}

// VMLister is a Wire whose platform keeps a list of VMs.
type VMLister interface {
	VMs(ctx context.Context) ([]VM, error)
}

// Write is one conditional write, sent as often as needed under one id.
type Write struct {
	Kind, Name string
	// Version is the version that the object must have; 0 for a create.
	Version history.Version
	// ID is the writer's own name of the write. The object shows it afterwards.
	ID string
	// deletes says that the object is removed.
	deletes bool
}

// Watch says what is watched.
type Watch struct {
	Kind, Prefix string
	// Version is the last version that has been seen.
	Version history.Version
	// Bookmark is how often a bookmark is wanted though nothing changed.
	Bookmark time.Duration
	// Gather is how long a wire that asks anew for each batch of changes waits after one,
	// so that the next brings more of them. A wire whose watch is one call ignores it.
	Gather time.Duration
}

// ownWire speaks the product's own object API: HTTP with JSON.
type ownWire struct {
	base string
	vm   string
	http *http.Client
}

// Get implements Wire.
func (w *ownWire) Get(ctx context.Context, kind, name string) (Object, error) {
	var object Object
	err := w.exchange(ctx, http.MethodGet, objectPath(kind, name), nil, nil, &object)
	return object, err
}

// List implements Wire.
func (w *ownWire) List(ctx context.Context, kind, prefix string, each func(*Object)) (List, error) {
	reader := listReader{each: each}
	path := PathObjects + url.PathEscape(kind) + "?prefix=" + url.QueryEscape(prefix)
	err := w.exchange(ctx, http.MethodGet, path, nil, nil, &reader)
	return reader.list, err
}

// Put implements Wire.
func (w *ownWire) Put(ctx context.Context, write Write, value []byte) (Object, error) {
	var object Object
	err := w.exchange(ctx, http.MethodPut, objectPath(write.Kind, write.Name), write.header(), value, &object)
	return object, err
}

// Delete implements Wire.
func (w *ownWire) Delete(ctx context.Context, write Write) error {
	return w.exchange(ctx, http.MethodDelete, objectPath(write.Kind, write.Name), write.header(), nil, nil)
}

// VMs implements VMLister.
func (w *ownWire) VMs(ctx context.Context) ([]VM, error) {
	var vms []VM
	err := w.exchange(ctx, http.MethodGet, PathVMs, nil, nil, &vms)
	return vms, err
}

// Watch implements Wire.
func (w *ownWire) Watch(ctx context.Context, watch Watch, handle func(WatchEvent) error) error {
	query := url.Values{
		"from":     {strconv.FormatUint(uint64(watch.Version), 10)},
		"prefix":   {watch.Prefix},
		"bookmark": {watch.Bookmark.String()},
	}
	response, err := w.send(ctx, http.MethodGet, PathWatch+url.PathEscape(watch.Kind)+"?"+query.Encode(), nil, nil)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	lines := json.NewDecoder(response.Body)
	for {
		var event WatchEvent
		if err := lines.Decode(&event); err != nil {
			return fmt.Errorf("%w: watch ended: %w", ErrUnavailable, err)
		}
		if err := handle(event); err != nil {
			return err
		}
	}
}

func (w Write) header() http.Header {
	header := http.Header{HeaderWriteID: {w.ID}}
	if w.Version == 0 {
		header.Set("If-None-Match", "*")
		return header
	}
	header.Set("If-Match", strconv.FormatUint(uint64(w.Version), 10))
	return header
}

func (w *ownWire) exchange(ctx context.Context, verb, path string, header http.Header, body []byte, into any) error {
	response, err := w.send(ctx, verb, path, header, body)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if into == nil {
		return nil
	}
	if err := decode(json.NewDecoder(response.Body), into); err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return nil
}

// streamReader reads an answer piece by piece.
type streamReader interface {
	read(*json.Decoder) error
}

func decode(decoder *json.Decoder, into any) error {
	if reader, ok := into.(streamReader); ok {
		return reader.read(decoder)
	}
	return decoder.Decode(into)
}

// send returns the answer if its status is 200; the caller closes its body.
func (w *ownWire) send(ctx context.Context, verb, path string, header http.Header, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, verb, w.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrRefused, err)
	}
	if header != nil {
		request.Header = header.Clone()
	}
	if w.vm != "" {
		request.Header.Set(HeaderVM, w.vm)
	}
	response, err := w.http.Do(request)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	if response.StatusCode != http.StatusOK {
		defer response.Body.Close()
		return nil, statusError(response)
	}
	return response, nil
}

func statusError(response *http.Response) error {
	message, _ := io.ReadAll(io.LimitReader(response.Body, 1<<10))
	kind := ErrUnavailable
	switch response.StatusCode {
	case http.StatusNotFound:
		kind = ErrNotFound
	case http.StatusConflict, http.StatusPreconditionFailed:
		kind = ErrConflict
	case http.StatusGone:
		kind = ErrCompacted
	case http.StatusTooManyRequests:
		kind = ErrThrottled
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		kind = ErrRefused
	}
	return fmt.Errorf("%w: status %d: %s", kind, response.StatusCode, bytes.TrimSpace(message))
}

func objectPath(kind, name string) string {
	return PathObjects + url.PathEscape(kind) + "/" + url.PathEscape(name)
}
