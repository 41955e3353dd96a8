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

// Wire encodes and sends single calls to an object API, and maps error responses to
// the typed errors of this package. Retries, budgets and timeouts are the Client's.
type Wire interface {
	// Get reads one object.
	Get(ctx context.Context, kind, name string) (Object, error)
	// List reads the objects of a kind whose names start with prefix. It calls each
	// for every object before storing it; each may modify the object.
	List(ctx context.Context, kind, prefix string, each func(*Object)) (List, error)
	// Put sends a conditional write.
	Put(ctx context.Context, write Write, value []byte) (Object, error)
	// Delete sends a conditional delete.
	Delete(ctx context.Context, write Write) error
	// Watch passes changes and bookmarks to handle until ctx ends, the watch fails
	// or handle fails. It always returns a non-nil error.
	Watch(ctx context.Context, watch Watch, handle func(WatchEvent) error) error
}

// VMLister is implemented by a Wire whose platform has a list of VMs.
type VMLister interface {
	VMs(ctx context.Context) ([]VM, error)
}

// Write is one conditional write. Retries carry the same ID.
type Write struct {
	Kind, Name string
	// Version is the version that the object must have, or 0 to create it.
	Version history.Version
	// ID identifies the write. It is stored in the object.
	ID string
	// isDelete marks a delete.
	isDelete bool
}

// Watch holds the parameters of a watch.
type Watch struct {
	Kind, Prefix string
	// Version is the last version seen; the watch starts after it.
	Version history.Version
	// Bookmark is the interval of bookmarks while nothing changes.
	Bookmark time.Duration
	// Gather is how long a polling Wire waits after a batch of changes, so that the next
	// batch is larger. A Wire whose watch is a single call ignores it.
	Gather time.Duration
}

// httpWire implements Wire for the built-in object API: HTTP with JSON.
type httpWire struct {
	base string
	vm   string
	http *http.Client
}

// Get implements Wire.
func (w *httpWire) Get(ctx context.Context, kind, name string) (Object, error) {
	var object Object
	err := w.exchange(ctx, http.MethodGet, objectPath(kind, name), nil, nil, &object)
	return object, err
}

// List implements Wire.
func (w *httpWire) List(ctx context.Context, kind, prefix string, each func(*Object)) (List, error) {
	reader := listReader{each: each}
	path := PathObjects + url.PathEscape(kind) + "?prefix=" + url.QueryEscape(prefix)
	err := w.exchange(ctx, http.MethodGet, path, nil, nil, &reader)
	return reader.list, err
}

// Put implements Wire.
func (w *httpWire) Put(ctx context.Context, write Write, value []byte) (Object, error) {
	var object Object
	err := w.exchange(ctx, http.MethodPut, objectPath(write.Kind, write.Name), write.header(), value, &object)
	return object, err
}

// Delete implements Wire.
func (w *httpWire) Delete(ctx context.Context, write Write) error {
	return w.exchange(ctx, http.MethodDelete, objectPath(write.Kind, write.Name), write.header(), nil, nil)
}

// VMs implements VMLister.
func (w *httpWire) VMs(ctx context.Context) ([]VM, error) {
	var vms []VM
	err := w.exchange(ctx, http.MethodGet, PathVMs, nil, nil, &vms)
	return vms, err
}

// Watch implements Wire.
func (w *httpWire) Watch(ctx context.Context, watch Watch, handle func(WatchEvent) error) error {
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

func (w *httpWire) exchange(ctx context.Context, verb, path string, header http.Header, body []byte, result any) error {
	response, err := w.send(ctx, verb, path, header, body)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if result == nil {
		return nil
	}
	if err := decode(json.NewDecoder(response.Body), result); err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return nil
}

// streamReader decodes a response incrementally.
type streamReader interface {
	read(*json.Decoder) error
}

func decode(decoder *json.Decoder, result any) error {
	if reader, ok := result.(streamReader); ok {
		return reader.read(decoder)
	}
	return decoder.Decode(result)
}

// send returns the response if its status is 200; the caller closes its body.
func (w *httpWire) send(ctx context.Context, verb, path string, header http.Header, body []byte) (*http.Response, error) {
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
