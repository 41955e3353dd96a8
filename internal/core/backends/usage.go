package backends

// Usage is the capacity that requests use on a server.
type Usage struct {
	// Memory is in tokens times layers.
	Memory float64
	// Running is the number of requests sent to the server itself, as the only server or the first
	// of their paths. Only those take its slots.
	Running int
}

// Add returns the sum of two usages.
func (u Usage) Add(other Usage) Usage {
	return Usage{Memory: u.Memory + other.Memory, Running: u.Running + other.Running}
}

// SetRemoteUsage sets the usage by all other VMs, by server, and the number of VMs that it includes.
func (f *Fleet) SetRemoteUsage(loads map[string]Usage, vms int) {
	f.remoteUsage, f.remoteVMs = loads, vms
}

// UpdateRemoteUsage sets the usage of those servers where it changed, and the number of VMs that
// the usage of all servers includes.
func (f *Fleet) UpdateRemoteUsage(changes map[string]Usage, vms int) {
	if f.remoteUsage == nil {
		f.remoteUsage = make(map[string]Usage, len(changes))
	}
	for id, usage := range changes {
		if usage == (Usage{}) {
			delete(f.remoteUsage, id)
		} else {
			f.remoteUsage[id] = usage
		}
	}
	f.remoteVMs = vms
}

// PublishUsage returns what this VM's requests use, by server, to be published to the other VMs.
func (f *Fleet) PublishUsage() map[string]Usage {
	loads := make(map[string]Usage)
	for id, s := range f.subsets.used {
		copy(s.published[1:], s.published[:])
		s.published[0] = s.localUsage
		if s.localUsage != (Usage{}) {
			loads[id] = s.localUsage
		} else if s.published == ([publishedRounds]Usage{}) {
			delete(f.subsets.used, id)
		}
	}
	return loads
}

// The rounds of publishing after which the sum of the other VMs' loads includes what they had at the
// time: they publish at other moments than this VM, and learn the loads of servers in other data centres
// in every fourth round only.
const (
	roundsUntilKnown          = 2
	roundsUntilKnownElsewhere = 5
	publishedRounds           = roundsUntilKnownElsewhere
)

// SetDataCentre sets the data centre of this VM. Until it is set, all servers count as its own.
func (f *Fleet) SetDataCentre(dataCentre string) { f.dataCentre = dataCentre }

// recentAdditions is what this VM added on a server in the time for which it doesn't know what the
// other VMs did there.
func (f *Fleet) recentAdditions(s *serverState) Usage {
	rounds := roundsUntilKnown
	if f.dataCentre != "" && s.DataCentre != f.dataCentre {
		rounds = roundsUntilKnownElsewhere
	}
	before := s.published[rounds-1]
	return Usage{Memory: s.localUsage.Memory - before.Memory, Running: s.localUsage.Running - before.Running}
}

// memoryUsed is the memory that requests of all VMs use on a server, as far as this VM knows.
func (f *Fleet) memoryUsed(s *serverState) float64 {
	return s.localUsage.Memory + f.remoteUsage[s.ID].Memory
}

// expectedMemory is memoryUsed plus an estimate of what the other VMs have added since they last
// published their loads: this VM's own additions times the others' demand for the service as a multiple
// of its own.
//
// Hundreds of requests may arrive at about the same time, after a power failure or in a burst.
// Without the estimate each VM would find the same path the cheapest and see only its own requests,
// and they would queue there for a second while other paths are idle. VMs that have all just
// started are not included in remoteUsage yet. A VM that has added nothing expects nothing, so that
// the first request of each of many VMs is admitted.
func (f *Fleet) expectedMemory(s *serverState) float64 {
	return f.memoryUsed(s) + max(f.recentAdditions(s).Memory, 0)*f.othersDemand(s.Service)
}

// othersDemand returns the other VMs' demand for a service as a multiple of this VM's. Without data on
// the demand, or if this VM had none lately, it is the number of the other VMs.
func (f *Fleet) othersDemand(service string) float64 {
	if part, known := f.demand[service]; known && part > 0 {
		return (1 - part) / part
	}
	return float64(max(f.remoteVMs, f.liveVMs-1))
}

// DemandPart returns this VM's part of the demand for a service, from 0 to 1: an equal one of all VMs if
// it is unknown.
func (f *Fleet) DemandPart(service string) float64 {
	if part, known := f.demand[service]; known {
		return part
	}
	return 1 / float64(max(f.remoteVMs, f.liveVMs-1)+1)
}

// Load is what a running request uses on servers.
type Load struct {
	// First is the server that the request was sent to.
	First string
	Parts []LoadPart
}

// LoadPart is the load on one server. Memory is in tokens times layers.
type LoadPart struct {
	ID     string
	Memory float64
}

// AddLoad adds a request's load to its servers.
func (f *Fleet) AddLoad(load Load) {
	f.requestCount++
	if s, ok := f.servers[load.First]; ok {
		s.lastRequest = f.requestCount
	}
	f.applyLoad(load, 1)
}

// RemoveLoad removes a request's load from its servers.
func (f *Fleet) RemoveLoad(load Load) { f.applyLoad(load, -1) }

func (f *Fleet) applyLoad(load Load, sign int) {
	// The usage never drops below 0: a server that was gone and is back starts at 0, while requests
	// from before still end.
	if s, ok := f.servers[load.First]; ok {
		s.localUsage.Running = max(s.localUsage.Running+sign, 0)
		f.subsets.used[s.ID] = s
	}
	for _, part := range load.Parts {
		if s, ok := f.servers[part.ID]; ok {
			s.localUsage.Memory = max(s.localUsage.Memory+float64(sign)*part.Memory, 0)
			f.subsets.used[s.ID] = s
		}
	}
}
