package gossip

import (
	"context"
	"errors"
	"net/http"
	"syscall"

	"connectrpc.com/connect"

	"oleandershunt.example/oleandershunt/internal/core/digest"
	"oleandershunt.example/oleandershunt/internal/peer"
	membershipv1 "oleandershunt.example/oleandershunt/internal/peer/gen/peer/membership/v1"
	"oleandershunt.example/oleandershunt/internal/peer/gen/peer/membership/v1/membershipv1connect"
)

// Exchange talks to one VM: the first call shows what each side has, the second
// brings what the other side lacks.
func (g *Gossip) Exchange(ctx context.Context, vm string) error {
	client, err := g.client(vm)
	if err != nil {
		return err
	}
	_, err = g.exchange(ctx, vm, client)
	g.note(vm, err)
	return err
}

// contact talks to an address whose VM may not be known.
func (g *Gossip) contact(ctx context.Context, address string) {
	httpClient, url := g.options.Dialer.Seed(address)
	_, _ = g.exchange(ctx, "", newClient(httpClient, url))
}

func (g *Gossip) exchange(ctx context.Context, vm string, client membershipv1connect.MembershipServiceClient) (*membershipv1.Message, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	g.mu.Lock()
	hello := g.hello(vm)
	g.mu.Unlock()
	answer, err := send(ctx, client, hello)
	if err != nil {
		return nil, err
	}
	reply := g.take(vm, answer)
	if len(reply.GetDigests()) == 0 && len(reply.GetDeltas()) == 0 {
		return answer, nil
	}
	if answer, err = send(ctx, client, reply); err != nil {
		return nil, err
	}
	g.take(vm, answer)
	return answer, nil
}

func send(ctx context.Context, client membershipv1connect.MembershipServiceClient, message *membershipv1.Message) (*membershipv1.Message, error) {
	response, err := client.Exchange(ctx, connect.NewRequest(&membershipv1.ExchangeRequest{Message: message}))
	if err != nil {
		return nil, err
	}
	return response.Msg.GetMessage(), nil
}

// handler answers the other VMs' calls.
type handler struct{ *Gossip }

// Handler is the connect-go handler of the gossip, for peer.Server.Handle.
func (g *Gossip) Handler() (string, http.Handler) {
	return membershipv1connect.NewMembershipServiceHandler(handler{g})
}

// Exchange implements the service.
func (h handler) Exchange(_ context.Context, request *connect.Request[membershipv1.ExchangeRequest]) (*connect.Response[membershipv1.ExchangeResponse], error) {
	from := request.Header().Get(peer.HeaderFrom)
	reply := h.take(from, request.Msg.GetMessage())
	return connect.NewResponse(&membershipv1.ExchangeResponse{Message: reply}), nil
}

// take merges a message and makes what it asks for.
func (g *Gossip) take(from string, message *membershipv1.Message) *membershipv1.Message {
	g.mu.Lock()
	g.vms.RecordContact(g.options.Now(), from)
	g.merge(readDeltas(message.GetDeltas()))
	g.releaseOf(from, message.GetRelease())
	reply := g.message()
	for _, d := range message.GetDigests() {
		g.answer(from, d, reply)
	}
	g.answerMissing(from, message, reply)
	g.mu.Unlock()
	g.drain()
	return reply
}

func (g *Gossip) message() *membershipv1.Message {
	return &membershipv1.Message{DataCentre: g.self.DataCentre, Release: g.release}
}

// hello shows what this VM has: all marks of the Local streams to a VM of its
// data centre, and of State one number for each data centre.
func (g *Gossip) hello(vm string) *membershipv1.Message {
	message := g.message()
	if member, ok := g.options.Directory.Member(vm); ok && member.DataCentre == g.self.DataCentre {
		d := g.localDigest(vm)
		d.Ask = true
		message.Digests = append(message.Digests, d)
	}
	for _, dataCentre := range g.store.DataCentres() {
		message.Digests = append(message.Digests, &membershipv1.Digest{DataCentre: dataCentre, Sum: g.store.StateHash(dataCentre), Ask: true})
	}
	return message
}

// localDigest leaves the origins out if the VM was last heard with the same set.
func (g *Gossip) localDigest(vm string) *membershipv1.Digest {
	d := &membershipv1.Digest{DataCentre: g.self.DataCentre, Local: true, Sum: g.store.OriginsHash(g.self.DataCentre)}
	d.Origins, d.Versions = wireMarks(g.store.Watermarks(g.self.DataCentre, digest.Local), !g.agreed[vm])
	return d
}

// answer adds to a reply what a digest shows that its sender lacks, and the own
// digest where the sender asks for it.
func (g *Gossip) answer(from string, d *membershipv1.Digest, reply *membershipv1.Message) {
	if d.GetLocal() {
		g.answerLocal(from, d, reply)
		return
	}
	dataCentre := d.GetDataCentre()
	if d.GetSum() == g.store.StateHash(dataCentre) {
		return
	}
	if d.GetFull() {
		if marks, ok := readMarks(d, g.store.Watermarks(dataCentre, digest.State)); ok {
			reply.Deltas = append(reply.Deltas, wireDeltas(g.store.Deltas(dataCentre, digest.State, marks, messageBudget))...)
		}
	}
	if !d.GetAsk() {
		return
	}
	reply.Digests = append(reply.Digests, g.stateDigest(from, dataCentre, !d.GetFull()))
}

// stateDigest leaves the origins out like localDigest. Should the sets have come
// to differ since, the marks are misread once: what is sent too much changes
// nothing, and what is sent too little comes with a later exchange.
func (g *Gossip) stateDigest(vm, dataCentre string, ask bool) *membershipv1.Digest {
	same := dataCentre == g.self.DataCentre && g.agreed[vm]
	d := &membershipv1.Digest{DataCentre: dataCentre, Sum: g.store.StateHash(dataCentre), Ask: ask, Full: true}
	d.Origins, d.Versions = wireMarks(g.store.Watermarks(dataCentre, digest.State), !same)
	return d
}

// answerMissing shows to a VM that asks what this one has of data centres which
// the other does not know at all.
func (g *Gossip) answerMissing(from string, message, reply *membershipv1.Message) {
	asked := make(map[string]bool)
	hello := false
	for _, d := range message.GetDigests() {
		if !d.GetLocal() {
			asked[d.GetDataCentre()] = true
			hello = hello || (d.GetAsk() && !d.GetFull())
		}
	}
	if !hello {
		return
	}
	for _, dataCentre := range g.store.DataCentres() {
		if !asked[dataCentre] {
			reply.Digests = append(reply.Digests, g.stateDigest(from, dataCentre, true))
		}
	}
}

func (g *Gossip) answerLocal(from string, d *membershipv1.Digest, reply *membershipv1.Message) {
	if d.GetDataCentre() != g.self.DataCentre {
		return
	}
	own := g.store.Watermarks(g.self.DataCentre, digest.Local)
	g.agreed[from] = d.GetSum() == g.store.OriginsHash(g.self.DataCentre)
	if !d.GetAsk() && len(d.GetBare()) == 0 && len(d.GetVersions()) == 0 {
		return
	}
	answer := g.localDigest(from)
	// Without origins the versions are in the order of the sender's set. If
	// that is another, the next exchange brings the origins as well.
	if marks, ok := readMarks(d, own); ok && (len(d.GetOrigins()) > 0 || g.agreed[from]) {
		g.takeBeats(d, marks)
		bare := g.store.HeartbeatOnly(g.self.DataCentre, marks)
		for i, mark := range own {
			if _, ok := bare[mark.ID]; ok {
				answer.Bare = append(answer.Bare, uint32(i))
			}
		}
		for _, delta := range g.store.Deltas(g.self.DataCentre, digest.Local, marks, messageBudget) {
			if _, ok := bare[delta.ID]; !ok {
				reply.Deltas = append(reply.Deltas, wireDelta(delta))
			}
		}
	}
	if d.GetAsk() || len(answer.GetBare()) > 0 {
		reply.Digests = append(reply.Digests, answer)
	}
}

// takeBeats takes the versions of origins of which nothing else is new.
func (g *Gossip) takeBeats(d *membershipv1.Digest, marks []digest.Watermark) {
	var beats []digest.Watermark
	for _, i := range d.GetBare() {
		if int(i) < len(marks) {
			beats = append(beats, marks[i])
		}
	}
	for _, name := range g.store.ApplyHeartbeats(beats) {
		g.vms.RecordContact(g.options.Now(), name)
	}
}

// note takes the end of a call as a sign of life, or of death.
func (g *Gossip) note(vm string, err error) {
	g.mu.Lock()
	switch {
	case err == nil:
		g.vms.RecordContact(g.options.Now(), vm)
	case errors.Is(err, syscall.ECONNREFUSED):
		g.vms.ConnectionRefused(vm)
		g.tickVMs()
	}
	g.mu.Unlock()
	g.drain()
}

func (g *Gossip) client(vm string) (membershipv1connect.MembershipServiceClient, error) {
	httpClient, url, err := g.options.Dialer.Endpoint(vm)
	if err != nil {
		return nil, err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	client, ok := g.clients[vm]
	if !ok {
		client = newClient(httpClient, url)
		g.clients[vm] = client
	}
	return client, nil
}

func newClient(httpClient *http.Client, url string) membershipv1connect.MembershipServiceClient {
	// Messages are small and mostly hashes: compression would cost more
	// processor time than it saves bytes.
	return membershipv1connect.NewMembershipServiceClient(httpClient, url, connect.WithAcceptCompression("gzip", nil, nil))
}
