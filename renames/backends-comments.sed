# Run after renames/backends.txt was applied (the rename program leaves one-word names in comments):
#   sed -i -E -f renames/backends-comments.sed internal/core/{backends,routes,history}/*.go
s#^(\t*// )Holds are the ranges#\1LayerRanges are the ranges#
s#^(\t*// )Held is a range#\1LayerRange is a range#
s#^(// )Plus returns#\1Add returns#
s#since the last call of News\.#since the last call of TakeDepartures.#
s#^(// )Serve sets#\1SetServices sets#
s#^(// )Heard sets#\1SetRemoteUsage sets#
s#^(// )Live sets#\1SetLiveVMs sets#
s#^(// )Unreached sets#\1SetUnreachable sets#
s#^(// )Loads returns#\1PublishUsage returns#
s#^(// )Outage records#\1SetPlatformDown records#
s#^(// )Back records#\1SetPlatformUp records#
s#^(// )Tidy deletes#\1RemoveExpired deletes#
s#^(// )Full records#\1MarkFull records#
s#^(// )Used returns#\1MemoryUtilisation returns#
s#^(// )Known returns#\1Server returns#
s#^(// )Begin adds#\1AddLoad adds#
s#^(// )End removes#\1RemoveLoad removes#
s#^(\t// )Only, if set#\1Allowed, if set#
s#^(\t// )Keep is the part#\1FixedFirst is the part#
s#^(\t// )Force allows#\1IgnoreCapacity allows#
s#tries again with Force and#tries again with IgnoreCapacity and#
s#^(\t// )Taken is the number#\1RequestsOnFirst is the number#
s#^(// )Queues reports#\1WaitsForSlot reports#
s#^(// )At returns the ID#\1ServerAt returns the ID#
s#^(// )At returns the version#\1NewVersion returns the version#
s#^(// )News returns#\1TakeDepartures returns#
s#^(// )Leave applies#\1ApplyDeparture applies#
s#^(// )Dark records#\1MarkUnresponsive records#
s#^(// )Paced records#\1SetPace records#
s#^(// )Slow returns#\1SlowServers returns#
s#^(// )Paces returns#\1PacesToPublish returns#
s#^(// )Signs sets#\1SetHeartbeatInterval sets#
s#^(// )Due implements#\1RetryAfter implements#
s#^(\t// )Due returns#\1RetryAfter returns#
s#^(// )Rates returns#\1RateLimits returns#
s#^(// )Members sets#\1SetMembers sets#
s#^(// )Limited reports#\1HasRateLimit reports#
s#^(// )Sent counts#\1CountSent counts#
s#^(// )Wanted reports#\1Usable reports#
s#^(// )Took records#\1MarkAccepted records#
s#^(\t// )Prompt and Answer are#\1TypicalPrompt and TypicalAnswer are#
s#^(// )Fits returns#\1MaxLayers returns#
s#^(// )Room returns#\1RequestCapacity returns#
s#^(// )Usual returns#\1TypicalTokens returns#
s#^(// )Repeat says#\1RepeatPolicy says#
s#Values of Repeat\.#Values of RepeatPolicy.#
s#^(\t// )Once: at most#\1AtMostOnce: at most#
s#^(\t// )Freely: it may#\1Repeatable: it may#
s#^(\t// )Target is the target#\1TargetLatency is the target#
s#^(\t// )Gap is the target#\1TargetGap is the target#
s#^(\t// )Attempts is#\1MaxAttempts is#
s#^(\t// )Open is set#\1KeyExempt is set#
s#if Ranked is set#if HasPriority is set#
s#^(// )Engines returns#\1ModelServices returns#
