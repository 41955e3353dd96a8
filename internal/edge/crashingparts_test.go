package edge_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// crashingPart ends each server that begins to respond to a prompt with it.
const crashingPart = "bad0bad0"

// modelServer responds like a model server, and ends a moment after it began to respond to a prompt
// with crashingPart.
func (r *crashRig) modelServer(s *mortalServer) http.HandlerFunc {
	return func(w http.ResponseWriter, request *http.Request) {
		if !strings.Contains(request.Header.Get("X-Prefix-Hash"), crashingPart) {
			r.serve(w, request)
			return
		}
		r.recordSend()
		sign(w, request)
		w.(http.Flusher).Flush()
		time.Sleep(3 * crashDelay)
		s.end()
		panic(http.ErrAbortHandler)
	}
}

// prompt returns the header of a prompt of four parts, of which the last one is the request's own. If
// crashing is set, crashingPart takes the place of one of the others.
func prompt(random *rand.Rand, id string, crashing bool) string {
	parts := []string{fmt.Sprintf("a%d:40", random.IntN(3)), fmt.Sprintf("b%d:100", random.IntN(5)), fmt.Sprintf("c%d:100", random.IntN(7))}
	if crashing {
		parts[random.IntN(len(parts))] = crashingPart + ":100"
	}
	return strings.Join(append(parts, fmt.Sprintf("%x:600", id)), ",")
}

// streamPrompt sends a request with a prompt and reports whether it was served completely.
func (r *crashRig) streamPrompt(vm *rig, id, prompt string) bool {
	request, err := http.NewRequest(http.MethodPost, "http://"+vm.settings.CallerAddress+"/stream/"+id, strings.NewReader(id))
	r.Expect(err).NotTo(HaveOccurred())
	request.Host = "app.example"
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Api-Key", "key")
	request.Header.Set("X-Prefix-Hash", prompt)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return err == nil && response.StatusCode == http.StatusOK && string(body) == wholeStream()
}

// promptLoad sends prompts to all VMs for a time, one in four with crashingPart, and counts the sound
// ones that were sent in the last part of it.
type promptLoad struct {
	rig          *crashRig
	mu           sync.Mutex
	served, sent int
}

func (l *promptLoad) run(span, counted, interval time.Duration) {
	start := time.Now()
	var requests sync.WaitGroup
	for i, vm := range l.rig.vms {
		requests.Go(func() {
			random := rand.New(rand.NewPCG(uint64(i), 1))
			for n := 0; time.Since(start) < span; n++ {
				id, crashing := fmt.Sprintf("p-%d-%d", i, n), n%4 == 3
				text, counts := prompt(random, id, crashing), time.Since(start) >= span-counted
				requests.Go(func() {
					served := l.rig.streamPrompt(vm, id, text)
					if !crashing && counts {
						l.count(served)
					}
				})
				time.Sleep(interval)
			}
		})
	}
	requests.Wait()
}

func (l *promptLoad) count(served bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent++
	if served {
		l.served++
	}
}

// Guards against servers that end one after the other under requests that have one part of their
// prompts in common and nothing else.
func TestAPartUnderWhichFiveServersEndedIsSentNoMore(t *testing.T) {
	for _, test := range []struct{ servers, vms int }{{12, 3}, {24, 6}} {
		t.Run(fmt.Sprintf("%d servers, %d VMs", test.servers, test.vms), func(t *testing.T) {
			t.Parallel()
			r := newCrashRig(t, test.vms, false)
			r.addServers(test.servers, modelServer(), r.modelServer)
			for i, vm := range r.vms {
				r.Eventually(func() bool { return r.streamPrompt(vm, fmt.Sprint("warm-", i), "a0:40,1:1") }, "8s").Should(BeTrue())
			}
			load := promptLoad{rig: r}
			const span, counted = 16 * time.Second, 6 * time.Second
			load.run(span, counted, time.Duration(test.vms)*15*time.Millisecond)
			t.Logf("%d sends, %d ends, %d late; sound %d of %d", len(r.sends), len(r.ends), r.lateSends(5), load.served, load.sent)
			r.Expect(r.endCount()).To(BeNumerically(">=", 3))
			r.Expect(r.lateSends(5)).To(BeNumerically("<=", maxLateSends), "%d ends", r.endCount())
			r.Expect(load.served).To(BeNumerically(">=", load.sent*9/10), "sound requests beside them")
		})
	}
}
