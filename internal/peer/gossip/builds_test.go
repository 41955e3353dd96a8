package gossip_test

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"oleandershunt.example/oleandershunt/internal/core/digest"
	"oleandershunt.example/oleandershunt/internal/core/fleet"
	"oleandershunt.example/oleandershunt/internal/peer"
	membershipv1 "oleandershunt.example/oleandershunt/internal/peer/gen/peer/membership/v1"
)

// stripped removes from a message what the previous build doesn't know and therefore neither
// sends nor reads.
func stripped(message *membershipv1.Message) {
	for _, d := range message.GetDigests() {
		d.RecentWindow, d.Recent, d.RecentVersionsAgo = 0, nil, nil
	}
}

// asPreviousBuild lets a VM exchange messages like one of the previous build with all VMs for
// which before returns true, or with all VMs if it is one itself.
func asPreviousBuild(t *testing.T, self bool, before func(vm string) bool, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !self && !before(r.Header.Get(peer.HeaderFrom)) {
			next.ServeHTTP(w, r)
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return // the caller has gone
		}
		var request membershipv1.ExchangeRequest
		if err := proto.Unmarshal(body, &request); err != nil {
			t.Error(err)
		}
		stripped(request.Message)
		if body, err = proto.Marshal(&request); err != nil {
			t.Error(err)
		}
		r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(len(body))
		answer := httptest.NewRecorder()
		next.ServeHTTP(answer, r)
		data := answer.Body.Bytes()
		var response membershipv1.ExchangeResponse
		if answer.Code == http.StatusOK && proto.Unmarshal(data, &response) == nil {
			stripped(response.Message)
			if data, err = proto.Marshal(&response); err != nil {
				t.Error(err)
			}
		}
		for name, values := range answer.Header() {
			w.Header()[name] = values
		}
		w.Header().Set("Content-Length", strconv.Itoa(len(data)))
		w.WriteHeader(answer.Code)
		_, _ = w.Write(data)
	})
}

// An operator replaces the VMs one after the other: half of them are of the previous build. No VM
// may miss news or suspect another one.
func TestVMsOfTwoBuildsExchange(t *testing.T) {
	c := newCluster(t)
	before := func(vm string) bool { return len(vm) > 0 && vm[len(vm)-1]%2 == 0 }
	c.wrap = func(v *vm, next http.Handler) http.Handler { return asPreviousBuild(t, before(v.name), before, next) }
	for i := range 10 {
		c.start("vm-"+strconv.Itoa(i), "bornova", 1, c.vms[:min(i, 3)]...)
	}
	remote := []*vm{c.start("far-0", "gaziemir", 1, c.vms[0]), c.start("far-1", "gaziemir", 1, c.vms[0])}
	c.rounds(20, c.vms...)
	for i, v := range c.vms[:4] {
		v.PutGauge(digest.KeyHash(v.name), uint32(i))
		v.Put("s/runner-"+strconv.Itoa(i), []byte("leaving"), i%2 == 0)
	}
	for range 20 {
		c.rounds(1, c.vms...)
		for _, v := range c.vms {
			for _, other := range v.VMs() {
				c.Expect(other.State).To(Equal(fleet.Live), "%s of %s", v.name, other.Name)
			}
		}
	}
	for _, v := range c.vms {
		c.Expect(v.directory.Members()).To(HaveLen(12), v.name)
		for i, from := range c.vms[:4] {
			if v == from {
				continue
			}
			c.Expect(v.entry(from.name+" on runner-"+strconv.Itoa(i))).To(Equal("leaving"), v.name)
			if v != remote[0] && v != remote[1] {
				c.Expect(v.gauge(from.name)).To(BeEquivalentTo(i), v.name)
			}
		}
	}
}
