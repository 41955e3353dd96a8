package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
)

// List reads all objects of a kind whose names start with prefix.
func (c *Client) List(ctx context.Context, kind, prefix string) (List, error) {
	return c.listEach(ctx, kind, prefix, func(*Object) {})
}

// listEach reads a list and passes each object to a function, which may change
// it, before the next one is read.
func (c *Client) listEach(ctx context.Context, kind, prefix string, each func(*Object)) (List, error) {
	var list List
	err := c.call(ctx, MethodList, kind, func(ctx context.Context) (err error) {
		list, err = c.wire.List(ctx, kind, prefix, func(object *Object) {
			if object.Kind == kind {
				// One string for all objects, in place of one for each.
				object.Kind = kind
			}
			each(object)
		})
		return err
	})
	return list, err
}

// listReader reads the JSON of a List object by object. Decoded as one value, a
// list of tens of thousands of objects would be held whole as text beside its
// objects, several times the size of what is kept of it.
type listReader struct {
	list List
	each func(*Object)
}

// read implements streamReader.
func (r *listReader) read(decoder *json.Decoder) error {
	if err := expect(decoder, json.Delim('{')); err != nil {
		return err
	}
	for decoder.More() {
		name, err := decoder.Token()
		if err != nil {
			return err
		}
		if err := r.field(decoder, name); err != nil {
			return err
		}
	}
	return expect(decoder, json.Delim('}'))
}

func (r *listReader) field(decoder *json.Decoder, name json.Token) error {
	text, _ := name.(string)
	switch strings.ToLower(text) {
	case "version":
		return decoder.Decode(&r.list.Version)
	case "items":
		return r.items(decoder)
	default:
		var unknown json.RawMessage
		return decoder.Decode(&unknown)
	}
}

func (r *listReader) items(decoder *json.Decoder) error {
	start, err := decoder.Token()
	if err != nil || start == nil {
		// An empty list may be written as null.
		return err
	}
	if start != json.Delim('[') {
		return fmt.Errorf("items of the list start with %v", start)
	}
	for decoder.More() {
		var object Object
		if err := decoder.Decode(&object); err != nil {
			return err
		}
		r.each(&object)
		r.list.Items = append(r.list.Items, object)
	}
	return expect(decoder, json.Delim(']'))
}

func expect(decoder *json.Decoder, delimiter json.Delim) error {
	token, err := decoder.Token()
	if err != nil {
		return err
	}
	if token != delimiter {
		return fmt.Errorf("%v stands where %v should", token, delimiter)
	}
	return nil
}
