package capacity

import "oleandershunt.example/oleandershunt/internal/settings"

// Scales from a benchmark's unit to that of the page.
const (
	unscaled            = 1
	perSecondFromNanos  = 1e-9
	perSecondFromMicros = 1e-6
	secondsFromMillis   = 1e-3
	megabytesFromBytes  = 1.0 / (1 << 20)
	percent             = 100
)

// Rates of duties that do not grow with the size.
const (
	roundsPerSecond     = 1
	probesPerSecond     = 8
	recomputesPerSecond = 1
	// farChangesPerSecond is the pace at which summaries of other data centres
	// change, worked out from the pace of the gossip.
	farChangesPerSecond = 2
	// activeShare is the accounts that came to one VM lately, an assumption.
	activeShare = 0.1
	// benchmarkWrites is the writes a second that BenchmarkClaims gives its shard.
	benchmarkWrites = 20
	// single counts a figure that stands for itself.
	single = 1
)

// Sections are the tables of docs/CAPACITY.md.
func Sections(size Size) []Section {
	return []Section{
		{Name: "requests", Rows: requestRows(size)},
		{Name: "control-processor", Rows: controlProcessorRows(size), Sum: "Control, processor time of a VM", Budget: size.ControlCoreShare * percent},
		{Name: "control-bytes", Rows: controlByteRows(size), Sum: "Control, bytes of the VM that accepts", Budget: size.ControlBytesPerSecond},
		{Name: "control-memory", Rows: controlMemoryRows(size), Sum: "Control, memory of a VM that owns a shard", Budget: size.ControlMegabytes},
		{Name: "platform-reads", Rows: platformReadRows(size), Sum: "Reads of all VMs", Budget: size.PlatformReads},
		{Name: "platform-writes", Rows: platformWriteRows(size), Sum: "Writes of all VMs", Budget: size.PlatformWrites},
		{Name: "configuration", Rows: configurationRows()},
	}
}

// requestRows are what callers' requests cost a VM, which no control budget bounds.
func requestRows(size Size) []Row {
	return []Row{
		{
			Role: "entry", Figure: "processor, tokens relayed", Benchmark: "BenchmarkRelayOverSockets/saturated", Unit: "cpu-ns/token",
			Per: "token/s", Count: size.TokensPerVM(), Scale: perSecondFromNanos, Result: "cores",
			Mechanism: "one goroutine a stream; frames that wait are written together; the core is not asked",
		},
		{
			Role: "entry", Figure: "memory, streams in flight", Benchmark: "BenchmarkMemoryPerStream", Unit: "bytes/stream",
			Per: "stream", Count: size.StreamsPerVM(), Scale: megabytesFromBytes, Result: "MB",
			Mechanism: "bounded buffers a stream; a slow caller's stream is cut",
		},
		{
			Role: "core", Figure: "processor, requests decided", Benchmark: "BenchmarkRequest/answered", Unit: "ns/op",
			Per: "request/s", Count: size.RequestsPerVM(), Scale: perSecondFromNanos, Result: "cores",
			Mechanism: "decisions at arrival, dispatch, fault and end only",
		},
		{
			Role: "core", Figure: "memory, requests in flight", Benchmark: "BenchmarkRequestMemory", Unit: "bytes/request",
			Per: "stream", Count: size.StreamsPerVM(), Scale: megabytesFromBytes, Result: "MB",
			Mechanism: "state of a request ends with it",
		},
		{
			Role: "routing", Figure: "processor, paths chosen", Benchmark: "BenchmarkChoose/max_flow/800", Unit: "ns/op",
			Per: "request/s", Count: size.RequestsPerVM(), Scale: perSecondFromNanos, Result: "cores",
			Mechanism: "draw from the flow's decomposition by classes of servers",
		},
	}
}

// controlProcessorRows are the duties of a VM that no single request causes.
func controlProcessorRows(size Size) []Row {
	here := "BenchmarkRound/vms=63/servers=770"
	return []Row{
		{
			Role: "membership", Figure: "gossip in the data centre", Benchmark: here, Unit: "cpu-µs/VM-round",
			Per: "round/s", Count: roundsPerSecond, Scale: perSecondFromMicros * percent, Result: "% of a core",
			Mechanism: "deltas to a few peers a round, state scoped by data centre",
		},
		{
			Role: "membership", Figure: "probes of backend servers", Benchmark: "BenchmarkProbe", Unit: "cpu-µs/op",
			Per: "probe/s", Count: probesPerSecond, Scale: perSecondFromMicros * percent, Result: "% of a core",
			Mechanism: "each server is probed by three VMs, the rest learn by digest; at most eight a second",
		},
		{
			Role: "routing", Figure: "flow recomputed on change", Benchmark: "BenchmarkRecompute/800", Unit: "ns/op",
			Per: "recompute/s", Count: recomputesPerSecond, Scale: perSecondFromNanos * percent, Result: "% of a core",
			Mechanism: "classes of like servers; only when something changed",
		},
		{
			Role: "claims", Figure: "claims decided by an owner", Benchmark: "BenchmarkOwner", Unit: "ns/op",
			Per: "claim/s of a shard", Count: size.claimsPerShard(), Scale: perSecondFromNanos * percent, Result: "% of a core",
			Mechanism: "group commit: one conditional write a batch",
		},
		{
			Role: "configuration", Figure: "releases taken in", Benchmark: "BenchmarkChangeOneAccount/accounts=31000/load", Unit: "ns/op",
			Per: "change/s", Count: size.ChangesPerSecond(), Scale: perSecondFromNanos * percent, Result: "% of a core",
			Mechanism: "pages by content hash; only pages that differ are read",
		},
	}
}

// claimsPerShard is the claims that a shard's owner decides each second.
func (s Size) claimsPerShard() float64 {
	return s.RequestsPerSecond * s.NonIdempotentShare / s.Shards()
}

func controlByteRows(size Size) []Row {
	return []Row{
		{
			Role: "membership", Figure: "gossip, both directions", Benchmark: "BenchmarkRound/vms=63/servers=770", Unit: "wire-B/VM-round",
			Per: "round/s", Count: roundsPerSecond, Scale: unscaled, Result: "B/s",
			Mechanism: "deltas; loads are rounded before they count as changed",
		},
		{
			Role: "membership", Figure: "probes, both directions", Benchmark: "BenchmarkProbe", Unit: "wire-B/op",
			Per: "probe/s", Count: probesPerSecond, Scale: unscaled, Result: "B/s",
			Mechanism: "as above",
		},
		{
			Role: "membership", Figure: "state from other data centres", Benchmark: "BenchmarkStateChange/vms=63/changes=25",
			Base: "BenchmarkStateChange/vms=63/changes=0", Over: 25, Unit: "wire-B/VM-round",
			Per: "change/s (worked out from the pace of summaries)", Count: farChangesPerSecond, Scale: unscaled, Result: "B/s",
			Mechanism: "summaries across data centres at a pace that slows as VMs grow",
		},
		{
			Role: "configuration", Figure: "records of changes", Benchmark: "BenchmarkChangeBytes/accounts=31000", Unit: "wire-B/change",
			Per: "change/s", Count: size.ChangesPerSecond(), Scale: unscaled, Result: "B/s",
			Mechanism: "a peer that knows the asker's release sends only the records that differ",
		},
		{
			Role: "configuration", Figure: "platform calls of the one VM that accepts", Benchmark: "BenchmarkPlatformBytes/accounts=31000", Unit: "accept-wire-B/change",
			Per: "change/s", Count: size.ChangesPerSecond(), Scale: unscaled, Result: "B/s",
			Mechanism: "indexes of pages, so that a change writes one page and one index",
		},
	}
}

func controlMemoryRows(size Size) []Row {
	return []Row{
		{
			Role: "membership", Figure: "data centre's VMs and servers", Benchmark: "BenchmarkRound/vms=63/servers=770", Unit: "heap-MB/VM",
			Per: "VM", Count: single, Scale: unscaled, Result: "MB",
			Mechanism: "entries a VM and a server, bounded by the data centre",
		},
		{
			Role: "membership", Figure: "VMs of other data centres", Benchmark: "BenchmarkOrigin", Unit: "heap-B/origin",
			Per: "VM elsewhere", Count: size.VMs - size.VMsHere(), Scale: megabytesFromBytes, Result: "MB",
			Mechanism: "summaries only",
		},
		{
			Role: "configuration", Figure: "records of all accounts", Benchmark: "BenchmarkControlMemory", Unit: "accepting-MB",
			Per: "set of 31,000 accounts", Count: size.Accounts / 31_000, Scale: unscaled, Result: "MB",
			Mechanism: "one immutable set, specs decoded when needed; a new release shares the unchanged pages",
		},
		{
			Role: "admission", Figure: "active accounts", Benchmark: "BenchmarkAccountMemory", Unit: "bytes/account",
			Per: "account that came to this VM lately (a tenth of all, assumed)", Count: size.Accounts * activeShare, Scale: megabytesFromBytes, Result: "MB",
			Mechanism: "only accounts with recent requests are held",
		},
		{
			Role: "claims", Figure: "keys of a shard's owner", Benchmark: "BenchmarkOwner", Unit: "B/key",
			Per: "key remembered for 15 minutes", Count: size.claimsPerShard() * settings.Default().Claims.Retention.Seconds(), Scale: megabytesFromBytes, Result: "MB",
			Mechanism: "compact entries; a shard refuses above its bound",
		},
	}
}

func platformReadRows(size Size) []Row {
	return []Row{
		{
			Role: "membership", Figure: "lists of VMs, per VM", Benchmark: "BenchmarkPlatformCalls/dcs=1/vms=24",
			Base: "BenchmarkPlatformCalls/dcs=1/vms=4", Over: 20, Unit: "reads/s",
			Per: "VM", Count: size.VMs, Scale: unscaled, Result: "reads/s",
			Mechanism: "the interval grows with the VMs, so this slope is an upper bound",
		},
		{
			Role: "claims and the rest", Figure: "shards' heads, per data centre", Benchmark: "BenchmarkPlatformCalls/dcs=6/vms=24",
			Base: "BenchmarkPlatformCalls/dcs=1/vms=24", Over: 5, Unit: "reads/s",
			Per: "data centre", Count: size.DataCentres, Scale: unscaled, Result: "reads/s",
			Mechanism: "only the VMs ranked to take a shard over read its head",
		},
		{
			Role: "configuration", Figure: "reads of a change", Benchmark: "BenchmarkInForce/dcs=3/vms=189", Unit: "reads/change",
			Per: "change/s", Count: size.ChangesPerSecond() * size.DataCentres / 3, Scale: unscaled, Result: "reads/s",
			Mechanism: "a few VMs a data centre read, the rest take pages from peers",
		},
		{
			Role: "configuration", Figure: "waiting watches", Benchmark: "BenchmarkInForce/dcs=3/vms=189", Unit: "watches",
			Per: "three data centres (each watch counts as one call, renewed)", Count: size.DataCentres / 3, Scale: unscaled, Result: "calls waiting",
			Mechanism: "operator records are watched by the few VMs that accept, releases by a few a data centre",
		},
	}
}

func platformWriteRows(size Size) []Row {
	return []Row{
		{
			Role: "claims", Figure: "a shard at full rate", Benchmark: "BenchmarkClaims/forwarded=false", Unit: "platform-writes/s",
			Per: "20 writes/s of the claims' setting (160 by default)", Count: float64(settings.Default().Claims.WritesPerSecond) / benchmarkWrites, Scale: unscaled, Result: "writes/s",
			Mechanism: "all shards together keep to a setting; with more claims the batches grow",
		},
		{
			Role: "configuration", Figure: "writes of a change", Benchmark: "BenchmarkInForce/dcs=3/vms=189", Unit: "writes/change",
			Per: "change/s", Count: size.ChangesPerSecond(), Scale: unscaled, Result: "writes/s",
			Mechanism: "one VM accepts; pages, release and status",
		},
		{
			Role: "membership", Figure: "VMs that come and go", Benchmark: "BenchmarkPlatformCalls/dcs=1/vms=24",
			Base: "BenchmarkPlatformCalls/dcs=1/vms=4", Over: 20, Unit: "writes/s",
			Per: "VM at rest", Count: size.VMs, Scale: unscaled, Result: "writes/s",
			Mechanism: "a VM writes its entry when it starts and stops, never at rest",
		},
	}
}

func configurationRows() []Row {
	return []Row{
		{
			Role: "configuration", Figure: "accepted to in force, p99, 189 VMs", Benchmark: "BenchmarkInForce/dcs=3/vms=189", Unit: "p99-ms",
			Per: "change", Count: single, Scale: secondsFromMillis, Result: "s",
			Mechanism: "watch in each data centre, then peers wait on peers",
		},
		{
			Role: "configuration", Figure: "31,000 accounts read and checked", Benchmark: "BenchmarkLoadAndValidate/accounts=31000", Unit: "ns/op",
			Per: "start of a VM", Count: single, Scale: perSecondFromNanos, Result: "s",
			Mechanism: "pages decoded once",
		},
	}
}
