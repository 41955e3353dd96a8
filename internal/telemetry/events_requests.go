package telemetry

// Events of requests: 4xxx.
var (
	BodyCondemned = Event{4101, "request body is refused: it crashed the backend servers that ran it"}
	BodySuspected = Event{4102, "request body is suspected of crashing backend servers"}
)
