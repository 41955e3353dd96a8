package mirror

import (
	"testing"
	"time"

	"connectrpc.com/connect"
	. "github.com/onsi/gomega"

	entriesv1 "oleandershunt.example/oleandershunt/internal/peer/gen/peer/entries/v1"
	"oleandershunt.example/oleandershunt/internal/platform"
	"oleandershunt.example/oleandershunt/internal/testutil"
)

// The files hold messages that a process of the previous build wrote. Guards against VMs of the two
// builds that can't learn the entries from one another while an operator replaces them.
func TestMessagesOfThePreviousBuildAreRead(t *testing.T) {
	g := NewWithT(t)
	var response entriesv1.ChangesResponse
	testutil.ReadMessage(t, "testdata/previous-build/entries-response.hex", &response)
	page, proof, ok := decode("servers", &response, time.Hour)
	g.Expect(ok).To(BeTrue())
	g.Expect(page.IsSnapshot).To(BeTrue())
	g.Expect(page.Version).To(BeEquivalentTo(9))
	g.Expect(page.Events).To(HaveLen(2))
	g.Expect(string(page.Events[0].Object.Value)).To(Equal(`{"a":1}`))
	g.Expect(page.Events[1].Deleted).To(BeTrue())
	g.Expect(proof.VerifiedAt).To(Equal(time.Hour - time.Second))

	var request entriesv1.ChangesRequest
	testutil.ReadMessage(t, "testdata/previous-build/entries-request.hex", &request)
	log := NewLog(discard{}, func() time.Duration { return time.Minute })
	g.Expect(log.HandleList(platform.List{Version: 4, Items: []platform.Object{{Name: "s1", Version: 4}}})).To(Succeed())
	log.recordPlatformAnswer()
	answer, err := (&Service{Log: log}).Changes(t.Context(), connect.NewRequest(&request))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(answer.Msg.Entries).To(HaveLen(1), "all entries in the field that it reads")
	g.Expect(answer.Msg.Packed).To(BeEmpty())
	g.Expect(answer.Msg.ProofAgeMicros).NotTo(BeNil())
}

// discard is a sink that drops everything.
type discard struct{}

func (discard) HandleList(platform.List) error        { return nil }
func (discard) HandleEvent(platform.WatchEvent) error { return nil }
func (discard) HandleError(error)                     {}
