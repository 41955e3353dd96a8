package route

import (
	"math"
	"time"
)

// Parameters of the load and capacity estimates.
const (
	// historyInterval and historyLength bound the history of the VM's own streams
	// on a server. Reports up to their product old can be corrected by it.
	historyInterval = 100 * time.Millisecond
	historyLength   = 32
	// maxReportAge is how long a load report is used. Without a newer one, only
	// this VM's own streams count as the server's load.
	maxReportAge = 30 * time.Second
	// streamGain is the weight of one finished stream in the moving averages of a
	// server, and estimateGain the weight of the resulting capacity in the
	// estimate.
	streamGain   = 0.03
	estimateGain = 0.2
	// minMeasuredStreams is the number of streams that must have been measured
	// before the averages are used.
	minMeasuredStreams = 4
	// minSampleTokens is the smallest number of tokens from which a stream's
	// speed is measured.
	minSampleTokens = 8
	// stageTimeGain is the weight of one finished stream in the estimated times
	// of its stages.
	stageTimeGain = 0.1
	// capacityNoiseFactor is the factor by which the estimated capacity must
	// differ from the recorded one to replace it. Smaller differences are noise.
	capacityNoiseFactor = 1.25
	// rampStart is the fraction of its capacity at which a server that became
	// eligible again starts its ramp-up.
	rampStart = 0.1
	// minRampDuration and maxRampDuration bound the duration of the ramp-up.
	minRampDuration = 2 * time.Second
	maxRampDuration = time.Minute
	// stableAfter is how long a server must have been eligible before its earlier
	// recoveries no longer count.
	stableAfter = 2 * time.Minute
)

// Report is a backend server's load report. It arrives with a delay and possibly
// out of order.
type Report struct {
	Server string
	// At is when the server made the report, on this VM's clock.
	At time.Duration
	// Running and Waiting are the numbers of streams in the server's batch and in
	// its queue.
	Running, Waiting int
}

// historyEntry is the number of this VM's streams on a server from a time on.
type historyEntry struct {
	at       time.Duration
	inFlight int
}

// server is a backend server with its load and capacity as estimated by this VM.
type server struct {
	Server
	class *class
	// inFlight is the number of this VM's streams on the server.
	inFlight int
	// history is a ring buffer of inFlight over time, with the newest entry at
	// index historyNewest.
	history       [historyLength]historyEntry
	historyNewest int
	// report is the newest report, and reported whether there is one.
	report   Report
	reported bool
	// otherStreams is the number of other VMs' streams at the time of the report.
	otherStreams int
	// maxBatch is the highest number of running streams in any report.
	maxBatch int
	// nominalCapacity is the initial capacity, from the record if it has one, and
	// capacity the current estimate, both in tokens per second.
	nominalCapacity, capacity float64
	// streamSeconds is the integral of all VMs' streams over the time up to
	// streamSecondsAt.
	streamSeconds   float64
	streamSecondsAt time.Duration
	// stats are the averages over recent streams.
	stats streamStats
	// stageSeconds is the estimated time that one token spends at the server,
	// including its queue. 0 if unknown.
	stageSeconds float64
	// estimatedCapacity is the capacity as measured from streams, in tokens per
	// second.
	estimatedCapacity float64
	// eligibleSince, recoveries and wasEligible record how stable the server is:
	// recoveries counts how often it became eligible again.
	eligibleSince time.Duration
	recoveries    int
	wasEligible   bool
	// roundRobinTurn orders the servers of the round-robin policy.
	roundRobinTurn uint64
}

// streamStats are exponential moving averages over a server's finished streams.
type streamStats struct {
	streams int
	// tokens is the mean number of tokens of a stream, seconds its mean duration,
	// and streamSeconds the mean integral of the server's streams over it.
	tokens, seconds, streamSeconds float64
}

func (m *streamStats) add(tokens, seconds, streams float64) {
	m.streams++
	// The first streams have equal weights; the exponential decay begins after
	// them.
	gain := max(streamGain, 1/float64(m.streams))
	m.tokens += gain * (tokens - m.tokens)
	m.seconds += gain * (seconds - m.seconds)
	m.streamSeconds += gain * (streams*seconds - m.streamSeconds)
}

// reliable reports whether enough streams were measured to use the averages.
func (m *streamStats) reliable() bool { return m.streams >= minMeasuredStreams }

// throughput returns the server's tokens per second by Little's law: the tokens
// per second of one stream times the mean number of streams on the server. This is
// correct wherever on their paths the streams wait.
func (m *streamStats) throughput() float64 {
	return m.tokens / m.seconds * m.streamSeconds / m.seconds
}

// accumulate extends the integral of the server's streams up to now.
func (s *server) accumulate(now time.Duration) {
	if now > s.streamSecondsAt {
		s.streamSeconds += float64(s.streams(s.streamSecondsAt)) * (now - s.streamSecondsAt).Seconds()
		s.streamSecondsAt = now
	}
}

// addInFlight changes the number of this VM's streams on the server.
func (s *server) addInFlight(now time.Duration, change int) {
	s.accumulate(now)
	s.inFlight += change
	if now-s.history[s.historyNewest].at >= historyInterval {
		s.historyNewest = (s.historyNewest + 1) % historyLength
		s.history[s.historyNewest].at = now
	}
	s.history[s.historyNewest].inFlight = s.inFlight
}

// inFlightAt returns the number of this VM's streams on the server at a time in
// the past.
func (s *server) inFlightAt(at time.Duration) int {
	for back := range historyLength {
		entry := s.history[(s.historyNewest-back+historyLength)%historyLength]
		if entry.at <= at {
			return entry.inFlight
		}
	}
	return s.history[(s.historyNewest+1)%historyLength].inFlight
}

// applyReport stores a report unless a newer one is known. It keeps only the
// number of other VMs' streams, since this VM's own streams are counted exactly.
// With the total of the report, every choice until the next one would see the same
// number, and all would go to the one server that seemed idle.
func (s *server) applyReport(now time.Duration, report Report) {
	if s.reported && report.At <= s.report.At {
		return
	}
	s.accumulate(now)
	s.report = report
	s.reported = true
	s.maxBatch = max(s.maxBatch, report.Running)
	s.otherStreams = max(report.Running+report.Waiting-s.inFlightAt(report.At), 0)
}

// streams estimates the number of all VMs' streams on the server.
func (s *server) streams(now time.Duration) int {
	if !s.reported || now-s.report.At > maxReportAge {
		return s.inFlight
	}
	return s.inFlight + s.otherStreams
}

// secondsPerToken estimates the time per token of one more stream at this server,
// if all its streams waited there and not at other stages.
func (s *server) secondsPerToken(now time.Duration) float64 {
	return float64(s.streams(now)+1) / (s.capacity * s.ramp(now))
}

// ramp returns the fraction of its capacity at which the server is rated. A server
// that becomes eligible again has no streams, so it would get every new one, and
// if it is flapping all of them would fail at once. The fraction grows linearly,
// over a time that doubles with each recovery up to maxRampDuration.
func (s *server) ramp(now time.Duration) float64 {
	if s.recoveries == 0 {
		return 1
	}
	duration := min(minRampDuration<<min(s.recoveries-1, 16), maxRampDuration)
	elapsed := now - s.eligibleSince
	if elapsed >= duration {
		return 1
	}
	return max(rampStart, float64(elapsed)/float64(duration))
}

// setEligible sets the eligibility and counts recoveries.
func (s *server) setEligible(now time.Duration, eligible bool) {
	switch {
	case eligible && !s.Eligible && s.wasEligible:
		if now-s.eligibleSince > stableAfter {
			s.recoveries = 0
		}
		s.recoveries++
		s.eligibleSince = now
	case eligible && !s.wasEligible:
		s.eligibleSince = now
	}
	s.wasEligible = s.wasEligible || eligible
	s.Eligible = eligible
}

// streamSample is the measurement of one stream on a server of its path.
type streamSample struct {
	tokens, seconds float64
	// streamSeconds is the server's streamSeconds at the start of the sample.
	streamSeconds float64
}

// updateCapacity updates the estimated capacity by a sample. There are two lower
// bounds of the capacity, and the higher one is close to it: the throughput, if
// tokens queue, and the batch size divided by the time per token, if none do.
func (s *server) updateCapacity(sample streamSample) {
	meanStreams := (s.streamSeconds - sample.streamSeconds) / sample.seconds
	s.stats.add(sample.tokens, sample.seconds, meanStreams)
	if !s.stats.reliable() {
		return
	}
	measured := max(s.stats.throughput(), float64(s.maxBatch)/s.stageSeconds)
	if s.estimatedCapacity == 0 {
		s.estimatedCapacity = measured
	}
	s.estimatedCapacity += estimateGain * (measured - s.estimatedCapacity)
	s.capacity = s.estimatedCapacity
	if s.TokensPerSecond > 0 && s.estimatedCapacity < s.nominalCapacity*capacityNoiseFactor && s.estimatedCapacity > s.nominalCapacity/capacityNoiseFactor {
		s.capacity = s.nominalCapacity
	}
	s.capacity = max(s.capacity, math.SmallestNonzeroFloat32)
}

// updateStageTimes corrects the estimated times of a path's stages by the measured
// time per token of the whole path. A slow stage shows over several streams, which
// share it but differ in their other stages.
func updateStageTimes(servers []*server, secondsPerToken float64) {
	layers := 0
	for _, s := range servers {
		layers += max(s.Layers.Len(), 1)
	}
	estimated := 0.0
	for _, s := range servers {
		if s.stageSeconds == 0 {
			s.stageSeconds = secondsPerToken * float64(max(s.Layers.Len(), 1)) / float64(layers)
		}
		estimated += s.stageSeconds
	}
	correction := 1 + stageTimeGain*(secondsPerToken-estimated)/max(estimated, secondsPerToken)
	for _, s := range servers {
		s.stageSeconds *= correction
	}
}
