package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"oleandershunt.example/oleandershunt/platform/standin"
)

// Parameters of uploads.
const (
	// uploaders is the number of callers that upload, one body after the other, and uploadFor how much
	// longer than their fault they do.
	uploaders   = 240
	uploadFor   = 10 * time.Second
	uploadBytes = 4 << 20
	uploadTime  = 4 * time.Second
	uploadPart  = 64 << 10
	// uploadPause is the time between two bodies of a caller, as refusals ask for.
	uploadPause = 500 * time.Millisecond
	// killAfter is the time from the beginning until half of the VMs are killed, and downFor how long they
	// are down.
	killAfter = 4 * time.Second
	downFor   = 2 * time.Second
	// memoryInterval is the time between two samples of the VMs' memory.
	memoryInterval = 200 * time.Millisecond
)

// slowBody is the body of an upload, which arrives evenly over uploadTime.
type slowBody struct {
	sent  int
	begun time.Time
}

// Read implements io.Reader.
func (b *slowBody) Read(p []byte) (int, error) {
	if b.begun.IsZero() {
		b.begun = time.Now()
	}
	n := min(uploadPart, uploadBytes-b.sent, len(p))
	if n == 0 {
		return 0, io.EOF
	}
	due := b.begun.Add(uploadTime * time.Duration(b.sent) / uploadBytes)
	time.Sleep(time.Until(due))
	for i := range n {
		p[i] = uploadByte
	}
	b.sent += n
	return n, nil
}

const uploadByte = 'u'

// uploadDigest is what the servers' log has of an upload's body.
var uploadDigest = sync.OnceValue(func() string {
	return standin.Digest([]byte(strings.Repeat(string(uploadByte), uploadBytes)))
})

// upload lets many callers upload, and kills half of the VMs meanwhile.
func (w *world) upload(f Fault) error {
	w.floodMu.Lock() // no account is within its share meanwhile
	defer w.floodMu.Unlock()
	from := time.Now()
	until := from.Add(uploadFor + f.For)
	var callers sync.WaitGroup
	for i := range uploaders {
		random := rand.New(rand.NewPCG(w.options.Seed, uint64(i)))
		callers.Go(func() {
			for time.Now().Before(until) {
				v := w.callers.pick(random)
				if v == nil {
					time.Sleep(readyInterval)
					continue
				}
				id := w.callers.nextID()
				<-w.callers.start(v, request{id: id, route: standin.OnceRoute, account: drawAccount(random), path: pathOf(standin.OnceRoute, id), body: uploadDigest(), upload: true}, false)
				time.Sleep(uploadPause)
			}
		})
	}
	time.Sleep(killAfter)
	var kills sync.WaitGroup
	errs := make([]error, len(w.vms))
	for i := range len(w.vms) / 2 {
		kills.Go(func() { errs[i] = w.killFor(w.vms[i], downFor) })
	}
	kills.Wait()
	callers.Wait()
	w.mu.Lock()
	w.facts.floods = append(w.facts.floods, flood{"", from, time.Now()})
	w.mu.Unlock()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// killFor kills a VM's process, and starts it again after a time.
func (w *world) killFor(v *vm, span time.Duration) error {
	end := w.beginDisturbance(disturbancesOf(v.Name, func(f *observations) map[string]*spans { return f.vms }))
	defer end()
	v.restartMu.Lock()
	defer v.restartMu.Unlock()
	if err := v.signal(syscall.SIGKILL, true); err != nil {
		return err
	}
	v.wait(bounds.Grace)
	time.Sleep(span)
	v.Bootstrap = false
	return v.start(bounds, w.recordUnplannedExit)
}

// watchMemory samples the VMs' memory until done is closed.
func (w *world) watchMemory(done <-chan struct{}) {
	ticker := time.NewTicker(memoryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-done:
			return
		}
		for _, v := range w.vms {
			used := v.memoryMB()
			w.mu.Lock()
			w.facts.memory[v.Name] = max(w.facts.memory[v.Name], used)
			w.mu.Unlock()
		}
	}
}

// memoryMB returns the memory of a VM's process, without the pages of its program; 0 if none runs.
func (v *vm) memoryMB() int {
	v.mu.Lock()
	process := v.process
	v.mu.Unlock()
	if process == nil {
		return 0
	}
	status, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(process.Process.Pid), "status"))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, err := strconv.Atoi(strings.Fields(rest)[0])
			if err == nil {
				return kb >> 10
			}
		}
	}
	return 0
}

// checkMemory finds VMs whose memory exceeded their settings: they would have been killed.
func (f *observations) checkMemory() []finding {
	var found []finding
	for name, most := range f.memory {
		if most > standin.MemoryMB {
			found = append(found, finding{"memory above the limit", fmt.Sprintf("%s: %d MB of %d", name, most, standin.MemoryMB)})
		}
	}
	return found
}
