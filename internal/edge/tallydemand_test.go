package edge

import (
	"net"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/reflect/protoregistry"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/dynamicpb"

	"oleandershunt.example/oleandershunt/internal/core/demand"
	"oleandershunt.example/oleandershunt/internal/core/tally"
	"oleandershunt.example/oleandershunt/internal/peer"
	tallyv1 "oleandershunt.example/oleandershunt/internal/peer/gen/peer/tally/v1"
	"oleandershunt.example/oleandershunt/internal/peer/gen/peer/tally/v1/tallyv1connect"
	"oleandershunt.example/oleandershunt/internal/testutil"
)

// demandReport is a report with every field of a demand.
func demandReport() demand.Report {
	return demand.Report{
		Counts: map[demand.Key]demand.Counts{
			{Service: "llm", Priority: 2}: {
				Offered: demand.Amount{Requests: 9, Work: 900}, Started: demand.Amount{Requests: 5, Work: 500},
				Refused: demand.Amount{Requests: 3, Work: 300}, OverShare: demand.Amount{Requests: 4, Work: 350}, Waiting: demand.Amount{Requests: 1, Work: 100},
			},
			{Service: "llm"}: {Offered: demand.Amount{Requests: 1, Work: 70}, Started: demand.Amount{Requests: 1, Work: 70}},
			{Service: "app"}: {Offered: demand.Amount{Requests: 4, Work: 4}, Started: demand.Amount{Requests: 4, Work: 4}},
		},
		Accounts: map[string]demand.Summary{
			"app": {Accounts: []demand.Account{{Name: "a", Work: 4}}},
			"llm": {Accounts: []demand.Account{{Name: "b", Work: 800, Error: 30}, {Name: "a", Work: 140}}, Rest: 30},
		},
	}
}

func newDemandHub() *tallyExchanger {
	return &tallyExchanger{self: "vm-1", dataCentre: "a", process: 1, hub: tally.NewHub("a", 1, anyServer), proof: newProofTracker(), reachability: newReachabilityTracker()}
}

func TestDemandIsEncodedCompletely(t *testing.T) {
	g := NewWithT(t)
	report := demandReport()
	message := encodeTally(tally.Tally{VMs: 1, Demand: report}, 0)
	g.Expect(decodeTally(message, 0).Demand).To(Equal(report))
	overall := &demand.Overall{
		Counts: report.Counts, Accounts: report.Accounts,
		DataCentres: map[string]map[demand.Key]demand.Rate{"a": demand.Rates(report.Counts), "b": {{Service: "app"}: {Offered: 3, Started: 2}}},
	}
	response := &tallyv1.TellResponse{}
	addOverall(response, overall)
	g.Expect(decodeOverall(response)).To(Equal(overall))
}

// Guards against the cost of demand on idle VMs: a message without requests is as long as before.
func TestNothingIsSentWithoutRequests(t *testing.T) {
	g := NewWithT(t)
	message := encodeTally(tally.Tally{VMs: 1, Demand: demand.NewCounter().Report(time.Second)}, 0)
	g.Expect(proto.Size(message)).To(Equal(proto.Size(&tallyv1.Tally{Vms: 1})))
	hub := newDemandHub()
	answer := hub.answer(time.Second, &tallyv1.TellRequest{Vm: "vm-2", Tally: message, Known: &tallyv1.Known{}}, decodeTally(message, time.Second))
	g.Expect(answer.Demand).To(BeNil())
	g.Expect(answer.DemandByDataCentre).To(BeEmpty())
	g.Expect(answer.HeavyHitters).To(BeEmpty())
	g.Expect(decodeOverall(answer)).To(BeNil())
}

// Guards against demand that stays in the sums after its VM ended, and against sums of another data
// centre that are counted for this one.
func TestHubPassesOnDemandOfAllVMs(t *testing.T) {
	g := NewWithT(t)
	hub := newDemandHub()
	report := demandReport()
	tell := func(now time.Duration, vm, dataCentre string, reported tally.Tally, known *tallyv1.Known) *tallyv1.TellResponse {
		message := encodeTally(reported, now)
		return hub.answer(now, &tallyv1.TellRequest{Vm: vm, DataCentre: dataCentre, Tally: message, Known: known}, decodeTally(message, now))
	}
	now := time.Second
	tell(now, "vm-2", "", tally.Tally{VMs: 1, Demand: report}, &tallyv1.Known{})
	sum := tell(now, "hub-b", "b", tally.Tally{VMs: 3, Demand: report}, nil)
	g.Expect(decodeTally(sum.Tally, now).Demand).To(Equal(report), "the sum of the data centre")
	g.Expect(sum.Demand).To(BeNil())
	g.Expect(decodeOverall(tell(now, "vm-old", "", tally.Tally{VMs: 1}, nil))).To(BeNil(), "a VM of an older build doesn't read it")
	now += 100 * time.Millisecond
	for _, known := range []*tallyv1.Known{{}, {}} {
		answer := tell(now, "vm-3", "", tally.Tally{VMs: 1}, known)
		g.Expect(answer.DemandComplete).To(BeTrue())
		overall := decodeOverall(answer)
		g.Expect(overall.Service("llm").Offered).To(Equal(demand.Amount{Requests: 20, Work: 1940}))
		g.Expect(overall.Rate("llm", "a")).To(Equal(demand.Rate{Offered: 970, Started: 570}))
		g.Expect(overall.Rate("llm", "b")).To(Equal(demand.Rate{Offered: 970, Started: 570}))
		g.Expect(overall.Accounts).To(Equal(map[string]demand.Summary{
			"llm": {Accounts: []demand.Account{{Name: "b", Work: 1600, Error: 60}, {Name: "a", Work: 280}}, Rest: 60},
		}), "of the service that is short of capacity")
		g.Expect(answer.Tally.Demand).To(BeNil(), "it is sent once")
	}
	answer := tell(now, "vm-3", "", tally.Tally{VMs: 1}, &tallyv1.Known{})
	answer = tell(now, "vm-3", "", tally.Tally{VMs: 1}, answer.Known)
	g.Expect(answer.DemandComplete).To(BeFalse())
	g.Expect(decodeOverall(answer).Services()).To(Equal([]string{"llm"}), "between complete answers, what is short of capacity")
	later := now + tally.ReportTTL + time.Millisecond
	g.Expect(decodeOverall(tell(later, "vm-3", "", tally.Tally{VMs: 1}, &tallyv1.Known{}))).To(BeNil(), "the VMs are gone")
}

// Guards against a message that makes a VM fail: columns may be shorter than they should be, rows may
// not exist, and numbers may be out of range.
func TestTruncatedDemandIsDecodedAsFarAsPossible(t *testing.T) {
	g := NewWithT(t)
	response := &tallyv1.TellResponse{
		Demand: &tallyv1.Demand{Services: []string{"llm", "app"}, Priorities: []uint32{1}, OfferedRequests: []uint64{1 << 63}, OfferedWork: []uint64{2, 3}},
		DemandByDataCentre: []*tallyv1.DataCentreDemand{
			{DataCentre: "a", Rows: []uint32{1, 7, 1 << 31}, OfferedWork: []uint64{3}},
		},
		HeavyHitters: []*tallyv1.HeavyHitters{{Service: "llm", Accounts: []string{"a", "a", "b"}, Work: []uint64{5, 6}, Excess: []uint64{9}, Rest: 1 << 63}},
	}
	overall := decodeOverall(response)
	g.Expect(overall.Counts).To(Equal(map[demand.Key]demand.Counts{
		{Service: "llm", Priority: 1}: {Offered: demand.Amount{Requests: maxReported, Work: 2}},
		{Service: "app"}:              {Offered: demand.Amount{Work: 3}},
	}))
	g.Expect(overall.DataCentres).To(Equal(map[string]map[demand.Key]demand.Rate{"a": {{Service: "app"}: {Offered: 3}}}))
	g.Expect(overall.Accounts["llm"]).To(Equal(demand.Summary{Accounts: []demand.Account{{Name: "a", Work: 5, Error: 5}, {Name: "b"}}, Rest: maxReported}))
	many := &tallyv1.HeavyHitters{Service: "llm"}
	for i := range 100 {
		many.Accounts, many.Work = append(many.Accounts, string(rune('A'+i))), append(many.Work, uint64(100-i))
	}
	g.Expect(decodeSummaries([]*tallyv1.HeavyHitters{many})["llm"].Accounts).To(HaveLen(demand.MaxAccounts))
}

// demandFields are the fields by message that builds up to 8853e83 don't have.
var demandFields = map[protoreflect.Name][]int32{"Tally": {11, 12}, "TellResponse": {12, 13, 14, 15}}

// buildWithoutDemand returns the message types of a build that doesn't have the fields of the demand.
func buildWithoutDemand(g *WithT) protoreflect.FileDescriptor {
	file := protodesc.ToFileDescriptorProto(tallyv1.File_peer_tally_v1_tally_proto)
	for _, message := range file.MessageType {
		added := demandFields[protoreflect.Name(message.GetName())]
		message.ReservedRange = nil
		message.Field = slices.DeleteFunc(message.Field, func(field *descriptorpb.FieldDescriptorProto) bool { return slices.Contains(added, field.GetNumber()) })
	}
	file.MessageType = slices.DeleteFunc(file.MessageType, func(message *descriptorpb.DescriptorProto) bool {
		return slices.Contains([]string{"Demand", "DataCentreDemand", "HeavyHitters"}, message.GetName())
	})
	built, err := protodesc.NewFile(file, protoregistry.GlobalFiles)
	g.Expect(err).NotTo(HaveOccurred())
	return built
}

// Guards against fields of which the number, the type or the meaning changes: the files hold a report
// and an answer with demand, as this build first sent them.
func TestMessagesWithDemandKeepTheirForm(t *testing.T) {
	g := NewWithT(t)
	var request tallyv1.TellRequest
	var response tallyv1.TellResponse
	testutil.ReadMessage(t, "testdata/demand/tally-request.hex", &request)
	testutil.ReadMessage(t, "testdata/demand/tally-response.hex", &response)
	g.Expect(decodeTally(request.Tally, 0).Demand).To(Equal(demandReport()))
	overall := decodeOverall(&response)
	g.Expect(overall.Counts).To(Equal(demandReport().Counts))
	g.Expect(overall.DataCentres).To(Equal(map[string]map[demand.Key]demand.Rate{"a": demand.Rates(demandReport().Counts)}))
	g.Expect(overall.Accounts).To(Equal(map[string]demand.Summary{"llm": demandReport().Accounts["llm"]}))
}

// Guards against VMs of two builds that don't understand one another while an operator replaces them.
func TestBuildWithoutDemandIgnoresIt(t *testing.T) {
	g := NewWithT(t)
	old := buildWithoutDemand(g)
	requestType := old.Messages().ByName("TellRequest")
	responseType := old.Messages().ByName("TellResponse")
	var request tallyv1.TellRequest
	var response tallyv1.TellResponse
	testutil.ReadMessage(t, "testdata/demand/tally-request.hex", &request)
	testutil.ReadMessage(t, "testdata/demand/tally-response.hex", &response)
	for _, message := range []struct {
		sent proto.Message
		as   protoreflect.MessageDescriptor
	}{{&request, requestType}, {&response, responseType}} {
		data, err := proto.Marshal(message.sent)
		g.Expect(err).NotTo(HaveOccurred())
		read := dynamicpb.NewMessage(message.as)
		g.Expect(proto.Unmarshal(data, read)).To(Succeed())
		fields := read.ProtoReflect()
		reported := fields.Get(message.as.Fields().ByName("tally")).Message()
		g.Expect(reported.Get(reported.Descriptor().Fields().ByName("vms")).Uint()).To(BeNumerically("==", 3))
		counts := reported.Get(reported.Descriptor().Fields().ByName("counts")).Map()
		g.Expect(counts.Has(protoreflect.ValueOfString("llm").MapKey())).To(BeTrue())

		// What that build sends, without the fields, is a message without demand.
		g.Expect(len(reported.GetUnknown())+len(fields.GetUnknown())).To(BeNumerically(">", 0), "the demand")
		reported.SetUnknown(nil)
		fields.SetUnknown(nil)
		data, err = proto.Marshal(read)
		g.Expect(err).NotTo(HaveOccurred())
		back := message.sent.ProtoReflect().New().Interface()
		g.Expect(proto.Unmarshal(data, back)).To(Succeed())
		switch back := back.(type) {
		case *tallyv1.TellRequest:
			g.Expect(decodeTally(back.Tally, 0).VMs).To(Equal(3))
			g.Expect(decodeTally(back.Tally, 0).Demand).To(Equal(demand.Report{}))
		case *tallyv1.TellResponse:
			g.Expect(decodeTally(back.Tally, 0).VMs).To(Equal(3))
			g.Expect(decodeOverall(back)).To(BeNil())
		}
	}
}

// Guards against demand that is lost between the messages and what the dispatcher gets, and against a
// partial answer that takes the place of a complete one.
func TestVMLearnsDemandFromItsHub(t *testing.T) {
	g := NewWithT(t)
	hub := newDemandHub()
	server := peer.NewServer(peer.Identity{Name: "vm-1", Deployment: deployment}, nil, func(string, string, error) {})
	server.Handle(tallyv1connect.NewTallyServiceHandler(hub))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	serving := server.HTTPServer()
	go func() { _ = serving.Serve(listener) }()
	t.Cleanup(func() { _ = serving.Close() })
	directory := peer.NewDirectory()
	directory.Put(peer.Member{Name: "vm-1", DataCentre: "a", Address: listener.Addr().String()})
	vm := &tallyExchanger{
		self: "vm-2", dataCentre: "a", hub: tally.NewHub("a", 1, anyServer), view: tally.NewView(anyServer), proof: newProofTracker(),
		reachability: newReachabilityTracker(), dialer: peer.NewDialer(directory, peer.Identity{Name: "vm-2", Deployment: deployment}, nil),
	}
	own := tally.Tally{VMs: 1, Process: 5, Demand: demandReport()}
	for _, elsewhere := range []bool{true, false} {
		response, err := vm.report(t.Context(), "vm-1", own, elsewhere)
		g.Expect(err).NotTo(HaveOccurred())
		overall := response.tally.Overall
		g.Expect(overall.Services()).To(Equal([]string{"app", "llm"}))
		g.Expect(overall.Rate("llm", "a")).To(Equal(demand.Rate{Offered: 970, Started: 570}))
		g.Expect(overall.Accounts["llm"]).To(Equal(demandReport().Accounts["llm"]))
	}
}
