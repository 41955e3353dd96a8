package operator

import (
	"context"
	"encoding/json"
	"errors"
	"strings"

	"github.com/rotisserie/eris"

	"oleandershunt.example/oleandershunt/api"
	"oleandershunt.example/oleandershunt/internal/core/history"
	"oleandershunt.example/oleandershunt/internal/platform"
)

// ErrUnknownKind marks a kind that is not one of the records'.
var ErrUnknownKind = eris.New("unknown kind: use Model, Pipeline, BackendServer, Route, ClientAccount, Release or Status")

// Client reads and writes records in the platform.
type Client struct {
	platform *platform.Client
}

// New makes a client.
func New(client *platform.Client) *Client { return &Client{platform: client} }

// Stored is a record as it stands in the platform.
type Stored struct {
	Document api.Document `json:"record"`
	// Version is the platform's version of it.
	Version history.Version `json:"version"`
}

// ParseKind finds a kind by name, in any case and also in the plural.
func ParseKind(name string) (api.Kind, error) {
	kinds := append(api.OperatorKinds(), api.KindRelease, api.KindStatus)
	for _, kind := range kinds {
		if strings.EqualFold(name, string(kind)) || strings.EqualFold(name, string(kind)+"s") {
			return kind, nil
		}
	}
	return "", eris.Wrapf(ErrUnknownKind, "%q", name)
}

// Get reads one record.
func (c *Client) Get(ctx context.Context, kind api.Kind, name string) (Stored, error) {
	object, err := c.platform.Get(ctx, string(kind), name)
	if err != nil {
		return Stored{}, eris.Wrap(err, api.Key(kind, name))
	}
	return stored(object)
}

// List reads the records of a kind in order of name.
func (c *Client) List(ctx context.Context, kind api.Kind) ([]Stored, error) {
	list, err := c.platform.List(ctx, string(kind), "")
	if err != nil {
		return nil, err
	}
	records := make([]Stored, 0, len(list.Items))
	for _, object := range list.Items {
		record, err := stored(object)
		if err != nil {
			return nil, err
		}
		records = append(records, record)
	}
	return records, nil
}

func stored(object platform.Object) (Stored, error) {
	var document api.Document
	if err := json.Unmarshal(object.Value, &document); err != nil {
		return Stored{}, eris.Wrapf(api.ErrMalformed, "%s/%s: %v", object.Kind, object.Name, err)
	}
	return Stored{Document: document, Version: object.Version}, nil
}

// Object reads any object as it stands, and false when there is none.
func (c *Client) Object(ctx context.Context, kind api.Kind, name string, into any) (bool, error) {
	object, err := c.platform.Get(ctx, string(kind), name)
	if errors.Is(err, platform.ErrNotFound) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	return true, json.Unmarshal(object.Value, into)
}

// Objects reads all objects of a kind as they stand.
func (c *Client) Objects(ctx context.Context, kind api.Kind, prefix string) ([]platform.Object, error) {
	list, err := c.platform.List(ctx, string(kind), prefix)
	return list.Items, err
}

// Status reads the status of the configuration. It is empty before the first.
func (c *Client) Status(ctx context.Context) (api.ConfigurationStatus, error) {
	var status api.ConfigurationStatus
	_, err := c.Object(ctx, api.KindStatus, api.StatusConfiguration, &status)
	return status, err
}
