package telemetry

// The events of routing.
var (
	PipelineBroken = Event{6401, "pipeline has no path"}
	PipelineWhole  = Event{6402, "pipeline has a path again"}
)
