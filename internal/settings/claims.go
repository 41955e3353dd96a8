package settings

import "time"

// Claims says how the keys of non-idempotent requests are decided. All VMs of a
// deployment should have the same.
type Claims struct {
	// ShardsPerDataCentre is the number of shards of each home data centre. The first VM
	// of a deployment writes it to the platform, and it stays as written.
	ShardsPerDataCentre int `toml:"shards_per_data_centre" unit:"shards" range:"1..64"`
	// WritesPerSecond is the platform's writes for claims by all VMs together. The
	// interval of the group commit follows from it and the number of shards.
	WritesPerSecond int `toml:"writes_per_second" unit:"writes/s" range:"1..10000"`
	// Lease is how long the owner of a shard may be silent before it is replaced.
	Lease time.Duration `toml:"lease" unit:"duration" range:"1s..1m"`
	// ClockError is added to every wait for another VM.
	ClockError time.Duration `toml:"clock_error" unit:"duration" range:"0s.."`
	// OutageLimit is how long the owner of a shard goes on without the platform on its
	// standbys' word.
	OutageLimit time.Duration `toml:"outage_limit" unit:"duration" range:"0s.."`
	// Retention is how long a key is remembered. A caller must not send a key again after
	// it.
	Retention time.Duration `toml:"retention" unit:"duration" range:"1m..24h"`
	// Standbys is the number of VMs that may take a shard over; 0 means that nothing is
	// granted without the platform.
	Standbys int `toml:"standbys" unit:"VMs" range:"0..4"`
	// StandbysElsewhere prefers standbys in other data centres: a data centre's loss is
	// then taken over at once, and one that is cut off from everything refuses
	// non-idempotent requests.
	StandbysElsewhere bool `toml:"standbys_elsewhere" unit:"true or false"`
	// MaxKeys bounds the keys remembered for one shard; above it claims are refused.
	MaxKeys int `toml:"max_keys" unit:"keys" range:"1000..10000000"`
}

func defaultClaims() Claims {
	return Claims{
		ShardsPerDataCentre: 2,
		WritesPerSecond:     160,
		Lease:               4 * time.Second,
		ClockError:          500 * time.Millisecond,
		OutageLimit:         10 * time.Minute,
		Retention:           15 * time.Minute,
		Standbys:            2,
		MaxKeys:             250_000,
	}
}

func (c Claims) validate(report reporter) {
	report(c.ClockError <= c.Lease, "claims.clock_error", "is above claims.lease", "set it from 0s to claims.lease")
}
