package backends

// subsets are the servers that periodic work is about. Without them each VM goes through
// all servers some fifteen times a second, although nearly all of them are idle and healthy.
type subsets struct {
	// used are the servers that this VM's requests use, or used at the last publication.
	used map[string]*serverState
	// full are the servers that rejected this VM's requests and may still count as full.
	full map[string]*serverState
	// paced are the servers whose pace may be published, and slow those that may be slow.
	paced, slow map[string]*serverState
	// missing are the servers whose entries are missing.
	missing map[string]*serverState
}

func newSubsets() subsets {
	return subsets{
		used: make(map[string]*serverState), full: make(map[string]*serverState),
		paced: make(map[string]*serverState), slow: make(map[string]*serverState),
		missing: make(map[string]*serverState),
	}
}

// remove removes a server that no longer exists.
func (s *subsets) remove(id string) {
	delete(s.used, id)
	delete(s.full, id)
	delete(s.paced, id)
	delete(s.slow, id)
	delete(s.missing, id)
}
