package telemetry

// The events of configuration.
var (
	ReleaseAccepted   = Event{2010, "release accepted"}
	ReleaseLostRace   = Event{2011, "another VM accepted first"}
	RecordRefused     = Event{2012, "record refused"}
	RecordPending     = Event{2013, "record pending: some VM can't read it"}
	ReleaseUnreadable = Event{2014, "release can't be read"}
	ReleaseForked     = Event{2015, "two releases have one number"}
	AcceptanceFailed  = Event{2016, "records could not be accepted"}
	PagesSwept        = Event{2017, "pages deleted that no kept release has"}
	StatusNotWritten  = Event{2018, "status could not be written"}
	DeltaRefused      = Event{2019, "delta of a release can't be used"}

	RequestNotExplained = Event{2020, "question about a request could not be answered"}
)
