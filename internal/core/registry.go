package core

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"

	"github.com/rotisserie/eris"
)

// ErrUnknownMessage is returned for an event or action name that this program
// has no type for.
var ErrUnknownMessage = eris.New("message name is not known: replay the trace with the version that recorded it, or later")

// ErrMessageBody is returned for a body that does not decode into the message's
// type. An unknown field is an error, since ignoring it could silently change a
// decision.
var ErrMessageBody = eris.New("message body does not fit its name: correct the line")

// eventTypes and actionTypes map names to types. They are filled during package
// initialisation and not changed afterwards.
var (
	eventTypes  = make(map[string]reflect.Type)
	actionTypes = make(map[string]reflect.Type)
)

// registerEvents registers event types by name. Each file registers the events
// that it declares; TestEveryMessageIsRegistered fails if one is missing.
func registerEvents(events ...Event) struct{} {
	for _, event := range events {
		register(eventTypes, event.EventName(), reflect.TypeOf(event))
	}
	return struct{}{}
}

// registerActions registers action types by name, like registerEvents.
func registerActions(actions ...Action) struct{} {
	for _, action := range actions {
		register(actionTypes, action.ActionName(), reflect.TypeOf(action))
	}
	return struct{}{}
}

func register(types map[string]reflect.Type, name string, message reflect.Type) {
	if other, taken := types[name]; taken {
		panic(fmt.Sprintf("core: %v and %v share the message name %q", other, message, name))
	}
	types[name] = message
}

// DecodeEvent decodes the JSON body of the named event. An error wraps
// ErrUnknownMessage or ErrMessageBody.
func DecodeEvent(name string, body []byte) (Event, error) {
	value, err := decodeMessage(eventTypes, name, body)
	if err != nil {
		return nil, err
	}
	return value.Interface().(Event), nil
}

// DecodeAction decodes the JSON body of the named action. An error wraps
// ErrUnknownMessage or ErrMessageBody.
func DecodeAction(name string, body []byte) (Action, error) {
	value, err := decodeMessage(actionTypes, name, body)
	if err != nil {
		return nil, err
	}
	return value.Interface().(Action), nil
}

func decodeMessage(types map[string]reflect.Type, name string, body []byte) (reflect.Value, error) {
	message, ok := types[name]
	if !ok {
		return reflect.Value{}, eris.Wrapf(ErrUnknownMessage, "%q", name)
	}
	value := reflect.New(message)
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value.Interface()); err != nil {
		return reflect.Value{}, eris.Wrapf(ErrMessageBody, "%s: %v", name, err)
	}
	if decoder.More() {
		return reflect.Value{}, eris.Wrapf(ErrMessageBody, "%s: more than one value", name)
	}
	return value.Elem(), nil
}
