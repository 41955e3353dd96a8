package telemetry

// The events of placement.
var (
	OrderGiven       = Event{7001, "order given to a backend server"}
	PlacementChanged = Event{7002, "placement changed"}
)
