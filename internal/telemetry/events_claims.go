package telemetry

// Events of claims and leases: 5xxx.
var (
	ShardOwned          = Event{5001, "shard of claims is owned by this VM"}
	ShardFenced         = Event{5002, "shard of claims was taken over by another VM"}
	ShardReleased       = Event{5003, "shard of claims was handed over"}
	ShardOnStandbys     = Event{5004, "claims can't be journalled; standbys are asked instead"}
	ShardJournalled     = Event{5005, "claims are journalled in the platform again"}
	ShardGap            = Event{5006, "shard of claims was taken over with a gap; unknown keys are refused"}
	ShardImplausible    = Event{5007, "head of a shard has an implausible epoch and is ignored"}
	ClaimLayoutUnread   = Event{5008, "layout of the claims can't be read"}
	ClaimLayoutDiffers  = Event{5009, "claims.shards_per_data_centre differs from the layout in the platform, which is used"}
	ShardHandoverMissed = Event{5010, "shards could not be handed over before the stop; their leases run out"}
)
