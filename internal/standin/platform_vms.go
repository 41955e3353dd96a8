package standin

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"oleandershunt.example/oleandershunt/internal/platform"
)

// vmChange is an entry of the list of VMs that takes effect when the list's lag has passed.
type vmChange struct {
	vm      platform.VM
	removed bool
	at      time.Time
}

// vmList is the platform's list of VMs, which may lag.
type vmList struct {
	mu      sync.Mutex
	lag     time.Duration
	vms     map[string]platform.VM
	pending []vmChange
}

func newVMList() *vmList { return &vmList{vms: make(map[string]platform.VM)} }

func (l *vmList) change(change vmChange) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change.at = time.Now()
	l.pending = append(l.pending, change)
	l.settle()
}

// settle applies the changes that are older than the lag. It must be called with the lock held.
func (l *vmList) settle() {
	for len(l.pending) > 0 && time.Since(l.pending[0].at) >= l.lag {
		change := l.pending[0]
		l.pending = l.pending[1:]
		if change.removed {
			delete(l.vms, change.vm.Name)
			continue
		}
		l.vms[change.vm.Name] = change.vm
	}
}

func (l *vmList) visible() []platform.VM {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.settle()
	vms := make([]platform.VM, 0, len(l.vms))
	for _, vm := range l.vms {
		vms = append(vms, vm)
	}
	slices.SortFunc(vms, func(a, b platform.VM) int { return cmp.Compare(a.Name, b.Name) })
	return vms
}

// SetVM puts a VM into the platform's list, once the list's lag has passed.
func (p *Platform) SetVM(vm platform.VM) { p.vms.change(vmChange{vm: vm}) }

// RemoveVM takes a VM out of the platform's list, once the list's lag has passed.
func (p *Platform) RemoveVM(name string) {
	p.vms.change(vmChange{vm: platform.VM{Name: name}, removed: true})
}

// SetVMLag makes the list of VMs show changes later by the given time.
func (p *Platform) SetVMLag(lag time.Duration) {
	p.vms.mu.Lock()
	defer p.vms.mu.Unlock()
	p.vms.lag = lag
}
