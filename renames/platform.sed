# Run after renames/platform.txt was applied:
#   sed -i -E -f renames/platform.sed platform/*.go internal/platform/*.go internal/edge/servers.go internal/configuration/{accept,watch}.go internal/explain/explain.go internal/mirror/{log,follower}.go
s#^(\t*// )Listed (implements|handles)#\1HandleList \2#
s#^(\t*// )Watched (implements|handles)#\1HandleEvent \2#
s#^(\t*// )Broken (implements|reports)#\1HandleError \2#
s#The next call of Listed or$#The next call of HandleList or#
s#^(\t// )Watched means that#\1HandleEvent means that#
s#Only Listed uses it#Only HandleList uses it#
s#^(// )Holder is a Sink#\1CachingSink is a Sink#
s#^(// )Held implements platform\.Holder#\1CachedValue implements platform.CachingSink#
s#^(\t// )Held returns the value#\1CachedValue returns the value#
s#^(\t// )Reads reports whether#\1IsReader reports whether#
s#^(\t// )Answered records that#\1RecordPlatformResponse records that#
s#^(// )Page is a set of changes#\1MirrorPage is a set of changes#
s#^(\t// )Whole reports that#\1IsSnapshot reports that#
s#^(// )Of returns the number#\1Total returns the number#
s#^(\t// )Gather is how long#\1BatchDelay is how long#
s#^(// )Reads (implements|tells|reports|returns)#\1IsReader \2#
s#^(// )Answered (implements|records|says|tells)#\1RecordPlatformResponse \2#
