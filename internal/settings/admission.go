package settings

import "time"

// Admission bounds what a VM takes on when more is asked than its servers hold.
type Admission struct {
	// PerServer is the concurrent requests per backend server that a pool of servers
	// starts from; what is learned replaces it.
	PerServer int `toml:"per_server" unit:"requests" range:"1..4096"`
	// FloorPerServer is the concurrent requests per backend server, over all VMs, below
	// which the learned limit never falls.
	FloorPerServer int `toml:"floor_per_server" unit:"requests" range:"1..4096"`
	// MaxQueued bounds the queued requests of each pool.
	MaxQueued int `toml:"max_queued" unit:"requests" range:"1..65536"`
}

// Poison says how long a body that was on crashed backend servers is remembered.
type Poison struct {
	// SuspectTime is how long a crash is held against a body.
	SuspectTime time.Duration `toml:"suspect_time" unit:"duration" range:"1m..24h"`
	// CondemnedTime is how long a body that crashed several is refused.
	CondemnedTime time.Duration `toml:"condemned_time" unit:"duration" range:"1m..24h"`
}

func defaultAdmission() Admission {
	return Admission{PerServer: 32, FloorPerServer: 8, MaxQueued: 4096}
}

func defaultPoison() Poison {
	return Poison{SuspectTime: 10 * time.Minute, CondemnedTime: time.Hour}
}
