package telemetry

// The events of the fleet and of the talk between VMs, and those of a planned stop.
var (
	VMDraining      = Event{1003, "VM stopping: no longer healthy for the balancer, still accepting"}
	VMDrained       = Event{1004, "VM stopping: all requests answered"}
	VMDrainForced   = Event{1005, "VM stopping: forced with requests in flight"}
	ServerJudged    = Event{6001, "backend server judged anew"}
	ServerRestarted = Event{6002, "backend server runs another process than before"}
	VMJudged        = Event{6003, "VM judged anew"}
	PeerRefused     = Event{6004, "call from a VM refused"}
	ServerMisplaced = Event{6005, "another backend server answers at the address"}
	KeysReloaded    = Event{6006, "keys reloaded"}
	KeysUnusable    = Event{6007, "keys can't be used, the former stay"}
	KeysExpiring    = Event{6008, "certificate ends soon"}
	KeysExpired     = Event{6009, "certificate has ended"}
	CutOffFromVMs   = Event{6010, "no other VM can be reached"}
	BackWithVMs     = Event{6011, "other VMs can be reached again"}
	ListLost        = Event{6012, "platform's list of VMs can't be read"}
	ListBack        = Event{6013, "platform's list of VMs can be read again"}
	StreamsMoving   = Event{6014, "streams move off a leaving backend server"}
	LeaveOverdue    = Event{6015, "requests still run on a backend server at its deadline"}
)
