package edge

import (
	"encoding/hex"
	"os"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/dynamicpb"

	"oleandershunt.example/oleandershunt/internal/core/backends"
	"oleandershunt.example/oleandershunt/internal/core/budget"
	"oleandershunt.example/oleandershunt/internal/core/promise"
	"oleandershunt.example/oleandershunt/internal/core/ratelimit"
	"oleandershunt.example/oleandershunt/internal/core/tally"
	tallyv1 "oleandershunt.example/oleandershunt/internal/peer/gen/peer/tally/v1"
	"oleandershunt.example/oleandershunt/internal/testutil"
)

func newPromises() map[string]promise.Report {
	return map[string]promise.Report{"llm": {
		Rate: 12.5, Buckets: []uint32{0, 1, 2}, Keys: []promise.Due{
			{Key: 7, In: -40 * time.Millisecond, Ended: true}, {Key: 8, In: 150 * time.Millisecond}, {Key: 1 << 63, In: 250 * time.Millisecond, Ended: true, Lost: true},
		},
	}}
}

// goldenTally is what the files tally.hex state: that of 8853e83 all but the promises.
func goldenTally() tally.Tally {
	return tally.Tally{
		VMs: 3, Loads: map[string]backends.Usage{"s1": {Memory: 4 * tally.LoadUnit, Running: 3}},
		Counts: map[string]budget.History{"llm": {{Requests: 9, Retries: 2}}},
		Full:   map[string]time.Duration{"s2": 200 * time.Millisecond},
		Rates:  map[string]ratelimit.Report{"s3": {PerSecond: 6.5, ObservedAt: -time.Second}},
	}
}

func encodedHex(g *WithT, message proto.Message) string {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	g.Expect(err).NotTo(HaveOccurred())
	return hex.EncodeToString(data)
}

func readHex(g *WithT, file string) string {
	text, err := os.ReadFile(file)
	g.Expect(err).NotTo(HaveOccurred())
	return strings.TrimSpace(string(text))
}

// withoutPromises returns the descriptor of a tally as 8853e83 knows it.
func withoutPromises(g *WithT) protoreflect.MessageDescriptor {
	file := protodesc.ToFileDescriptorProto(tallyv1.File_peer_tally_v1_tally_proto)
	for _, message := range file.MessageType {
		if message.GetName() != "Tally" {
			continue
		}
		fields := message.Field
		message.Field = nil
		for _, field := range fields {
			if field.GetNumber() <= 10 {
				message.Field = append(message.Field, field)
			}
		}
	}
	descriptor, err := protodesc.NewFile(file, nil)
	g.Expect(err).NotTo(HaveOccurred())
	return descriptor.Messages().ByName("Tally")
}

// Guards against tallies that VMs of 8853e83 can't read, or whose promises are read differently after
// a change of the messages, while an operator replaces the VMs.
func TestTalliesWithAndWithoutPromisesAreReadByBothBuilds(t *testing.T) {
	g := NewWithT(t)
	const old, current = "testdata/8853e83/tally.hex", "testdata/promises/tally.hex"
	var message tallyv1.Tally
	testutil.ReadMessage(t, old, &message)
	g.Expect(decodeTally(&message, 0)).To(Equal(goldenTally()), "no promises")
	g.Expect(encodedHex(g, encodeTally(goldenTally(), 0))).To(Equal(readHex(g, old)), "without promises nothing changes")

	promised := goldenTally()
	promised.Promises = newPromises()
	g.Expect(encodedHex(g, encodeTally(promised, 0))).To(Equal(readHex(g, current)))
	testutil.ReadMessage(t, current, &message)
	g.Expect(decodeTally(&message, 0)).To(Equal(promised))

	earlier := dynamicpb.NewMessage(withoutPromises(g))
	testutil.ReadMessage(t, current, earlier)
	earlier.SetUnknown(nil)
	g.Expect(encodedHex(g, earlier)).To(Equal(readHex(g, old)), "what the earlier build reads")
}

// Guards against a truncated or invalid message that stops the exchange of tallies.
func TestInvalidPromisesAreReadAsFarAsPossible(t *testing.T) {
	g := NewWithT(t)
	read := decodeTally(&tallyv1.Tally{Promises: map[string]*tallyv1.Promises{
		"llm": {Rate: -1, Buckets: make([]uint32, 1000), Keys: []uint64{1, 2}, DueMillis: []int32{5}, States: []uint32{0, 0, 0}}, "app": nil,
	}}, 0)
	g.Expect(read.Promises["llm"]).To(Equal(promise.Report{Buckets: make([]uint32, promise.Horizon), Keys: []promise.Due{{Key: 1, In: 5 * time.Millisecond}}}))
	g.Expect(read.Promises["app"]).To(Equal(promise.Report{}))
}
