package gossip

import (
	"encoding/json"

	"oleandershunt.example/oleandershunt/internal/core/digest"
	"oleandershunt.example/oleandershunt/internal/peer"
)

// maxOthers bounds the VMs that a summary names.
const maxOthers = 16

// releases says which release the VMs of a data centre have in force. One entry
// for all of them costs other data centres a sixtieth of what one each would.
type releases struct {
	// Most is the lowest release of the VMs that are not named.
	Most uint64 `json:"m"`
	// Others are VMs that have another one.
	Others map[string]uint64 `json:"o,omitempty"`
}

// summary is this data centre's releases, as far as this VM knows.
func (g *Gossip) summary() []byte {
	var near []peer.Member
	count := make(map[uint64]int)
	for _, member := range g.options.Directory.Members() {
		if member.DataCentre == g.self.DataCentre {
			near = append(near, member)
			count[member.Release]++
		}
	}
	var r releases
	for release, vms := range count {
		if vms > count[r.Most] || vms == count[r.Most] && release < r.Most {
			r.Most = release
		}
	}
	for _, member := range near {
		switch {
		case member.Release == r.Most:
		case len(r.Others) < maxOthers:
			if r.Others == nil {
				r.Others = make(map[string]uint64)
			}
			r.Others[member.Name] = member.Release
		default:
			r.Most = min(r.Most, member.Release)
		}
	}
	value, err := json.Marshal(r)
	if err != nil {
		// Numbers by name can always be marshalled.
		panic(err)
	}
	return value
}

// mergeSummary takes another data centre's releases.
func (g *Gossip) mergeSummary(change digest.Change) {
	var r releases
	if change.Origin.DataCentre == g.self.DataCentre || json.Unmarshal(change.Value, &r) != nil {
		return
	}
	for _, member := range g.options.Directory.Members() {
		if member.DataCentre != change.Origin.DataCentre {
			continue
		}
		release, named := r.Others[member.Name]
		if !named {
			release = r.Most
		}
		g.releaseOf(member.Name, release)
	}
}
