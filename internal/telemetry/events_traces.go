package telemetry

// The events of recording.
var (
	RecordingStarted    = Event{8001, "recording to a file"}
	RecordingNotWritten = Event{8002, "recording can't be written"}
)
