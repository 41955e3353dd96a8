package route

import "slices"

const (
	// maxPrefixes bounds the entries of the prefix index over all servers. At
	// about 100 bytes an entry the index stays under 4 MB.
	maxPrefixes = 32 << 10
	// minPrefixesPerServer is the lower bound of a server's share of
	// maxPrefixes, however many servers there are.
	minPrefixesPerServer = 32
	// maxServersPerPrefix bounds the servers indexed for one prefix.
	maxServersPerPrefix = 8
	// maxWarmServers bounds the servers with a cached prefix that are considered
	// for one request.
	maxWarmServers = 8
	// defaultImbalance is the default of Options.MaxImbalance.
	defaultImbalance = 1.25
)

// CacheEvent reports that a backend server cached a prefix or evicted it.
type CacheEvent struct {
	// Sequence numbers the server's events without gaps. A missing number means
	// a lost event.
	Sequence uint64 `json:"sequence"`
	// Prefix is the hash of the prefix.
	Prefix  uint64 `json:"prefix"`
	Evicted bool   `json:"evicted,omitempty"`
}

// serverCache is the known content of one server's prefix cache.
type serverCache struct {
	incarnation uint64
	sequence    uint64
	hashes      map[uint64]struct{}
	// order lists the hashes in the order of their addition. It keeps removed
	// ones, which are skipped.
	order []uint64
}

// prefixIndex maps prefixes to the servers that have them cached. It is a hint:
// a wrong entry costs a prefill and can't cause a wrong answer.
type prefixIndex struct {
	caches  map[string]*serverCache
	holders map[uint64][]*server
}

func newPrefixIndex() prefixIndex {
	return prefixIndex{caches: make(map[string]*serverCache), holders: make(map[uint64][]*server)}
}

// apply updates the index by an event. After a gap in the sequence any entry of
// the server may be stale, so all of them are removed: affinity to an evicted
// prefix would overload the server without saving a prefill.
func (x *prefixIndex) apply(s *server, incarnation uint64, event CacheEvent) {
	c := x.caches[s.Name]
	if c != nil && c.incarnation == incarnation && event.Sequence <= c.sequence {
		return
	}
	if c == nil || c.incarnation != incarnation || event.Sequence != c.sequence+1 {
		x.removeServer(s)
		c = &serverCache{incarnation: incarnation, hashes: make(map[uint64]struct{})}
		x.caches[s.Name] = c
	}
	c.sequence = event.Sequence
	if event.Evicted {
		x.remove(s, c, event.Prefix)
		return
	}
	x.add(s, c, event.Prefix)
}

// removeServer removes all entries of a server.
func (x *prefixIndex) removeServer(s *server) {
	c := x.caches[s.Name]
	if c == nil {
		return
	}
	for _, hash := range c.order {
		x.remove(s, c, hash)
	}
	delete(x.caches, s.Name)
}

func (x *prefixIndex) remove(s *server, c *serverCache, hash uint64) {
	if _, indexed := c.hashes[hash]; !indexed {
		return
	}
	delete(c.hashes, hash)
	holders := slices.DeleteFunc(x.holders[hash], func(h *server) bool { return h == s })
	if len(holders) == 0 {
		delete(x.holders, hash)
		return
	}
	x.holders[hash] = holders
}

func (x *prefixIndex) add(s *server, c *serverCache, hash uint64) {
	if _, indexed := c.hashes[hash]; indexed || len(x.holders[hash]) >= maxServersPerPrefix {
		return
	}
	quota := max(maxPrefixes/len(x.caches), minPrefixesPerServer)
	for len(c.order) >= quota {
		x.remove(s, c, c.order[0])
		c.order = c.order[1:]
	}
	c.hashes[hash] = struct{}{}
	c.order = append(c.order, hash)
	x.holders[hash] = append(x.holders[hash], s)
}

// serversWithPrefix lists up to maxWarmServers servers with a cached prefix, those
// with the longest first. It reuses the slice into.
func (x *prefixIndex) serversWithPrefix(into []*server, prefixes []uint64) []*server {
	into = into[:0]
	for _, hash := range slices.Backward(prefixes) {
		for _, s := range x.holders[hash] {
			if len(into) == maxWarmServers {
				return into
			}
			if !slices.Contains(into, s) {
				into = append(into, s)
			}
		}
	}
	return into
}

// preferWarm returns a path over servers with a cached prefix of the prompt,
// unless it is slower than the best sampled path by more than the factor
// Options.MaxImbalance. The limit keeps a popular prefix from overloading the
// server that has it cached: further requests go to other servers, which then
// cache the prefix too.
func (r *Router) preferWarm(d *decision, best *candidate) *candidate {
	if len(d.request.Prefixes) == 0 {
		return best
	}
	r.warmServers = r.prefixes.serversWithPrefix(r.warmServers, d.request.Prefixes)
	if len(r.warmServers) == 0 {
		return best
	}
	warm := &r.scratch[2]
	if d.walk(warm, false, r.warmServers) && warm.warmStages > 0 && warm.fullBatchScore <= best.fullBatchScore*r.options.MaxImbalance {
		return warm
	}
	return best
}

// nextWarmServer returns the server with the longest cached prefix among those
// that the hops lead to, or nil.
func (d *decision) nextWarmServer(hops []hop, at int, warm []*server) *server {
	for _, s := range warm {
		if s.class == nil || s.class.key.layers.To <= at || d.excluded(s) {
			continue
		}
		for i := range hops {
			if hops[i].class == s.class {
				return s
			}
		}
	}
	return nil
}
