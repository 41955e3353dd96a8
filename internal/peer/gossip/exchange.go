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

// Exchange reconciles state with one VM: the first call compares digests and
// returns what this VM lacks, the second sends what the other VM lacks.
func (g *Gossip) Exchange(ctx context.Context, vm string) error {
	client, err := g.client(vm)
	if err != nil {
		return err
	}
	_, err = g.exchange(ctx, vm, client)
	g.recordCall(vm, err)
	return err
}

// contact exchanges with an address whose VM may be unknown.
func (g *Gossip) contact(ctx context.Context, address string) {
	httpClient, url := g.options.Dialer.Seed(address)
	_, _ = g.exchange(ctx, "", newClient(httpClient, url))
}

func (g *Gossip) exchange(ctx context.Context, vm string, client membershipv1connect.MembershipServiceClient) (*membershipv1.Message, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	g.mu.Lock()
	first := g.firstMessage(vm)
	g.mu.Unlock()
	answer, err := send(ctx, client, first)
	if err != nil {
		return nil, err
	}
	reply := g.handleMessage(vm, answer)
	if len(reply.GetDigests()) == 0 && len(reply.GetDeltas()) == 0 {
		return answer, nil
	}
	if answer, err = send(ctx, client, reply); err != nil {
		return nil, err
	}
	g.handleMessage(vm, answer)
	return answer, nil
}

func send(ctx context.Context, client membershipv1connect.MembershipServiceClient, message *membershipv1.Message) (*membershipv1.Message, error) {
	response, err := client.Exchange(ctx, connect.NewRequest(&membershipv1.ExchangeRequest{Message: message}))
	if err != nil {
		return nil, err
	}
	return response.Msg.GetMessage(), nil
}

// handler serves the membership service for other VMs.
type handler struct{ *Gossip }

// Handler returns the path and connect-go handler to pass to peer.Server.Handle.
func (g *Gossip) Handler() (string, http.Handler) {
	return membershipv1connect.NewMembershipServiceHandler(handler{g})
}

// Exchange implements MembershipServiceHandler.
func (h handler) Exchange(_ context.Context, request *connect.Request[membershipv1.ExchangeRequest]) (*connect.Response[membershipv1.ExchangeResponse], error) {
	from := request.Header().Get(peer.HeaderFrom)
	reply := h.handleMessage(from, request.Msg.GetMessage())
	return connect.NewResponse(&membershipv1.ExchangeResponse{Message: reply}), nil
}

// handleMessage merges a message and returns the reply to it.
func (g *Gossip) handleMessage(from string, message *membershipv1.Message) *membershipv1.Message {
	g.mu.Lock()
	g.vms.RecordContact(g.options.Now(), from)
	g.merge(decodeDeltas(message.GetDeltas()))
	g.recordRelease(from, message.GetRelease())
	reply := g.newMessage()
	for _, d := range message.GetDigests() {
		g.replyToDigest(from, d, reply)
	}
	g.addMissingDataCentres(from, message, reply)
	g.mu.Unlock()
	g.runCallbacks()
	return reply
}

func (g *Gossip) newMessage() *membershipv1.Message {
	return &membershipv1.Message{DataCentre: g.self.DataCentre, Release: g.release}
}

// firstMessage builds the first message of an exchange. It holds the watermarks of all
// Local streams if the VM is in the same data centre, and one hash of the State
// streams for each data centre.
func (g *Gossip) firstMessage(vm string) *membershipv1.Message {
	message := g.newMessage()
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

// localDigest returns the digest of the Local streams. It omits the origins if
// the last message from the VM had the same set of origins.
func (g *Gossip) localDigest(vm string) *membershipv1.Digest {
	d := &membershipv1.Digest{DataCentre: g.self.DataCentre, Local: true, Sum: g.store.OriginsHash(g.self.DataCentre)}
	d.Origins, d.Versions = encodeWatermarks(g.store.Watermarks(g.self.DataCentre, digest.Local), !g.sameOrigins[vm])
	return d
}

// replyToDigest adds to the reply the deltas that the sender of a digest lacks,
// and this VM's own digest if the sender asks for it.
func (g *Gossip) replyToDigest(from string, d *membershipv1.Digest, reply *membershipv1.Message) {
	if d.GetLocal() {
		g.replyToLocalDigest(from, d, reply)
		return
	}
	dataCentre := d.GetDataCentre()
	if d.GetSum() == g.store.StateHash(dataCentre) {
		return
	}
	if d.GetFull() {
		if marks, ok := decodeWatermarks(d, g.store.Watermarks(dataCentre, digest.State)); ok {
			reply.Deltas = append(reply.Deltas, encodeDeltas(g.store.Deltas(dataCentre, digest.State, marks, messageBudget))...)
		}
	}
	if !d.GetAsk() {
		return
	}
	reply.Digests = append(reply.Digests, g.stateDigest(from, dataCentre, !d.GetFull()))
}

// stateDigest returns the digest of a data centre's State streams. It omits the
// origins like localDigest. If the sets have diverged since, the receiver
// misreads the watermarks once: redundant deltas have no effect, and missing ones
// arrive with a later exchange.
func (g *Gossip) stateDigest(vm, dataCentre string, ask bool) *membershipv1.Digest {
	same := dataCentre == g.self.DataCentre && g.sameOrigins[vm]
	d := &membershipv1.Digest{DataCentre: dataCentre, Sum: g.store.StateHash(dataCentre), Ask: ask, Full: true}
	d.Origins, d.Versions = encodeWatermarks(g.store.Watermarks(dataCentre, digest.State), !same)
	return d
}

// addMissingDataCentres adds digests of the data centres that the sender of a first
// message did not mention.
func (g *Gossip) addMissingDataCentres(from string, message, reply *membershipv1.Message) {
	mentioned := make(map[string]bool)
	first := false
	for _, d := range message.GetDigests() {
		if !d.GetLocal() {
			mentioned[d.GetDataCentre()] = true
			first = first || (d.GetAsk() && !d.GetFull())
		}
	}
	if !first {
		return
	}
	for _, dataCentre := range g.store.DataCentres() {
		if !mentioned[dataCentre] {
			reply.Digests = append(reply.Digests, g.stateDigest(from, dataCentre, true))
		}
	}
}

func (g *Gossip) replyToLocalDigest(from string, d *membershipv1.Digest, reply *membershipv1.Message) {
	if d.GetDataCentre() != g.self.DataCentre {
		return
	}
	own := g.store.Watermarks(g.self.DataCentre, digest.Local)
	g.sameOrigins[from] = d.GetSum() == g.store.OriginsHash(g.self.DataCentre)
	if !d.GetAsk() && len(d.GetBare()) == 0 && len(d.GetVersions()) == 0 {
		return
	}
	answer := g.localDigest(from)
	// Without origins the versions are in the order of the sender's set of
	// origins. If the sets differ, the next exchange includes the origins.
	if marks, ok := decodeWatermarks(d, own); ok && (len(d.GetOrigins()) > 0 || g.sameOrigins[from]) {
		g.applyHeartbeats(d, marks)
		bare := g.store.HeartbeatOnly(g.self.DataCentre, marks)
		for i, mark := range own {
			if _, ok := bare[mark.ID]; ok {
				answer.Bare = append(answer.Bare, uint32(i))
			}
		}
		for _, delta := range g.store.Deltas(g.self.DataCentre, digest.Local, marks, messageBudget) {
			if _, ok := bare[delta.ID]; !ok {
				reply.Deltas = append(reply.Deltas, encodeDelta(delta))
			}
		}
	}
	if d.GetAsk() || len(answer.GetBare()) > 0 {
		reply.Digests = append(reply.Digests, answer)
	}
}

// applyHeartbeats applies the versions of origins that have only a newer heartbeat.
func (g *Gossip) applyHeartbeats(d *membershipv1.Digest, marks []digest.Watermark) {
	var heartbeats []digest.Watermark
	for _, i := range d.GetBare() {
		if int(i) < len(marks) {
			heartbeats = append(heartbeats, marks[i])
		}
	}
	for _, name := range g.store.ApplyHeartbeats(heartbeats) {
		g.vms.RecordContact(g.options.Now(), name)
	}
}

// recordCall records the outcome of a call for failure detection: a success counts as
// contact, a refused connection as a sign that the VM has stopped.
func (g *Gossip) recordCall(vm string, err error) {
	g.mu.Lock()
	switch {
	case err == nil:
		g.vms.RecordContact(g.options.Now(), vm)
	case errors.Is(err, syscall.ECONNREFUSED):
		g.vms.ConnectionRefused(vm)
		g.updateVMStates()
	}
	g.mu.Unlock()
	g.runCallbacks()
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
	// Messages are small and mostly hashes, so compression would cost more CPU
	// time than it saves in bytes.
	return membershipv1connect.NewMembershipServiceClient(httpClient, url, connect.WithAcceptCompression("gzip", nil, nil))
}
