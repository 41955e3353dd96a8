package mirror

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"oleandershunt.example/oleandershunt/internal/core/lease"
)

// assignment says whether this VM reads the platform, and which VMs it fetches from
// otherwise.
type assignment struct {
	// reads is true if this VM reads the platform for the others.
	reads bool
	// sources are the VMs to fetch from, in order of preference.
	sources []string
	// spacing is the minimum time between two direct reads of the platform that fail when
	// no source has a valid answer. 0 for the first VMs of a data centre, which read it at
	// once.
	spacing time.Duration
	// position is that of this VM among the VMs of its data centre, of which there are vms.
	position, vms int
}

// assignment returns the current assignment of this VM.
func (f *Follower) assignment() assignment {
	if !f.MembershipSettled() {
		return assignment{reads: f.IsSeed, sources: f.rotated(f.Seeds)}
	}
	readers := chooseReaders(f.AllVMs())
	if slices.Contains(readers, f.Self) {
		return assignment{reads: true}
	}
	near := f.LocalVMs()
	position := lease.Position(near, f.Self) // the last position for a VM that is stopping
	if position < ReaderCount {
		return assignment{sources: f.rotated(readers)}
	}
	limit := ReaderCount + backupReaders
	if position < limit {
		// Backup readers read the platform rather than fetch from one another.
		return assignment{sources: f.rotated(vmNames(near[:ReaderCount]))}
	}
	serving := servingVMs(near)
	spacing := time.Duration(position) * fallbackSpacing
	if position < serving {
		return assignment{sources: f.rotated(vmNames(near[:ReaderCount])), spacing: spacing, position: position, vms: len(near)}
	}
	preferred := f.rotated(vmNames(near[:serving]))
	sources := preferred[:min(ReaderCount, len(preferred))]
	for _, backup := range vmNames(near[:min(limit, len(near))]) {
		if !slices.Contains(sources, backup) {
			sources = append(sources, backup)
		}
	}
	return assignment{sources: sources, spacing: spacing, position: position, vms: len(near)}
}

// servingVMs returns the number of highest-ranked VMs of a data centre from which the others
// fetch: ReaderCount, or more if each would serve more than fetchersPerSource VMs. VMs with
// less than half of the highest number of cores don't serve others.
func servingVMs(near []lease.VM) int {
	wanted := max((len(near)+fetchersPerSource-1)/fetchersPerSource, ReaderCount)
	large := 0
	for large < len(near) && near[large].Cores >= near[0].Cores/2 {
		large++
	}
	return min(len(near), max(min(wanted, large), ReaderCount))
}

// chooseReaders returns the VMs that read the platform for all: the first one, and the
// first one of another data centre.
func chooseReaders(all []lease.VM) []string {
	var readers []string
	for _, vm := range all {
		if len(readers) == 0 || vm.DataCentre != all[0].DataCentre {
			readers = append(readers, vm.Name)
		}
		if len(readers) == ReaderCount {
			return readers
		}
	}
	return vmNames(all[:min(ReaderCount, len(all))])
}

func vmNames(vms []lease.VM) []string {
	names := make([]string, len(vms))
	for i, vm := range vms {
		names[i] = vm.Name
	}
	return names
}

// rotated returns the names starting at an offset derived from this VM's name, so that
// the VMs spread their requests.
func (f *Follower) rotated(names []string) []string {
	if len(names) == 0 {
		return nil
	}
	first := int(xxhash.Sum64String(f.Self) % uint64(len(names)))
	return slices.Concat(names[first:], names[:first])
}
