// Package telemetry is what a VM tells of itself: numbered log events, metrics and traces.
package telemetry

import "github.com/go-logr/logr"

// Event is a numbered log event. docs/EVENTS.md has a line for each.
type Event struct {
	// Number is unique and never reused.
	Number int
	// Message is the constant text of the event.
	Message string
}

// The events.
var (
	VMStarted      = Event{1001, "VM started"}
	VMStopping     = Event{1002, "VM stopping"}
	ConfigInForce  = Event{2001, "configuration in force"}
	PlatformLost   = Event{3001, "platform does not answer"}
	PlatformBack   = Event{3002, "platform answers again"}
	PlatformCopied = Event{3004, "platform came back from a copy: its revisions begin another history"}
	PlatformOlder  = Event{3003, "platform's answer is older than what was seen; it is not used"}
)

// Log writes an event at the normal level.
func (e Event) Log(log logr.Logger, keysAndValues ...any) {
	log.Info(e.Message, append([]any{"event", e.Number}, keysAndValues...)...)
}

// Fail writes an event as an error.
func (e Event) Fail(log logr.Logger, err error, keysAndValues ...any) {
	log.Error(err, e.Message, append([]any{"event", e.Number}, keysAndValues...)...)
}

// Cause is the text of an error for a field of a line. Empty for none.
func Cause(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
