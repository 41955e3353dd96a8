package edge

import (
	"context"
	"testing"
	"time"

	"connectrpc.com/connect"
	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/core/backends"
	"oleandershunt.example/oleandershunt/internal/core/budget"
	"oleandershunt.example/oleandershunt/internal/core/tally"
	tallyv1 "oleandershunt.example/oleandershunt/internal/peer/gen/peer/tally/v1"
)

// Symptom: a VM counts its own requests twice, and finds servers full that have room.
// Sequence: it tells its hub, which tells it the sum. Cause: the sum holds what it told.
func TestAHubTellsAVMWhatTheOthersHave(t *testing.T) {
	g := NewWithT(t)
	hub := &tallies{self: "vm-1", dataCentre: "a", hub: tally.NewHub("a"), proof: newProofKeeper(), reaches: newReaches()}
	tell := func(vm, dataCentre string, units float64) tally.Tally {
		said := tally.Tally{VMs: 1, Loads: map[string]backends.Usage{"s1": {Memory: units * loadUnit, Running: 2}}, Counts: map[string]budget.Count{"llm": {Requests: 4, Retries: 1}}, Full: map[string]time.Duration{"s9": 400 * time.Millisecond}}
		answer, err := hub.Tell(context.Background(), connect.NewRequest(&tallyv1.TellRequest{Vm: vm, DataCentre: dataCentre, Tally: wireTally(said, 0)}))
		g.Expect(err).NotTo(HaveOccurred())
		return readTally(answer.Msg.Tally, 0)
	}
	alone := tell("vm-2", "", 5)
	g.Expect(alone.VMs).To(BeZero(), "nobody else has told anything")
	g.Expect(alone.Full).To(BeEmpty(), "its own word doesn't come back to it")
	heard := tell("vm-3", "", 7)
	g.Expect(heard.VMs).To(Equal(1))
	g.Expect(heard.Full).To(Equal(map[string]time.Duration{"s9": 400 * time.Millisecond}))
	g.Expect(heard.Loads).To(HaveKeyWithValue("s1", backends.Usage{Memory: 5.0 * loadUnit, Running: 2}))
	g.Expect(tell("hub-b", "b", 100).Loads).To(HaveKeyWithValue("s1", backends.Usage{Memory: 12.0 * loadUnit, Running: 4}), "the sum of the data centre")
	heard = tell("vm-2", "", 5)
	g.Expect(heard.VMs).To(Equal(2))
	g.Expect(heard.Loads).To(HaveKeyWithValue("s1", backends.Usage{Memory: 107.0 * loadUnit, Running: 4}))
	g.Expect(heard.Counts).To(HaveKeyWithValue("llm", budget.Count{Requests: 8, Retries: 2}))
}

func TestATallyThatIsCutShortIsReadAsFarAsItGoes(t *testing.T) {
	g := NewWithT(t)
	read := readTally(&tallyv1.Tally{Vms: 1, Servers: []string{"s1", "s2"}, Loads: []uint32{3}, Running: []uint32{1, 5}, Full: []string{"s1", "s2"}, FullMillis: []uint32{200}}, 0)
	g.Expect(read.Loads).To(Equal(map[string]backends.Usage{"s1": {Memory: 3 * loadUnit, Running: 1}}))
	g.Expect(read.Full).To(Equal(map[string]time.Duration{"s1": 200 * time.Millisecond}))
	g.Expect(readTally(nil, 0).VMs).To(BeZero())
}
