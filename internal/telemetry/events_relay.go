package telemetry

// Events of requests that are forwarded as they are: 42xx.
var (
	RelayRefused        = Event{4201, "request refused"}
	RelayAnswered       = Event{4202, "request answered after trouble"}
	RelayAttemptFailed  = Event{4203, "attempt failed"}
	RelayAttemptRefused = Event{4204, "attempt not run by the backend server"}
	RelayCut            = Event{4205, "answer cut: it can't be finished"}
	RelayLeft           = Event{4207, "caller left before the answer's end"}
	RelayStalled        = Event{4206, "path is silent: a backend server on it does not answer"}
	RelayMoved          = Event{4208, "request moved to another path"}
	RelayNotMoved       = Event{4209, "request not moved; another attempt is made beside its own"}
	RelayAnswerLost     = Event{4211, "answer may be lost; another attempt is made beside the silent one"}
	RelayWaits          = Event{4212, "path is silent; the request waits, since it can't be resumed now"}
	RelayPathLost       = Event{4221, "path to the backend server is lost; another attempt is made"}
	RelayLate           = Event{4213, "answer was late"}
	RelayPoison         = Event{4210, "body may crash backend servers"}
	RelayServerLost     = Event{4222, "backend server lost while it ran a request"}
	ContentHeld         = Event{4223, "content held back: servers were lost while they ran it"}
	ContentBlocked      = Event{4224, "content blocked: servers were lost in trials of it"}
	TrialBegun          = Event{4226, "request runs as the trial of what is held back"}
	ContentCleared      = Event{4225, "content cleared: it doesn't crash servers"}
	ShareExceeded       = Event{4228, "client accounts exceed their share of a service"}
	ShareKept           = Event{4229, "no client account exceeds its share of the service any more"}
	QueueBegun          = Event{4230, "requests wait for capacity"}
	QueueEnded          = Event{4231, "no request waits for capacity any more"}
	RateSet             = Event{4214, "backend server sets a request rate"}
	RateEnded           = Event{4215, "backend server sets no request rate any more"}
	RateUnread          = Event{4216, "request rate of a backend server can't be read"}
	PauseAsked          = Event{4217, "backend server wants no requests for a time"}
	PauseUnread         = Event{4218, "pause that a backend server asks for can't be read"}
	RelayWithheld       = Event{4220, "attempt withheld: its backend server wants no more requests"}
	StreamsLimited      = Event{4227, "streams of a service are limited"}
	RelayPanicked       = Event{4232, "request's goroutine panicked; its connection is closed"}
	RelayUnwritten      = Event{4233, "answer can't be written to the caller"}
	RelayReplaced       = Event{4234, "another attempt goes on with the answer of a silent one"}
	RelayNotReplaced    = Event{4235, "silent attempt goes on; no other server takes the request"}
	RelayCutByStop      = Event{4236, "answer cut: the time of the VM's stop is over"}
	RetryBudgetUsed     = Event{4237, "retry budget of all VMs is more than half used"}
	LeavingSaid         = Event{4219, "backend server says that it leaves"}
)

// Events of the process that forwards requests.
var (
	RelayConfigInForce = Event{2101, "routes in force"}
	RelayConfigBad     = Event{2102, "routes can't be read; the former stay"}
	RelaySettingsRead  = Event{1101, "settings read again"}
	VMSaturated        = Event{1103, "VM has reached one of its limits; it refuses new requests"}
	VMUnsaturated      = Event{1104, "VM is below its limits again"}
	VMStoodStill       = Event{1105, "process stood still"}
	ServerError        = Event{1106, "HTTP server reports an error"}
	LogLinesDropped    = Event{1107, "log lines were dropped"}
	RelaySettingsBad   = Event{1102, "settings can't be read; the former stay"}
	RelayServers       = Event{6101, "backend servers changed"}
	PeerUnread         = Event{6102, "word of another VM can't be read"}
	DataCentreLost     = Event{6103, "data centre is out of reach"}
	DataCentreBack     = Event{6104, "data centre is reached again"}
	ServersLost        = Event{6105, "paths to backend servers are lost"}
	ServersRegained    = Event{6106, "paths to backend servers work again"}
	ServiceDivided     = Event{6107, "service is divided over data centres"}
	ServiceUndivided   = Event{6108, "service is not divided over data centres any more"}
	EntryMissing       = Event{6109, "entry of a backend server is missing; it may have expired while the platform was away, and the server is still used"}
	EntryDecided       = Event{6110, "backend server whose entry was missing is removed, or its entry is back"}
	RelayProofLost     = Event{2103, "configuration is not proven to be the newest"}
	RelayProofBack     = Event{2104, "configuration is proven to be the newest again"}
	BlocksRead         = Event{2106, "contents that crash backend servers are read from the platform"}
	BlockUnread        = Event{2107, "content that crashes backend servers can't be read from the platform"}
	BlockNotKept       = Event{2108, "content that crashes backend servers can't be kept in the platform"}
	RelayConfigUnread  = Event{2105, "configuration can't be read from the platform"}
	PlacerHeld         = Event{7101, "this VM orders the layers of its data centre"}
	PlacerLost         = Event{7102, "another VM orders the layers of the data centre"}
	LayersOrdered      = Event{7103, "layers ordered"}
	LayersRefused      = Event{7104, "order of layers not carried out"}
)
